//! The roster: the platform's list of instances, as last read.
//!
//! All timestamps are from the clock of the instance list, except the start times of targets. The
//! rules for key ownership compare them only with each other, so the local clock may differ from
//! that clock by the permitted clock skew.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, InstanceId, RegionId, RunId, ServiceId, Version};

/// Milliseconds since the Unix epoch, by the clock of the instance list unless stated otherwise.
pub type Timestamp = u64;

/// Lifecycle state of an instance in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts new requests.
    #[default]
    Live,
    /// Drains: running requests finish, then the instance stops.
    Leaving,
}

/// One instance: a target and the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of this lifetime of the instance; a replacement has another id.
    pub id: InstanceId,
    /// Service of the target.
    pub service: ServiceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance; empty when there is only one.
    #[serde(default = "empty_region")]
    pub region: RegionId,
    /// Address of the daemon for other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// Address of the daemon for operators.
    pub admin: SocketAddr,
    /// Address of the daemon for callers.
    pub listen: SocketAddr,
    /// Lifecycle state.
    #[serde(default)]
    pub state: State,
    /// Id of the target's run; `None` if the list has no run ids.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<RunId>,
    /// Start time of that run, by the target's clock; `None` if unknown.
    #[serde(rename = "born_ms", default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<Timestamp>,
    /// Concurrent requests that the target processes; `None` means the slots of its contract.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Time at which the instance first appeared in the list.
    pub listed_at_ms: Timestamp,
    /// Time at which the list first marked the instance as leaving; `None` while it is live.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_at_ms: Option<Timestamp>,
}

/// Longest name in an instance, in bytes: that of a host name.
pub const MAX_NAME_BYTES: usize = 255;

impl Instance {
    /// Returns why no daemon can use the instance; `None` if it is usable.
    ///
    /// A list may have entries of other writers. An unusable one must be left out, because all daemons
    /// would contact its addresses and pass its names on.
    pub fn defect(&self) -> Option<&'static str> {
        let names = [&self.id, &self.service, &self.domain];
        let region = Some(&self.region).filter(|region| !region.is_empty());
        let mut names = names.into_iter().chain(region).chain(&self.target);
        if !names.all(|name| is_usable_name(name)) {
            return Some("a name is empty, too long or has control characters");
        }
        let addresses = [self.peer, self.admin, self.listen];
        if !addresses.into_iter().all(is_contactable) {
            return Some("an address is no address of a host");
        }
        None
    }
}

/// Whether a name has 1 to [`MAX_NAME_BYTES`] bytes and no control characters.
pub fn is_usable_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_control)
}

/// Whether connections to an address may be opened: its port is not 0, and its IP address is that of one
/// host.
pub fn is_contactable(address: SocketAddr) -> bool {
    let is_broadcast = match address.ip() {
        IpAddr::V4(ip) => ip.is_broadcast(),
        IpAddr::V6(_) => false,
    };
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn empty_region() -> RegionId {
    RegionId::from("")
}

/// The list of instances at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the list; 0 before the first one.
    pub version: Version,
    /// Latest time at which the list is known to have had this content.
    pub as_of_ms: Timestamp,
    /// Instances, sorted by id.
    pub instances: Vec<Instance>,
}

impl Roster {
    /// Sorts the instances by id, which lookups require.
    pub fn sort(&mut self) {
        self.instances.sort_by(|left, right| left.id.cmp(&right.id));
    }

    /// Finds an instance by id.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        let index = self
            .instances
            .binary_search_by(|instance| (*instance.id).cmp(id))
            .ok()?;
        self.instances.get(index)
    }

    /// Whether the list has the run id of any target.
    pub fn has_run_ids(&self) -> bool {
        let mut instances = self.instances.iter();
        instances.any(|instance| instance.target.is_some())
    }

    /// Instances of a service, sorted by id.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.instances
            .iter()
            .filter(move |instance| &*instance.service == service)
    }
}
