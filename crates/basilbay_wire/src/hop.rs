//! What a daemon tells the next one about a forwarded request.

use basilbay_model::id::{InstanceId, KindId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// Role of the daemon that receives a hop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Run the request on the own target.
    #[default]
    Run,
    /// Decide, as home of the key, whether and where the request runs.
    #[serde(rename = "home")]
    Owner,
}

fn waits() -> bool {
    true
}

/// Context of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// Format of this message.
    pub format: u16,
    /// The service that the caller named.
    pub service: ServiceId,
    /// The kind of request, as the entry daemon read it.
    pub kind: KindId,
    /// Whether a second run does no harm, as the entry daemon read it.
    pub idempotent: bool,
    /// How much the request counts.
    pub weight: u32,
    /// Time that is left; a remaining time crosses processes without a shared clock.
    pub timeout_ms: u32,
    /// Time that is left until an answer is of less use; 0 when it is already.
    #[serde(default)]
    pub goal_ms: u32,
    /// Extra attempts that are left for the whole chain.
    pub allowance: u8,
    /// Calls above this one.
    pub depth: u8,
    /// The daemon that sends the hop.
    pub origin: InstanceId,
    /// The configuration version that the sender has in force.
    pub config_version: Version,
    /// Whether the request may wait at the target; otherwise it is refused when it cannot run at
    /// once.
    #[serde(default = "waits")]
    pub may_wait: bool,
    /// Whether an earlier attempt broke off, so that the request may be what crashed its target.
    #[serde(default)]
    pub suspect: bool,
    /// What the receiver is asked to do.
    #[serde(default)]
    pub role: Role,
    /// Fingerprint of the request, for requests that crash targets.
    #[serde(default)]
    pub fingerprint: u64,
}
