//! Services and the contract between a service's targets and the daemons beside them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::domain::State;
use crate::id::ServiceId;
use crate::kind::Kind;

/// How the entry role picks a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Own domain first, two choices by age-discounted load, stragglers avoided.
    #[default]
    Basilbay,
    /// Each target in turn.
    RoundRobin,
    /// A uniformly random target.
    Random,
    /// The target with the fewest own requests in flight.
    LeastInFlight,
    /// The better of two random targets by own requests in flight.
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

/// How many requests a warm target is handed at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitRule {
    /// A limit that follows service times, at most the slots.
    #[default]
    Adaptive,
    /// A part of the slots.
    Fixed,
}

/// What one target of a service bears.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Requests a warm target runs at the same time.
    pub slots: u32,
    /// Connections a target accepts.
    pub connections: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Requests a cold target bears at the same time.
    pub cold_slots: u32,
    /// Completions after which a cold target counts as warm.
    pub warm_after: u32,
    /// Requests a second that a target in cold start bears; 0 leaves it to the ramp alone.
    pub cold_rate: u32,
    /// Time that a target stays cold after its start, with a `cold_rate`.
    pub cold: Duration,
    /// How the limit below the slots is found.
    pub limit: LimitRule,
    /// Part of the slots that a fixed limit allows, in percent.
    pub limit_percent: u32,
    /// Path that answers with the target's health and load.
    pub health_path: Option<Arc<str>>,
    /// Time that a request loses on its way to another failure domain and back, or that the bytes
    /// between domains are worth.
    pub remote_cost: Duration,
    /// Time that work takes on a target, in percent of the usual, from which new work avoids it; 0
    /// for never.
    pub slow_percent: u32,
    /// Share of the target's time that measuring may take, in parts per thousand.
    pub probe_permille: u32,
    /// Shortest time between two probes.
    pub probe_gap: Duration,
    /// Time the target spends on one probe.
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
            cold: Duration::from_secs(3),
            limit: LimitRule::Adaptive,
            limit_percent: 100,
            health_path: None,
            remote_cost: Duration::from_millis(1),
            slow_percent: 200,
            probe_permille: 10,
            probe_gap: Duration::from_secs(1),
            probe_cost: Duration::from_millis(6),
        }
    }
}

/// A service, its kinds of request and what its targets bear.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its id.
    pub id: ServiceId,
    /// What operators asked for.
    pub state: State,
    /// How targets are picked.
    pub policy: Policy,
    /// What one target bears.
    pub contract: Contract,
    /// Kinds of request, the longest path prefix first.
    pub kinds: Vec<Kind>,
}

impl Service {
    /// Finds the kind that a request belongs to.
    pub fn kind(&self, method: &str, path: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.matches(method, path))
    }
}
