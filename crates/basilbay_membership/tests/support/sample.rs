//! Sample configurations, instances and rosters.

use std::net::SocketAddr;
use std::sync::Arc;

use basilbay_membership::node::Identity;
use basilbay_model::id::Version;
use basilbay_model::roster::{Instance, Roster, State};

/// A valid configuration; `salt` distinguishes texts with the same version.
pub(crate) fn text(version: Version, salt: &str) -> Arc<str> {
    let filler: String = (0..100).map(|line| format!("; line {line}\n")).collect();
    let rest = "[domain d0]\n[service s0]\n[kind s0/all]\npath = /\n";
    Arc::from(format!(
        "[basilbay]\nversion = {version}\n{filler}; {salt}\n{rest}"
    ))
}

/// Version declared in a text that [`text`] returned.
pub(crate) fn version_of(text: &str) -> Version {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("version = "));
    line.and_then(|version| version.parse().ok()).unwrap_or(0)
}

/// A text that [`text`] returned, with another version.
pub(crate) fn with_version(text: &str, version: Version) -> Arc<str> {
    let old = format!("version = {}\n", version_of(text));
    Arc::from(text.replacen(&old, &format!("version = {version}\n"), 1))
}

/// Address of a node.
pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

/// An instance whose id contains the node index and the number of restarts; each service has 9
/// instances.
pub(crate) fn instance(index: usize, run: u32, domains: usize) -> Instance {
    Instance {
        id: Arc::from(format!("n{index}.{run}")),
        service: Arc::from(format!("s{}", index / 9)),
        domain: Arc::from(format!("d{}", index % domains)),
        region: Arc::from(""),
        peer: address(index),
        admin: address(index),
        listen: address(index),
        state: State::Live,
        target: None,
        started_at_ms: None,
        slots: None,
        listed_at_ms: 0,
        leaving_at_ms: None,
    }
}

/// Identity of the node of an instance.
pub(crate) fn identity(instance: Instance) -> Identity {
    Identity {
        id: instance.id,
        service: instance.service,
        domain: instance.domain,
        region: instance.region,
        peer: instance.peer,
    }
}

/// A roster with the given number of restarts of each node.
pub(crate) fn roster(version: Version, runs: &[u32], domains: usize) -> Arc<Roster> {
    let instances = runs.iter().enumerate();
    let instances = instances.map(|(index, run)| instance(index, *run, domains));
    let mut roster = Roster {
        version,
        as_of_ms: 0,
        instances: instances.collect(),
    };
    roster.sort();
    Arc::new(roster)
}
