//! The platform's list of instances, as last read.
//!
//! All times are the list's own clock in milliseconds since the Unix epoch: the rules for key
//! ownership compare them with one another and need no agreement with the local clock beyond the
//! stated skew.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, InstanceId, RegionId, RunId, ServiceId, Version};

/// Milliseconds since the Unix epoch, by the list's clock.
pub type Timestamp = u64;

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes running work and stops.
    Leaving,
}

/// One instance: a target and the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of this run; a replacement has another.
    pub id: InstanceId,
    /// The service its target belongs to.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    #[serde(default = "empty_region")]
    pub region: RegionId,
    /// Address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Whether it takes work.
    #[serde(default)]
    pub state: State,
    /// Name of the target's run, if targets have names of their own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<RunId>,
    /// When that run started, by the target's clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<Timestamp>,
    /// Requests that the target runs at the same time, if it says so itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// When the list first named it.
    pub listed_at_ms: Timestamp,
    /// When the list first called it leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_at_ms: Option<Timestamp>,
}

fn empty_region() -> RegionId {
    RegionId::from("")
}

/// The list of instances at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the list.
    pub version: Version,
    /// When the list was known to be in this state.
    pub as_of_ms: Timestamp,
    /// Instances, sorted by id.
    pub instances: Vec<Instance>,
}

impl Roster {
    /// Sorts the instances, which every look-up relies on.
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

    /// Whether targets have names of their own.
    pub fn has_run_ids(&self) -> bool {
        let mut instances = self.instances.iter();
        instances.any(|instance| instance.target.is_some())
    }

    /// Instances of a service, in the order of their ids.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.instances
            .iter()
            .filter(move |instance| &*instance.service == service)
    }
}
