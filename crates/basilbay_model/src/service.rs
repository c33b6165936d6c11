//! Services, and the contract between the targets of a service and their daemons: capacity, cold
//! start and probing.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::domain::State;
use crate::id::ServiceId;
use crate::kind::Kind;

/// Load-balancing policy: how the entry daemon picks a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Prefers the daemon's own failure domain, picks the better of two random targets by load
    /// discounted by its age, and avoids stragglers.
    #[default]
    Basilbay,
    /// Each target in turn.
    RoundRobin,
    /// A uniformly random target.
    Random,
    /// The target with the fewest requests in flight from this daemon.
    LeastInFlight,
    /// Of two random targets, the one with fewer requests in flight from this daemon.
    TwoChoices,
}

impl fmt::Display for Policy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Basilbay => "basilbay",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastInFlight => "least-in-flight",
            Self::TwoChoices => "two-choices",
        })
    }
}

/// How the concurrency limit of a warm target is determined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitRule {
    /// Adapts to measured service times, up to the number of slots.
    #[default]
    Adaptive,
    /// A fixed percentage of the slots.
    Fixed,
}

/// Capacity and probing of one target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Concurrent requests that a warm target processes.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Requests that may queue for a slot; 0 disables queueing.
    pub queue: u32,
    /// Concurrent requests that a cold target processes.
    pub cold_slots: u32,
    /// Completions after which a cold target counts as warm; 0 disables the warm-up.
    pub warm_after: u32,
    /// Rate limit of a target during its cold start, in requests per second; 0 limits a cold start
    /// only by `cold_slots` and `warm_after`.
    pub cold_rate: u32,
    /// Duration of the cold start, from the start of the target, if there is a `cold_rate`.
    #[serde(rename = "cold")]
    pub cold_duration: Duration,
    /// How the concurrency limit is determined.
    pub limit: LimitRule,
    /// Fixed concurrency limit, in percent of the slots.
    pub limit_percent: u32,
    /// Path that reports the target's health and load; `None` if the target has none.
    pub health_path: Option<Arc<str>>,
    /// Latency penalty for picking a target in another failure domain: the round-trip time between
    /// domains, or the cost of the traffic between them, expressed as latency.
    pub remote_cost: Duration,
    /// Service time, in percent of the usual one, from which new requests avoid the target; 0
    /// disables the avoidance.
    pub slow_percent: u32,
    /// Share of the target's time that probes may use, in parts per thousand; 0 disables probing.
    pub probe_permille: u32,
    /// Shortest interval between two probes.
    #[serde(rename = "probe_gap")]
    pub min_probe_interval: Duration,
    /// Time that the target spends on one probe.
    pub probe_cost: Duration,
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            slots: 18,
            connections: 240,
            queue: 18,
            cold_slots: 2,
            warm_after: 200,
            cold_rate: 0,
            cold_duration: Duration::from_secs(3),
            limit: LimitRule::Adaptive,
            limit_percent: 100,
            health_path: None,
            remote_cost: Duration::from_millis(1),
            slow_percent: 200,
            probe_permille: 10,
            min_probe_interval: Duration::from_secs(1),
            probe_cost: Duration::from_millis(6),
        }
    }
}

/// A service with its kinds of request and the contract of its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Id, unique within the configuration.
    pub id: ServiceId,
    /// Administrative state.
    pub state: State,
    /// Load-balancing policy.
    pub policy: Policy,
    /// Capacity and probing of each target.
    pub contract: Contract,
    /// Kinds of request in match order: the longest path prefix first.
    pub kinds: Vec<Kind>,
}

impl Service {
    /// Finds the kind of a request.
    pub fn kind(&self, method: &str, path: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.matches(method, path))
    }
}
