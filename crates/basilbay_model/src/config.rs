//! The configuration that operators publish.
//!
//! A file is applied as a whole: [`Config::parse`] either accepts all of it or returns every
//! finding, and then the former configuration stays in force. [`rule::ALL`] lists what the checker
//! holds files to, [`diff::between`] compares two configurations, and [`Config`] prints as a file
//! that parses to the same configuration.

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
use crate::id::Version;
use crate::route::{self, Route};
use crate::service::Service;

/// Result of reading a configuration: the findings are the error.
pub type Result<T> = std::result::Result<T, Report>;

/// Largest size of a published file.
pub const MAX_CONFIG_BYTES: usize = 1024 * 1024;

/// Limits that hold for all services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Retries a service may add, in percent of its calls.
    pub retry_percent: u32,
    /// Extra attempts that one call may use over its whole chain.
    pub allowance: u32,
    /// How long a home daemon remembers a key.
    pub key_retention: Duration,
    /// Memory for stored answers of one daemon.
    pub key_memory_bytes: u64,
    /// Retries that all daemons together may add to a service on top of `retry_percent` in each
    /// `retry_window`; `None` gives each daemon a small floor of its own.
    pub retry_slack: Option<u32>,
    /// Time over which retries are counted.
    pub retry_window: Duration,
    /// Bytes of a request's line and headers.
    pub header_bytes: u32,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time that a caller has for the headers of a request.
    pub header_timeout: Duration,
    /// Time after which a caller's idle connection is closed.
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

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version, stated in the file.
    pub version: Version,
    /// Failure domains, sorted by id.
    pub domains: Vec<Domain>,
    /// Services, sorted by id.
    pub services: Vec<Service>,
    /// Routes, sorted by host; of one host the longest path first.
    pub routes: Vec<Route>,
    /// Limits for all services.
    pub limits: Limits,
}

impl Config {
    /// Reads a file; all findings are reported together.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        parse::config(file, text)
    }

    /// Reads the bytes of a file; all findings are reported together.
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

    /// Whether a domain takes new work; a domain that the file does not name takes none.
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
