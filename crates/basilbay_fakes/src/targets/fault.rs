//! Faults and other changes that tests apply to a target at run time, and the target's status.

use std::net::SocketAddr;

use basilbay_model::id::{InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

/// Slows the target down for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Straggle {
    /// Factor on the service time of requests that start within `for_ms`; 1 ends the slowdown.
    pub factor: f64,
    /// Duration of the slowdown.
    pub for_ms: u64,
}

/// Crashes the target: all connections close, new ones are refused for a time, and the target
/// restarts cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// How long connections are refused; `None` means the target's `restart_ms`.
    #[serde(default)]
    pub refuse_ms: Option<u64>,
}

/// Noisy neighbours: bursts at random times during which all requests run slower.
///
/// The lengths of the bursts and of the gaps between them are exponentially distributed, with the
/// target's seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Factor on the service time during a burst; 1 or less ends the noise.
    pub factor: f64,
    /// Mean gap between the end of a burst and the start of the next.
    pub interval_ms: f64,
    /// Mean length of a burst.
    pub duration_ms: f64,
}

/// False values in the response to `GET /load`; with all fields absent, the response is correct.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Misreport {
    /// Reports the requests in flight as of this long ago; 0 means now.
    pub lag_ms: u64,
    /// Number of requests in flight to report; `None` reports the number as of `lag_ms` ago.
    pub in_flight: Option<u32>,
    /// State to report; `None` reports the true one, except that `cool` hides a cold start.
    pub state: Option<String>,
}

/// A change of a target's behaviour; absent fields change nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Starts or ends draining: requests still run, but new ones count as violations.
    pub drain: Option<bool>,
    /// True makes the target cold without reporting it: `GET /load` still reports `warm`.
    pub cool: Option<bool>,
    /// True makes the target warm at once.
    pub warm: Option<bool>,
    /// Slows the target down for a limited time.
    pub straggle: Option<Straggle>,
    /// Holds back all responses for this time; 0 ends the pause.
    pub pause_ms: Option<u64>,
    /// Responds 500 at once without running the request.
    pub fail_fast: Option<bool>,
    /// Responds 503 with `Retry-After` without running the request.
    pub shed: Option<bool>,
    /// Crashes the target.
    pub crash: Option<Crash>,
    /// Starts, replaces or ends the slowdown by noisy neighbours.
    pub noise: Option<Noise>,
    /// Replaces the false values in the response to `GET /load`.
    pub load: Option<Misreport>,
}

/// Status of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance id.
    pub id: InstanceId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Requests in flight.
    pub in_flight: u32,
    /// Open connections.
    pub connections: u32,
    /// Whether the target is cold.
    pub cold: bool,
    /// Whether the target is draining.
    pub draining: bool,
    /// Requests completed since the start.
    pub completions: u64,
    /// Responses 500 because of `fail_fast`.
    pub failed_fast: u64,
    /// Responses 503 because of `shed` or because requests in flight far exceeded the slots.
    pub shed: u64,
    /// Responses to `GET /load`.
    pub probes: u64,
    /// Crashes since the start.
    pub crashes: u64,
}

/// Response to `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight, as reported.
    pub in_flight: u32,
    /// Slots when warm.
    pub slots: u32,
    /// `cold`, `warm` or `draining`, as reported.
    pub state: String,
}
