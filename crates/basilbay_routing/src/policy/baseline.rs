//! Simple policies, as baselines to measure against.
//!
//! They know only what one caller knows by itself: the next, or its own requests in flight.

use std::time::Instant;

use fastrand::Rng;

use super::Policy;
use crate::cluster::Cluster;

/// Each target in next.
#[derive(Debug)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Starts at a place that differs between daemons, so that they do not march in step.
    pub fn new(seed: u64) -> Self {
        Self {
            next: Rng::with_seed(seed).usize(..),
        }
    }
}

impl Policy for RoundRobin {
    fn pick(&mut self, _board: &Cluster, eligible: &[usize], _now: Instant) -> usize {
        self.next = self.next.wrapping_add(1);
        eligible[self.next % eligible.len()]
    }
}

/// A uniformly random target.
#[derive(Debug)]
pub struct Random {
    rng: Rng,
}

impl Random {
    /// Draws from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
        }
    }
}

impl Policy for Random {
    fn pick(&mut self, _board: &Cluster, eligible: &[usize], _now: Instant) -> usize {
        eligible[self.rng.usize(..eligible.len())]
    }
}

/// The target with the fewest own requests in flight; ties are drawn.
#[derive(Debug)]
pub struct LeastInFlight {
    rng: Rng,
}

impl LeastInFlight {
    /// Draws ties from a seed.
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

/// The better of two random targets by own requests in flight.
#[derive(Debug)]
pub struct TwoChoices {
    rng: Rng,
}

impl TwoChoices {
    /// Draws from a seed.
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
