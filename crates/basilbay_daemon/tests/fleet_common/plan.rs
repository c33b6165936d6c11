//! Describes the composition of a fleet and builds the configurations that are published to it.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use basilbay_fakes::platform::list::Entry;

use super::Instance;

/// Composition of a fleet: one instance of each service in each failure domain.
#[derive(Clone)]
pub(crate) struct Plan {
    /// Number of failure domains, named `d-1`, `d-2` and so on.
    pub(crate) domains: usize,
    /// Services; requests to `fit` are idempotent, those to the others are not.
    pub(crate) services: Vec<&'static str>,
    /// Number of regions, each with a platform of its own.
    pub(crate) regions: usize,
    /// Maps the index of an instance to its region.
    pub(crate) region_of: fn(usize) -> usize,
    /// Indices of the instances that read the configuration through the proxy route `config`.
    pub(crate) config_via_proxy: Vec<usize>,
    /// Service time of every request.
    pub(crate) service_time_us: u64,
    /// Age that the instances have on the list at the start.
    pub(crate) listed_ago_ms: u64,
    /// Whether configuration version 1 is published at the start.
    pub(crate) is_published: bool,
    /// Entries of the instance list that have no daemon.
    pub(crate) extra_list_entries: Vec<Entry>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            domains: 4,
            services: vec!["fit", "pay"],
            regions: 1,
            region_of: |_| 0,
            config_via_proxy: Vec::new(),
            service_time_us: 2_000,
            listed_ago_ms: 10_000,
            is_published: true,
            extra_list_entries: Vec::new(),
        }
    }
}

/// Differences of a configuration from the default one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Change {
    /// The failure domain that is out; `None` if all are in.
    pub(crate) domain_out: Option<&'static str>,
    /// Text that is appended to the configuration.
    pub(crate) extra_text: &'static str,
}

/// Returns a change that takes a failure domain out.
pub(crate) fn domain_out(domain: &'static str) -> Change {
    Change {
        domain_out: Some(domain),
        ..Change::default()
    }
}

/// Name of the proxy route by which one region reaches an instance of another.
pub(crate) fn route_name(region: usize, index: usize) -> String {
    format!("{region}-to-{index}")
}

impl Plan {
    /// Lists the instances; `address` maps an index and a port offset to a loopback address.
    ///
    /// The addresses of the target and the platform are placeholders until the fakes run.
    pub(crate) fn instances(&self, address: impl Fn(usize, u16) -> SocketAddr) -> Vec<Instance> {
        let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut instances = Vec::new();
        for domain in 1..=self.domains {
            for service in &self.services {
                let index = instances.len();
                instances.push(Instance {
                    id: format!("{service}-{domain}"),
                    service: (*service).to_owned(),
                    domain: format!("d-{domain}"),
                    region: (self.region_of)(index),
                    callers: address(index, 0),
                    peers: address(index, 1),
                    admin: address(index, 2),
                    target: unassigned,
                    config: unassigned,
                    list: unassigned,
                });
            }
        }
        instances
    }

    /// Name of a region.
    pub(crate) fn region_name(&self, region: usize) -> String {
        format!("r-{region}")
    }

    /// Renders a configuration.
    pub(crate) fn config(&self, version: u64, change: &Change) -> String {
        let mut text = format!("[basilbay]\nversion = {version}\n");
        for domain in 1..=self.domains {
            let id = format!("d-{domain}");
            let is_out = change.domain_out == Some(id.as_str());
            let state = if is_out { "out" } else { "in" };
            let _ = write!(text, "\n[domain {id}]\nstate = {state}\n");
        }
        for service in &self.services {
            let _ = write!(
                text,
                "\n[service {service}]\nslots = 18\nqueue = 18\ncold_slots = 2\nwarm_after = 40\n"
            );
            let (method, is_idempotent) = match *service {
                "fit" => ("GET", "yes"),
                _ => ("POST", "no"),
            };
            let _ = write!(
                text,
                "\n[kind {service}/call]\npath = /{service}\nmethods = {method}\n\
                 idempotent = {is_idempotent}\ndeadline_ms = 5000\n"
            );
        }
        text.push_str(change.extra_text);
        text
    }
}
