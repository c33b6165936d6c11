//! Context that a daemon sends to the next one with a forwarded request, in the header
//! [`crate::header::HOP`].

use basilbay_model::id::{InstanceId, KindId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// Role of the daemon that receives a forwarded request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs the request on its local target.
    #[default]
    Run,
    /// Owns the idempotency key and decides whether and where the request runs.
    #[serde(rename = "home")]
    Owner,
}

/// Value of `may_wait` when the field is absent.
fn default_may_wait() -> bool {
    true
}

/// Context of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// Version of the message format.
    pub format: u16,
    /// The service that the caller named.
    pub service: ServiceId,
    /// The kind of request, as classified by the entry daemon.
    pub kind: KindId,
    /// Whether the request may safely run twice, as classified by the entry daemon.
    pub idempotent: bool,
    /// Weight of the request for load shedding.
    pub weight: u32,
    /// Remaining time until the deadline. A duration, unlike a point in time, needs no clock
    /// shared by the two processes.
    pub timeout_ms: u32,
    /// Remaining time within the latency goal, after which a response is worth less; 0 once the
    /// goal is missed.
    #[serde(default)]
    pub goal_ms: u32,
    /// Extra attempts that the rest of the call chain may use.
    pub allowance: u8,
    /// Number of calls before this one in the call chain.
    pub depth: u8,
    /// The daemon that forwards the request.
    pub origin: InstanceId,
    /// Configuration version that the sender uses.
    pub config_version: Version,
    /// Whether the request may queue at the target; otherwise it is refused when it cannot run
    /// immediately.
    #[serde(default = "default_may_wait")]
    pub may_wait: bool,
    /// Whether an earlier attempt was interrupted, so that the request may have crashed its
    /// target.
    #[serde(default)]
    pub suspect: bool,
    /// Whether a target aborted the request when the sender last sent it.
    #[serde(default)]
    pub aborted: bool,
    /// Whether an earlier attempt may have reached a target, so that this run may be a repeat.
    #[serde(default)]
    pub repeat: bool,
    /// Role of the receiver.
    #[serde(default)]
    pub role: Role,
    /// Fingerprint of the request, which identifies requests that crash targets.
    #[serde(default)]
    pub fingerprint: u64,
}
