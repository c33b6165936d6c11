//! Events that were injected into a fleet, with their times, as input of the audit.

use basilbay_model::id::{DomainId, InstanceId};
use serde::{Deserialize, Serialize};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A domain was taken out; the time is just after the platform accepted the configuration.
    DomainOut(DomainId),
    /// A domain was brought back; the time is just before the configuration is published.
    DomainIn(DomainId),
    /// A target started leaving.
    Leaving(InstanceId),
    /// A daemon was killed (SIGKILL).
    Killed(InstanceId),
    /// A daemon was paused (SIGSTOP).
    Paused(InstanceId),
    /// A daemon was resumed (SIGCONT).
    Resumed(InstanceId),
    /// A daemon was replaced by one with a new id.
    Restarted {
        /// Id of the old daemon.
        old: InstanceId,
        /// Id of the new daemon.
        new: InstanceId,
        /// Target of both daemons.
        target: InstanceId,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What happened.
    #[serde(rename = "fact")]
    pub kind: Kind,
}
