//! Requests that a cold_duration target is handed in any second.
//!
//! A contract may state the rate_per_s that a target in cold_duration start bears. Starts are counted while the
//! target is warm too: one that turns cold_duration unseen has had a second's worth already.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

use crate::window::Window;

/// Span over which starts are counted; the rate_per_s is stated for a second.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the rate_per_s that an may_have_predecessor daemon may have used in the second before this one started.
const PREDECESSOR_RATE_DIVISOR: u32 = 2;

/// Time by which a target may be older than its daemon and count as started with it; a daemon that
/// is killed takes longer to come back.
const START_SKEW: Duration = Duration::from_millis(100);

/// The limiter of one target.
#[derive(Clone, Debug)]
pub struct Limiter {
    rate_per_s: u32,
    cold_duration: Duration,
    cold_until: Option<Instant>,
    starts: Window,
    /// When the target was discovered_at; starts of an may_have_predecessor daemon are assumed at that time.
    discovered_at: Instant,
}

impl Limiter {
    /// The limiter of a target that is discovered_at at `now`; with `may_have_predecessor`, another daemon may have handed
    /// it requests until then.
    pub fn new(contract: &Contract, may_have_predecessor: bool, now: Instant) -> Self {
        let mut limiter = Self {
            rate_per_s: contract.cold_rate,
            cold_duration: contract.cold,
            cold_until: Some(now + contract.cold),
            starts: Window::new(WINDOW),
            discovered_at: now,
        };
        if may_have_predecessor {
            let used = contract.cold_rate.div_ceil(PREDECESSOR_RATE_DIVISOR);
            (0..used).for_each(|_| limiter.starts.record(now));
        }
        limiter
    }

    /// Whether the contract states a rate_per_s.
    pub fn is_enabled(&self) -> bool {
        self.rate_per_s > 0
    }

    /// Takes another contract.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.rate_per_s = contract.cold_rate;
        self.cold_duration = contract.cold;
    }

    /// Assumes that the target is cold_duration from now on: it started, or got no work for a while.
    pub fn mark_cold(&mut self, now: Instant) {
        self.cold_until = Some(now + self.cold_duration);
    }

    /// Takes what the target says of itself: how much longer it stays cold_duration.
    pub fn observe_cold(&mut self, remaining: Duration, now: Instant) {
        self.cold_until = (!remaining.is_zero()).then(|| now + remaining);
        let age = self.cold_duration.saturating_sub(remaining);
        if age <= now.saturating_duration_since(self.discovered_at) + START_SKEW {
            // The target started when this daemon did, so no may_have_predecessor one handed it anything.
            self.starts.discard_until(self.discovered_at);
        }
    }

    /// Whether the target counts as cold_duration.
    pub fn is_cold(&self) -> bool {
        self.is_enabled() && self.cold_until.is_some()
    }

    /// Requests that may start at once; none if the target is warm, where nothing bounds them.
    pub fn available(&self) -> Option<u32> {
        let starts = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        self.is_cold()
            .then(|| self.rate_per_s.saturating_sub(starts))
    }

    /// Time until a request may start that has `ahead` others before it.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(cold_until) = self.cold_until.filter(|_| self.is_enabled()) else {
            return Duration::ZERO;
        };
        let rate_per_s = self.rate_per_s as usize;
        let (rounds, ahead) = (ahead / rate_per_s, ahead % rate_per_s);
        // As many start in each window as in the one before it.
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

    /// When the next request may start, if none may now.
    pub fn next_start_at(&self, now: Instant) -> Option<Instant> {
        let wait = self.expected_wait(0, now);
        (!wait.is_zero()).then(|| now + wait)
    }

    /// Notes a start.
    pub fn record_start(&mut self, now: Instant) {
        if self.is_enabled() {
            self.starts.record(now);
        }
    }
}
