//! What a fleet consists of, and the configurations that are published to it.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use basilbay_fakes::platform::list::Entry;

use super::Seat;

/// What a fleet is made from: one instance of each service in each failure domain.
#[derive(Clone)]
pub(crate) struct Plan {
    /// Failure domains, `d-1` and so on.
    pub(crate) domains: usize,
    /// Services; `fit` is idempotent and `pay` is not.
    pub(crate) services: Vec<&'static str>,
    /// Sides with platforms of their own.
    pub(crate) sides: usize,
    /// The side that a seat is on, by its position.
    pub(crate) side_of: fn(usize) -> usize,
    /// Seats that read the configuration through the route `config`.
    pub(crate) through_proxy: Vec<usize>,
    /// Service time of all requests.
    pub(crate) service_us: u64,
    /// How long ago the first instances count as listed.
    pub(crate) listed_ago_ms: u64,
    /// Whether version 1 is published at the start.
    pub(crate) published: bool,
    /// Instances on the list without a daemon.
    pub(crate) extra: Vec<Entry>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            domains: 4,
            services: vec!["fit", "pay"],
            sides: 1,
            side_of: |_| 0,
            through_proxy: Vec::new(),
            service_us: 2_000,
            listed_ago_ms: 10_000,
            published: true,
            extra: Vec::new(),
        }
    }
}

/// What a configuration says beyond the usual.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Change {
    /// The failure domain that is out.
    pub(crate) out: Option<&'static str>,
    /// Lines at the end.
    pub(crate) more: &'static str,
}

/// A change that takes a failure domain out.
pub(crate) fn out(domain: &'static str) -> Change {
    Change {
        out: Some(domain),
        ..Change::default()
    }
}

/// Name of the route by which one side reaches a seat of another.
pub(crate) fn route_name(side: usize, index: usize) -> String {
    format!("{side}-to-{index}")
}

impl Plan {
    /// The seats; `address` gives the loopback address of a position and port.
    pub(crate) fn seats(&self, address: impl Fn(usize, u16) -> SocketAddr) -> Vec<Seat> {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut seats = Vec::new();
        for domain in 1..=self.domains {
            for service in &self.services {
                let index = seats.len();
                seats.push(Seat {
                    id: format!("{service}-{domain}"),
                    service: (*service).to_owned(),
                    domain: format!("d-{domain}"),
                    side: (self.side_of)(index),
                    callers: address(index, 0),
                    peers: address(index, 1),
                    admin: address(index, 2),
                    target: nowhere,
                    config: nowhere,
                    list: nowhere,
                });
            }
        }
        seats
    }

    /// Region of a side.
    pub(crate) fn region_of(&self, side: usize) -> String {
        format!("r-{side}")
    }

    /// Text of a configuration.
    pub(crate) fn text(&self, version: u64, change: &Change) -> String {
        let mut text = format!("[basilbay]\nversion = {version}\n");
        for domain in 1..=self.domains {
            let id = format!("d-{domain}");
            let is_out = change.out == Some(id.as_str());
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
        text.push_str(change.more);
        text
    }
}
