//! What a target can be told at run time, and what it tells about itself.

use std::net::SocketAddr;

use basilbay_model::id::{InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

/// Runs slower for a while.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Straggle {
    /// How much slower requests run that start in this time; 1 ends it.
    pub factor: f64,
    /// For how long.
    pub for_ms: u64,
}

/// Closes all connections, refuses new ones and comes back cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// For how long connections are refused; the target's `restart_ms` if absent.
    #[serde(default)]
    pub refuse_ms: Option<u64>,
}

/// Noisy neighbours: bursts at random times in which everything runs slower.
///
/// The lengths of the pauses and of the bursts are exponential, from the target's seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// How much slower; 1 ends the noise.
    pub factor: f64,
    /// Mean time from the end of a burst to the start of the next.
    pub interval_ms: f64,
    /// Mean length of a burst.
    pub duration_ms: f64,
}

/// How the answer to `GET /load` misleads; all fields absent makes it truthful.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Misreport {
    /// The requests in flight are those of this long ago.
    pub lag_ms: u64,
    /// States this number in place of the requests in flight.
    pub in_flight: Option<u32>,
    /// States this word in place of the state.
    pub state: Option<String>,
}

/// A change of behaviour; what is absent stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Starts or ends draining: work still runs, and new work counts as a violation.
    pub drain: Option<bool>,
    /// True turns the target cold without a signal: `GET /load` goes on to say warm.
    pub cool: Option<bool>,
    /// True turns the target warm at once.
    pub warm: Option<bool>,
    /// Runs slower for a while.
    pub straggle: Option<Straggle>,
    /// Holds all answers back for this time; 0 ends it.
    pub pause_ms: Option<u64>,
    /// Answers 500 at once without running anything.
    pub fail_fast: Option<bool>,
    /// Answers 503 with `Retry-After` without running anything.
    pub shed: Option<bool>,
    /// Crashes.
    pub crash: Option<Crash>,
    /// Noisy neighbours.
    pub noise: Option<Noise>,
    /// A misleading load figure.
    pub load: Option<Misreport>,
}

/// State of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its instance id.
    pub id: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that run.
    pub in_flight: u32,
    /// Open connections.
    pub connections: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it drains.
    pub draining: bool,
    /// Completions since the start.
    pub completions: u64,
    /// Answers 500 because of `fail_fast`.
    pub failed_fast: u64,
    /// Answers 503 because of `shed` or far too much work.
    pub shed: u64,
    /// Answers to `GET /load`.
    pub probes: u64,
    /// Crashes.
    pub crashes: u64,
}

/// Answer to `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run, as far as the target tells.
    pub in_flight: u32,
    /// Slots of the warm target.
    pub slots: u32,
    /// `cold`, `warm` or `draining`, as far as the target tells.
    pub state: String,
}
