//! Rate limit for requests to a cold target.
//!
//! A contract may set the number of requests per second that a target handles during its cold
//! start. Starts are counted over a sliding window, also while the target is warm: when it is found
//! to have gone cold, it has already received the requests of the last second.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

use crate::window::Window;

/// Window over which starts are counted; the rate is per second.
const WINDOW: Duration = Duration::from_secs(1);

/// Divisor of the rate for the starts that a predecessor daemon is assumed to have made in the
/// second before this one started.
const PREDECESSOR_RATE_DIVISOR: u32 = 2;

/// How much older than its daemon a target may be and still count as started with it; a killed
/// daemon takes longer to restart.
const START_SKEW: Duration = Duration::from_millis(100);

/// Rate limiter of one target.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Rate by contract; 0 for none.
    rate_per_s: u32,
    /// Duration of a cold start by contract.
    cold_duration: Duration,
    /// Expected end of the cold start; `None` while the target is warm.
    cold_until: Option<Instant>,
    starts: Window,
    /// When the target was discovered; starts of a predecessor are assumed at this time.
    discovered_at: Instant,
}

impl Limiter {
    /// Creates a limiter for a target discovered at `now`; with `may_have_predecessor`, another
    /// daemon may have sent it requests until then.
    pub fn new(contract: &Contract, may_have_predecessor: bool, now: Instant) -> Self {
        let mut limiter = Self {
            rate_per_s: contract.cold_rate,
            cold_duration: contract.cold_duration,
            cold_until: Some(now + contract.cold_duration),
            starts: Window::new(WINDOW),
            discovered_at: now,
        };
        if may_have_predecessor {
            let used = contract.cold_rate.div_ceil(PREDECESSOR_RATE_DIVISOR);
            (0..used).for_each(|_| limiter.starts.record(now));
        }
        limiter
    }

    /// Whether the contract sets a rate.
    pub fn is_enabled(&self) -> bool {
        self.rate_per_s > 0
    }

    /// Applies a new contract.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.rate_per_s = contract.cold_rate;
        self.cold_duration = contract.cold_duration;
    }

    /// Marks the target as cold from now on, because it started or received no requests for a
    /// while.
    pub fn mark_cold(&mut self, now: Instant) {
        self.cold_until = Some(now + self.cold_duration);
    }

    /// Records the remaining duration of the cold start as reported by the target; zero if it is
    /// warm.
    pub fn observe_cold_start(&mut self, remaining: Duration, now: Instant) {
        self.cold_until = (!remaining.is_zero()).then(|| now + remaining);
        let age = self.cold_duration.saturating_sub(remaining);
        if age <= now.saturating_duration_since(self.discovered_at) + START_SKEW {
            // The target started together with this daemon, so no predecessor sent it requests.
            self.starts.discard_until(self.discovered_at);
        }
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self) -> bool {
        self.is_enabled() && self.cold_until.is_some()
    }

    /// Number of requests that may start now; `None` if the rate is not limited.
    pub fn available(&self) -> Option<u32> {
        let starts = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        self.is_cold()
            .then(|| self.rate_per_s.saturating_sub(starts))
    }

    /// Expected wait of a request with `ahead` requests queued before it; zero if the rate is not
    /// limited.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(cold_until) = self.cold_until.filter(|_| self.is_enabled()) else {
            return Duration::ZERO;
        };
        let rate_per_s = self.rate_per_s as usize;
        let (rounds, ahead) = (ahead / rate_per_s, ahead % rate_per_s);
        // Each window admits as many starts as the one before it.
        let index = (self.starts.len() + ahead).checked_sub(rate_per_s);
        let free_at = index
            .and_then(|index| self.starts.expires_at(index))
            .unwrap_or(now);
        let start_at = free_at + WINDOW * u32::try_from(rounds).unwrap_or(u32::MAX);
        start_at.min(cold_until).saturating_duration_since(now)
    }

    /// Whether a request may start now.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.cold_until = self.cold_until.filter(|until| now < *until);
        self.starts.evict_expired(now);
        self.available().is_none_or(|available| available > 0)
    }

    /// When the next request may start; `None` if one may start now.
    pub fn next_start_at(&self, now: Instant) -> Option<Instant> {
        let wait = self.expected_wait(0, now);
        (!wait.is_zero()).then(|| now + wait)
    }

    /// Records a start.
    pub fn record_start(&mut self, now: Instant) {
        if self.is_enabled() {
            self.starts.record(now);
        }
    }
}
