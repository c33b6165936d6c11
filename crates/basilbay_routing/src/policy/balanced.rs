//! The default policy: the lowest cost among a few sampled targets.
//!
//! The cost of a target is the extra time that a request is expected to take there: the wait for a
//! slot or for the rate that the target states, the additional service time of a slow target, and
//! the network distance to another failure domain. Two targets of the local failure domain and two of other domains are compared, so that
//! requests stay local while there is headroom and spill over smoothly. Comparing a sample instead
//! of all targets keeps daemons with the same stale reports from picking the same target
//! simultaneously.

use std::time::Instant;

use fastrand::Rng;

use super::Policy;
use crate::cluster::{Cluster, Target};

/// Sampled targets per group.
const SAMPLES_PER_GROUP: usize = 2;

/// Expected wait at a target whose last slot was just taken, in typical service times.
const FULL_WAIT_SERVICE_TIMES: f64 = 0.5;

/// Service time relative to the typical one above which a target counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// Maximum cost of slowness, in typical service times.
const MAX_SLOWNESS_SERVICE_TIMES: f64 = 8.0;

/// Maximum random fraction of a cost. Costs based on old reports differ by very little, and such
/// differences must not decide.
const JITTER: f64 = 0.05;

/// Picks the target with the lowest cost among the sampled ones.
#[derive(Debug)]
pub struct Balanced {
    rng: Rng,
}

impl Balanced {
    /// Creates a policy with a seeded random number generator.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
        }
    }

    /// Samples up to two different members of a group and updates `best`, a cost and an index, if
    /// one of them costs less.
    fn compare(
        &mut self,
        cluster: &Cluster,
        group: impl Iterator<Item = usize> + Clone,
        best: &mut Option<(f64, usize)>,
        now: Instant,
    ) {
        let size = group.clone().count();
        let mut last = None;
        for _ in 0..SAMPLES_PER_GROUP.min(size) {
            let mut position = self.rng.usize(..size);
            if last == Some(position) {
                position = (position + 1) % size;
            }
            last = Some(position);
            let Some(index) = group.clone().nth(position) else {
                continue;
            };
            let jitter = 1.0 + JITTER * self.rng.f64();
            let cost = jitter * cost_s(&cluster.targets[index], cluster, now);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                *best = Some((cost, index));
            }
        }
    }
}

impl Policy for Balanced {
    fn pick(&mut self, cluster: &Cluster, eligible: &[usize], now: Instant) -> usize {
        let is_local = |index: &usize| cluster.targets[*index].is_local;
        let local = eligible.iter().copied().filter(is_local);
        let remote = eligible.iter().copied().filter(|index| !is_local(index));
        let mut best = None;
        self.compare(cluster, local, &mut best, now);
        self.compare(cluster, remote, &mut best, now);
        best.map_or(eligible[0], |(_, index)| index)
    }

    fn uses_feedback(&self) -> bool {
        true
    }
}

/// Extra time that a request is expected to take on a target, beyond the typical service time, in
/// seconds.
fn cost_s(target: &Target, cluster: &Cluster, now: Instant) -> f64 {
    let remote_cost_s = if target.is_local {
        0.0
    } else {
        cluster.remote_cost_s
    };
    // Service times vary between requests, so only a clear difference counts.
    let excess_latency = target.relative_latency(&cluster.summary, now) / SLOW_RATIO - 1.0;
    let extra_service_times =
        expected_wait(target, cluster, now) + excess_latency.clamp(0.0, MAX_SLOWNESS_SERVICE_TIMES);
    let rate_wait_s = target.rate_wait(now).as_secs_f64();
    remote_cost_s + rate_wait_s + cluster.summary.typical_latency_s() * extra_service_times
}

/// Expected wait for a slot, in typical service times.
///
/// With many slots, requests hardly ever wait before a target is nearly full, which the fourth
/// power approximates. Beyond that, each request ahead takes one service time of one slot.
fn expected_wait(target: &Target, cluster: &Cluster, now: Instant) -> f64 {
    let utilization = target.utilization(cluster, now);
    if utilization < 1.0 {
        FULL_WAIT_SERVICE_TIMES * utilization.powi(4)
    } else {
        FULL_WAIT_SERVICE_TIMES + (utilization - 1.0) + 1.0 / target.limit(cluster.slots)
    }
}
