//! Seeded bursts in which a target runs slower, and when work that meets them ends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::fault;

/// A burst.
#[derive(Clone, Copy, Debug)]
struct Burst {
    start: Instant,
    end: Instant,
}

/// The noise of one target.
pub(super) struct Noise {
    fault: fault::Noise,
    random: fastrand::Rng,
    planned: Instant,
    bursts: VecDeque<Burst>,
}

impl Noise {
    pub(super) fn new(fault: fault::Noise, seed: u64, now: Instant) -> Self {
        Self {
            fault,
            random: fastrand::Rng::with_seed(seed),
            planned: now,
            bursts: VecDeque::new(),
        }
    }

    /// When work that starts now and takes `work` on a quiet machine ends.
    pub(super) fn end(&mut self, now: Instant, work: Duration) -> Instant {
        self.forget(now);
        let mut at = now;
        let mut left = work;
        let mut index = 0;
        loop {
            let burst = self.burst(index);
            index += 1;
            if burst.end <= at {
                continue;
            }
            let quiet = burst.start.saturating_duration_since(at);
            if left <= quiet {
                return at + left;
            }
            left -= quiet;
            at = at.max(burst.start);
            let slow = left.mul_f64(self.fault.factor);
            if at + slow <= burst.end {
                return at + slow;
            }
            let done = (burst.end - at).div_f64(self.fault.factor);
            left = left.saturating_sub(done);
            at = burst.end;
        }
    }

    fn forget(&mut self, now: Instant) {
        while self.bursts.front().is_some_and(|burst| burst.end <= now) {
            self.bursts.pop_front();
        }
    }

    /// The burst at an index, planned when first asked for.
    fn burst(&mut self, index: usize) -> Burst {
        while self.bursts.len() <= index {
            let start = self.planned + self.exponential(self.fault.interval_ms);
            let end = start + self.exponential(self.fault.duration_ms);
            self.planned = end;
            self.bursts.push_back(Burst { start, end });
        }
        self.bursts[index]
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        let uniform = 1.0 - self.random.f64();
        let millis = -mean_ms.max(0.001) * uniform.ln();
        Duration::from_secs_f64(millis / 1000.0) + Duration::from_nanos(1)
    }
}
