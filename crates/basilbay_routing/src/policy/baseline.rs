//! Simple policies that serve as baselines for comparison.
//!
//! These policies use only information that one caller has by itself: the previous pick, or its own
//! requests in flight.

use std::time::Instant;

use fastrand::Rng;

use super::Policy;
use crate::cluster::Cluster;

/// Picks each target in turn.
#[derive(Debug)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Starts at a different position in each daemon, so that daemons do not pick in lockstep.
    pub fn new(seed: u64) -> Self {
        Self {
            next: Rng::with_seed(seed).usize(..),
        }
    }
}

impl Policy for RoundRobin {
    fn pick(&mut self, _cluster: &Cluster, eligible: &[usize], _now: Instant) -> usize {
        self.next = self.next.wrapping_add(1);
        eligible[self.next % eligible.len()]
    }
}

/// Picks a uniformly random target.
#[derive(Debug)]
pub struct Random {
    rng: Rng,
}

impl Random {
    /// Creates a policy with a seeded random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
        }
    }
}

impl Policy for Random {
    fn pick(&mut self, _cluster: &Cluster, eligible: &[usize], _now: Instant) -> usize {
        eligible[self.rng.usize(..eligible.len())]
    }
}

/// Picks the target with the fewest own requests in flight and breaks ties randomly.
#[derive(Debug)]
pub struct LeastInFlight {
    rng: Rng,
}

impl LeastInFlight {
    /// Creates a policy that breaks ties with a seeded random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
        }
    }
}

impl Policy for LeastInFlight {
    fn pick(&mut self, cluster: &Cluster, eligible: &[usize], _now: Instant) -> usize {
        let start = self.rng.usize(..eligible.len());
        let rotated = eligible[start..].iter().chain(&eligible[..start]);
        rotated
            .copied()
            .min_by_key(|index| cluster.targets[*index].own_in_flight())
            .unwrap_or(eligible[0])
    }
}

/// Picks the better of two random targets by own requests in flight.
#[derive(Debug)]
pub struct TwoChoices {
    rng: Rng,
}

impl TwoChoices {
    /// Creates a policy with a seeded random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
        }
    }
}

impl Policy for TwoChoices {
    fn pick(&mut self, cluster: &Cluster, eligible: &[usize], _now: Instant) -> usize {
        let first = eligible[self.rng.usize(..eligible.len())];
        let second = eligible[self.rng.usize(..eligible.len())];
        let first_load = cluster.targets[first].own_in_flight();
        let second_load = cluster.targets[second].own_in_flight();
        if second_load < first_load {
            second
        } else {
            first
        }
    }
}
