//! What was done to a fleet and when, for the account.

use basilbay_model::id::{DomainId, InstanceId};
use serde::{Deserialize, Serialize};

/// One thing that was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A domain was taken out; the time is that of the accepted publication.
    DomainOut(DomainId),
    /// A domain was brought back; the time is just before the publication.
    DomainIn(DomainId),
    /// A target started to leave.
    Leaving(InstanceId),
    /// A daemon was killed.
    Killed(InstanceId),
    /// A daemon was paused.
    Paused(InstanceId),
    /// A daemon was resumed.
    Resumed(InstanceId),
    /// A daemon was replaced by one with a new id.
    Restarted {
        /// Id before.
        old: InstanceId,
        /// Id after.
        new: InstanceId,
        /// Its target, which stays.
        target: InstanceId,
    },
}

/// A fact and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// What was done.
    #[serde(rename = "fact")]
    pub kind: Kind,
}
