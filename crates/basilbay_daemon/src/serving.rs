//! Serving status: whether the daemon may accept new requests.
//!
//! Each tick of the membership node stores the node's readiness and the time. Every request checks
//! both, so they are read with two atomic loads and without a lock.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use basilbay_membership::pause;

/// Readiness of the membership node as of its last tick.
#[derive(Debug)]
pub struct Status {
    /// Time from which `ticked_ns` counts.
    base: Instant,
    /// Time of the last tick, in nanoseconds since `base`.
    ticked_ns: AtomicU64,
    is_ready: AtomicBool,
}

impl Status {
    /// Creates a status that allows no new requests until the first update.
    pub fn new(now: Instant) -> Self {
        Self {
            base: now,
            ticked_ns: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
        }
    }

    /// Stores the readiness as of a tick.
    pub fn update(&self, is_ready: bool, now: Instant) {
        self.is_ready.store(is_ready, Ordering::Release);
        self.ticked_ns
            .store(self.elapsed_ns(now), Ordering::Release);
    }

    /// Whether new requests may be accepted.
    ///
    /// After the process was paused, a request may be handled before the tick that detects the
    /// pause. Therefore the time since the last tick is checked here too, against the same threshold.
    pub fn may_serve(&self, now: Instant) -> bool {
        let ticked = Duration::from_nanos(self.ticked_ns.load(Ordering::Acquire));
        let gap = Duration::from_nanos(self.elapsed_ns(now)).saturating_sub(ticked);
        gap <= pause::PAUSE_THRESHOLD && self.is_ready.load(Ordering::Acquire)
    }

    fn elapsed_ns(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.base).as_nanos();
        u64::try_from(elapsed).unwrap_or(u64::MAX)
    }
}
