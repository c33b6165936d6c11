//! Simulates noisy neighbours: seeded bursts during which a target runs slower.
//!
//! Given the start and the undisturbed length of a request, computes when it ends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::fault;

/// A time span during which the target runs slower.
#[derive(Clone, Copy, Debug)]
struct Burst {
    start: Instant,
    end: Instant,
}

/// Noise generator of one target.
pub(super) struct Noise {
    fault: fault::Noise,
    rng: fastrand::Rng,
    /// End of the last burst generated.
    last_end: Instant,
    /// Bursts that have not ended, in order.
    bursts: VecDeque<Burst>,
}

impl Noise {
    pub(super) fn new(fault: fault::Noise, seed: u64, now: Instant) -> Self {
        Self {
            fault,
            rng: fastrand::Rng::with_seed(seed),
            last_end: now,
            bursts: VecDeque::new(),
        }
    }

    /// Returns when a request ends that starts now and would take `work` without noise.
    pub(super) fn end_time(&mut self, now: Instant, work: Duration) -> Instant {
        self.evict_ended(now);
        let mut at = now;
        let mut left = work;
        let mut index = 0;
        loop {
            let burst = self.burst(index);
            index += 1;
            if burst.end <= at {
                continue;
            }
            let until_burst = burst.start.saturating_duration_since(at);
            if left <= until_burst {
                return at + left;
            }
            left -= until_burst;
            at = at.max(burst.start);
            let slowed = left.mul_f64(self.fault.factor);
            if at + slowed <= burst.end {
                return at + slowed;
            }
            let done = (burst.end - at).div_f64(self.fault.factor);
            left = left.saturating_sub(done);
            at = burst.end;
        }
    }

    fn evict_ended(&mut self, now: Instant) {
        while self.bursts.front().is_some_and(|burst| burst.end <= now) {
            self.bursts.pop_front();
        }
    }

    /// Returns the burst at an index and generates it on first use.
    fn burst(&mut self, index: usize) -> Burst {
        while self.bursts.len() <= index {
            let start = self.last_end + self.exponential(self.fault.interval_ms);
            let end = start + self.exponential(self.fault.duration_ms);
            self.last_end = end;
            self.bursts.push_back(Burst { start, end });
        }
        self.bursts[index]
    }

    /// Draws an exponentially distributed duration, never zero.
    fn exponential(&mut self, mean_ms: f64) -> Duration {
        let uniform = 1.0 - self.rng.f64();
        let millis = -mean_ms.max(0.001) * uniform.ln();
        Duration::from_secs_f64(millis / 1000.0) + Duration::from_nanos(1)
    }
}
