//! Load of a target, as measured by the daemon beside it.

use serde::{Deserialize, Serialize};

/// Whether a target's daemon accepts new requests, and why not otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts requests up to the warm limit.
    #[default]
    Warm,
    /// Accepts requests up to the limit of a cold start, which rises during warm-up.
    Cold,
    /// Drains: running requests finish, new ones are refused.
    Leaving,
    /// The service or failure domain of the target is out.
    Out,
    /// The target does not respond.
    Down,
    /// The daemon has not confirmed that its configuration and roster are current.
    Unconfirmed,
}

impl State {
    /// Whether new requests are accepted at all.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Warm | Self::Cold)
    }
}

/// Load of one target at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Increases with each load that the daemon sends; of two loads, the higher one is newer.
    pub sequence: u64,
    /// Requests in flight on the target.
    pub in_flight: u32,
    /// Current concurrency limit of the target.
    pub limit: u32,
    /// Requests queued in the daemon.
    pub queued: u32,
    /// Recent service time, in microseconds.
    pub latency_us: u32,
    /// Whether new requests are accepted.
    pub state: State,
    /// Whether other workloads on the target's machine currently slow it down.
    #[serde(default)]
    pub is_slowed: bool,
    /// Time until the target accepts another request at the rate that it states, in microseconds;
    /// 0 if it accepts one now or states no rate.
    #[serde(default)]
    pub rate_wait_us: u32,
}
