//! Whether the daemon may act on its view, readable without a lock on every request.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use basilbay_membership::pause;

/// The standing of the view, as of the last tick.
#[derive(Debug)]
pub struct Status {
    base: Instant,
    ticked_ns: AtomicU64,
    serves: AtomicBool,
}

impl Status {
    /// No trust before the first tick.
    pub fn new(now: Instant) -> Self {
        Self {
            base: now,
            ticked_ns: AtomicU64::new(0),
            serves: AtomicBool::new(false),
        }
    }

    /// Notes the standing at a tick.
    pub fn update(&self, serves: bool, now: Instant) {
        self.serves.store(serves, Ordering::Release);
        self.ticked_ns.store(self.since(now), Ordering::Release);
    }

    /// Whether new work may be taken.
    ///
    /// After a pause a request may be handled before the tick that notices the pause; the time
    /// since the last tick shows the pause as well.
    pub fn may_serve(&self, now: Instant) -> bool {
        let ticked = Duration::from_nanos(self.ticked_ns.load(Ordering::Acquire));
        let gap = Duration::from_nanos(self.since(now)).saturating_sub(ticked);
        gap <= pause::PAUSE_THRESHOLD && self.serves.load(Ordering::Acquire)
    }

    fn since(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.base).as_nanos();
        u64::try_from(since).unwrap_or(u64::MAX)
    }
}
