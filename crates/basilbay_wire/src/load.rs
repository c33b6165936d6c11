//! Load figures of a target, as its own daemon counts them.

use serde::{Deserialize, Serialize};

/// What a target's daemon does with new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work up to the warm limit.
    #[default]
    Warm,
    /// On the ramp of a cold start.
    Cold,
    /// Finishes running work and stops.
    Leaving,
    /// Its service or failure domain is out.
    Out,
    /// The target does not answer.
    Down,
    /// The daemon does not trust its own view.
    Unconfirmed,
}

impl State {
    /// Whether new work is taken at all.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Warm | Self::Cold)
    }
}

/// Load of one target at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Counts up with each figure that the daemon gives out; the higher is the newer.
    pub sequence: u64,
    /// Requests on the target.
    pub in_flight: u32,
    /// Requests that the target is allowed at this moment.
    pub limit: u32,
    /// Requests that wait in the daemon.
    pub queued: u32,
    /// Recent service time, in microseconds.
    pub latency_us: u32,
    /// What happens to new work.
    pub state: State,
    /// Whether others on its machine slow the target at this moment.
    #[serde(default)]
    pub is_slowed: bool,
}
