//! Requests that a cold target is handed in any second.
//!
//! A contract may state the rate that a target in cold start bears. Starts are counted while the
//! target is warm too: one that turns cold unseen has had a second's worth already.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

use crate::window::Window;

/// Span over which starts are counted; the rate is stated for a second.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the rate that an earlier daemon may have used in the second before this one started.
const EARLIER_PART: u32 = 2;

/// Time by which a target may be older than its daemon and count as started with it; a daemon that
/// is killed takes longer to come back.
const TOGETHER: Duration = Duration::from_millis(100);

/// The pace of one target.
#[derive(Clone, Debug)]
pub struct Limiter {
    rate: u32,
    cold: Duration,
    cold_until: Option<Instant>,
    starts: Window,
    /// When the target was found; starts of an earlier daemon are assumed at that time.
    found: Instant,
}

impl Limiter {
    /// The pace of a target that is found at `now`; with `earlier`, another daemon may have handed
    /// it requests until then.
    pub fn new(contract: &Contract, earlier: bool, now: Instant) -> Self {
        let mut pace = Self {
            rate: contract.cold_rate,
            cold: contract.cold,
            cold_until: Some(now + contract.cold),
            starts: Window::new(WINDOW),
            found: now,
        };
        if earlier {
            let used = contract.cold_rate.div_ceil(EARLIER_PART);
            (0..used).for_each(|_| pace.starts.record(now));
        }
        pace
    }

    /// Whether the contract states a rate.
    pub fn is_set(&self) -> bool {
        self.rate > 0
    }

    /// Takes another contract.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.rate = contract.cold_rate;
        self.cold = contract.cold;
    }

    /// Assumes that the target is cold from now on: it started, or got no work for a while.
    pub fn cool(&mut self, now: Instant) {
        self.cold_until = Some(now + self.cold);
    }

    /// Takes what the target says of itself: how much longer it stays cold.
    pub fn observe(&mut self, left: Duration, now: Instant) {
        self.cold_until = (!left.is_zero()).then(|| now + left);
        let age = self.cold.saturating_sub(left);
        if age <= now.saturating_duration_since(self.found) + TOGETHER {
            // The target started when this daemon did, so no earlier one handed it anything.
            self.starts.discard_until(self.found);
        }
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self) -> bool {
        self.is_set() && self.cold_until.is_some()
    }

    /// Requests that may start at once; none if the target is warm, where nothing bounds them.
    pub fn left(&self) -> Option<u32> {
        let starts = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        self.is_cold().then(|| self.rate.saturating_sub(starts))
    }

    /// Time until a request may start that has `ahead` others before it.
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(cold_until) = self.cold_until.filter(|_| self.is_set()) else {
            return Duration::ZERO;
        };
        let rate = self.rate as usize;
        let (rounds, ahead) = (ahead / rate, ahead % rate);
        // As many start in each window as in the one before it.
        let earlier = (self.starts.len() + ahead).checked_sub(rate);
        let free_at = earlier
            .and_then(|place| self.starts.expires_at(place))
            .unwrap_or(now);
        let start_at = free_at + WINDOW * u32::try_from(rounds).unwrap_or(u32::MAX);
        start_at.min(cold_until).saturating_duration_since(now)
    }

    /// Whether a request may start now.
    pub fn admits(&mut self, now: Instant) -> bool {
        self.cold_until = self.cold_until.filter(|until| now < *until);
        self.starts.evict_expired(now);
        self.left().is_none_or(|left| left > 0)
    }

    /// When the next request may start, if none may now.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        let wait = self.wait(0, now);
        (!wait.is_zero()).then(|| now + wait)
    }

    /// Notes a start.
    pub fn start(&mut self, now: Instant) {
        if self.is_set() {
            self.starts.record(now);
        }
    }
}
