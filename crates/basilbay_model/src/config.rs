//! The configuration that operators publish.
//!
//! A file is applied atomically: [`Config::parse`] either accepts all of it or returns every
//! finding, and then the previous configuration stays active. [`rule::ALL`] lists the rules that
//! the checker enforces, [`diff::between`] compares two configurations, and the `Display` output
//! of [`Config`] is a file that parses to the same configuration.

mod check;
pub mod diff;
pub mod parse;
pub mod print;
pub mod range;
pub mod rule;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::domain::{Domain, State};
use crate::finding::Report;
use crate::id::{Serial, Version};
use crate::route::{self, Route};
use crate::service::Service;

/// Result of parsing a configuration; the error lists all findings.
pub type Result<T> = std::result::Result<T, Report>;

/// Largest accepted configuration file.
pub const MAX_CONFIG_BYTES: usize = 1024 * 1024;

/// Limits for all services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Retry budget of a service, in percent of its calls.
    pub retry_percent: u32,
    /// Retry allowance: extra attempts that one call may use along its entire call chain.
    pub allowance: u32,
    /// How long the owner of an idempotency key remembers it.
    pub key_retention: Duration,
    /// Largest memory that one daemon uses for stored responses, in bytes.
    pub key_memory_bytes: u64,
    /// Retries that all daemons together may add to a service in each `retry_window`, on top of
    /// `retry_percent`; `None` gives each daemon a small minimum budget instead.
    pub retry_slack: Option<u32>,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Largest request line and headers, in bytes.
    pub header_bytes: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for a caller to send the headers of a request.
    pub header_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retry_percent: 10,
            allowance: 3,
            key_retention: Duration::from_secs(600),
            key_memory_bytes: 64 * 1024 * 1024,
            retry_slack: None,
            retry_window: Duration::from_secs(10),
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version of the file.
    pub version: Version,
    /// Number that the operators give this content, which increases with each change; 0 if they give
    /// none. Unlike the version, it does not depend on the platform.
    pub serial: Serial,
    /// Failure domains, sorted by id.
    pub domains: Vec<Domain>,
    /// Services, sorted by id.
    pub services: Vec<Service>,
    /// Routes, sorted by host, then with the longest path first.
    pub routes: Vec<Route>,
    /// Limits for all services.
    pub limits: Limits,
}

impl Config {
    /// Parses a file; `file` is its name in the findings, all of which are returned together.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        parse::config(file, text)
    }

    /// Parses the bytes of a file, as [`Self::parse`] does; they must be UTF-8.
    pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Self> {
        parse::bytes(file, bytes)
    }

    /// Finds a service by id.
    pub fn service(&self, id: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| (*service.id).cmp(id))
            .ok()?;
        self.services.get(index)
    }

    /// Finds the route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        route::find(&self.routes, host, path)
    }

    /// Finds a failure domain by id.
    pub fn domain(&self, id: &str) -> Option<&Domain> {
        let index = self
            .domains
            .binary_search_by(|domain| (*domain.id).cmp(id))
            .ok()?;
        self.domains.get(index)
    }

    /// Whether a domain accepts new requests; a domain that the configuration does not define accepts none.
    pub fn domain_is_in(&self, id: &str) -> bool {
        self.domain(id)
            .is_some_and(|domain| domain.state == State::In)
    }
}

impl fmt::Display for Config {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        print::write(self, out)
    }
}
