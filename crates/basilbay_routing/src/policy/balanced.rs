//! The default policy: the cheapest of a few sampled targets.
//!
//! The cost of a target is the time that a request is expected to take there: its service time,
//! stretched by how full it is, plus the way to another failure domain. Two targets of the own
//! domain and two of the others are compared, so that requests stay near while there is headroom
//! and spill over smoothly. Comparing a sample in place of all targets keeps daemons that share
//! the same old figures from choosing the same target together.

use std::time::Instant;

use fastrand::Rng;

use super::Policy;
use crate::board::{Board, Target};

/// Extra time of a request to another failure domain, in seconds: the way there and back.
const REMOTE_SECONDS: f64 = 0.001;

/// Targets that are compared in each group.
const CHOICES: usize = 2;

/// Random part of a cost. Figures that have aged differ by next to nothing, and must not decide.
const JITTER: f64 = 0.05;

/// Picks by expected time.
#[derive(Debug)]
pub struct Balanced {
    rng: Rng,
}

impl Balanced {
    /// Draws from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
        }
    }

    /// Draws up to two different members of a group and keeps the cheaper of them and `best`.
    fn compare(
        &mut self,
        board: &Board,
        group: impl Iterator<Item = usize> + Clone,
        best: &mut Option<(f64, usize)>,
        typical: f64,
        now: Instant,
    ) {
        let size = group.clone().count();
        let mut last = None;
        for _ in 0..CHOICES.min(size) {
            let mut place = self.rng.usize(..size);
            if last == Some(place) {
                place = (place + 1) % size;
            }
            last = Some(place);
            let Some(index) = group.clone().nth(place) else {
                continue;
            };
            let jitter = 1.0 + JITTER * self.rng.f64();
            let cost = jitter * cost(&board.targets[index], board.slots, typical, now);
            if best.is_none_or(|(least, _)| cost < least) {
                *best = Some((cost, index));
            }
        }
    }
}

impl Policy for Balanced {
    fn pick(&mut self, board: &Board, eligible: &[usize], now: Instant) -> usize {
        let typical = board.summary.typical;
        let is_local = |index: &usize| board.targets[*index].is_local;
        let local = eligible.iter().copied().filter(is_local);
        let remote = eligible.iter().copied().filter(|index| !is_local(index));
        let mut best = None;
        self.compare(board, local, &mut best, typical, now);
        self.compare(board, remote, &mut best, typical, now);
        best.map_or(eligible[0], |(_, index)| index)
    }

    fn avoids_stragglers(&self) -> bool {
        true
    }
}

/// Expected time of one more request on a target, in seconds.
fn cost(target: &Target, slots: u32, typical: f64, now: Instant) -> f64 {
    let in_flight = target.estimate(typical, now);
    let limit = target.limit(slots);
    let fill = (in_flight + 1.0) / limit;
    // Beyond the limit a request waits for others; below it, fuller targets are slightly slower.
    let stretch = if fill <= 1.0 {
        1.0 + fill * fill
    } else {
        2.0 + 4.0 * (fill - 1.0)
    };
    let reported = f64::from(target.load.latency_us) / 1e6;
    let latency = if reported > 0.0 {
        let confidence = target.confidence(now);
        confidence * reported + (1.0 - confidence) * target.latency
    } else {
        target.latency
    };
    let distance = if target.is_local { 0.0 } else { REMOTE_SECONDS };
    latency * stretch + distance
}
