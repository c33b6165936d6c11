//! Bounds how many lines of one sort are logged.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Lines a second that one sort may log for long; at 400 bytes each, 80 KB/s.
const LINES_PER_SECOND: f64 = 200.0;

/// Lines that may be logged at once after a quiet time.
const BURST: f64 = 400.0;

/// A bound on the lines of one sort.
#[derive(Debug)]
pub struct Limiter {
    bucket: Mutex<Option<(f64, Instant)>>,
    suppressed: AtomicU64,
}

impl Limiter {
    /// A bound that starts with a full burst.
    pub const fn new() -> Self {
        Self {
            bucket: Mutex::new(None),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Whether a line may be logged now; one that may not is counted.
    pub fn try_acquire(&self, now: Instant) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (level, filled_at) = bucket.unwrap_or((BURST, now));
        let passed = now.saturating_duration_since(filled_at).as_secs_f64();
        let level = (level + passed * LINES_PER_SECOND).min(BURST);
        let fits = level >= 1.0;
        *bucket = Some((if fits { level - 1.0 } else { level }, now));
        if !fits {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        fits
    }

    /// Lines that were left out since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
