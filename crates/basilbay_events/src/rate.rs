//! Rate limit for log lines: a token bucket per category of lines.
//!
//! Lines over the limit are suppressed and counted, so that the count can be logged in their
//! place.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Sustained rate of one category; at 400 bytes a line, 80 KB/s.
const LINES_PER_SECOND: f64 = 200.0;

/// Capacity of the token bucket: lines that may be logged at once after an idle time.
const BURST_LINES: f64 = 400.0;

/// Rate limiter of one category of log lines.
#[derive(Debug)]
pub struct Limiter {
    /// Tokens and the time of the last refill; `None` before the first line.
    bucket: Mutex<Option<(f64, Instant)>>,
    /// Lines suppressed since the last [`Self::take_suppressed`].
    suppressed: AtomicU64,
}

impl Limiter {
    /// Creates a limiter with a full bucket.
    pub const fn new() -> Self {
        Self {
            bucket: Mutex::new(None),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Acquires a token for one line; if there is none, counts the line as suppressed and returns
    /// `false`.
    pub fn try_acquire(&self, now: Instant) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, refilled_at) = bucket.unwrap_or((BURST_LINES, now));
        let elapsed = now.saturating_duration_since(refilled_at).as_secs_f64();
        let tokens = (tokens + elapsed * LINES_PER_SECOND).min(BURST_LINES);
        let acquired = tokens >= 1.0;
        *bucket = Some((if acquired { tokens - 1.0 } else { tokens }, now));
        if !acquired {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        acquired
    }

    /// Returns the number of lines suppressed since the last call, and resets it.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
