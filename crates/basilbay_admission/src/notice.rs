//! What the target currently states about itself: the rate that it accepts and whether it is
//! leaving.
//!
//! A statement holds until a response without it. Responses can overtake each other, so only the
//! response to a request that was sent after the last response with the statement ends it.

use std::time::Instant;

use basilbay_wire::notice::{Notice, Rate, RateLimit};

/// A statement that has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The accepted rate; `None` for no limit.
    Rate {
        /// The previous rate.
        before: Option<Rate>,
        /// The current rate.
        after: Option<Rate>,
    },
    /// Whether the target is leaving.
    Leaving(bool),
    /// A response has a malformed rate limit; the previous rate stays in force.
    Malformed,
}

/// Current statements of one run of the target.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    rate: Option<Rate>,
    /// When a response last stated a rate; `None` before the first one.
    rate_stated_at: Option<Instant>,
    is_leaving: bool,
    /// When a response last stated that the target is leaving; `None` before the first one.
    leaving_stated_at: Option<Instant>,
    is_malformed: bool,
}

impl Tracker {
    /// Rate that the target accepts; `None` without a limit.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Whether the target states that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records the notice of a response that arrived at `now` to a request sent at `sent_at`, and
    /// returns what it changes.
    pub fn observe(&mut self, notice: &Notice, sent_at: Instant, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let before = self.rate;
        match notice.rate_limit {
            RateLimit::Stated(rate) => {
                self.rate = Some(rate);
                self.rate_stated_at = Some(now);
            }
            RateLimit::Malformed => self.rate_stated_at = Some(now),
            RateLimit::Absent if is_later(sent_at, self.rate_stated_at) => self.rate = None,
            RateLimit::Absent => {}
        }
        if self.rate != before {
            let after = self.rate;
            changes.push(Change::Rate { before, after });
        }
        let is_malformed = notice.rate_limit == RateLimit::Malformed;
        if is_malformed && !self.is_malformed {
            changes.push(Change::Malformed);
        }
        self.is_malformed = is_malformed;
        let was_leaving = self.is_leaving;
        if notice.is_leaving {
            self.is_leaving = true;
            self.leaving_stated_at = Some(now);
        } else if is_later(sent_at, self.leaving_stated_at) {
            self.is_leaving = false;
        }
        if self.is_leaving != was_leaving {
            changes.push(Change::Leaving(self.is_leaving));
        }
        changes
    }
}

/// Whether a request was sent after the last response with a statement.
fn is_later(sent_at: Instant, stated_at: Option<Instant>) -> bool {
    stated_at.is_none_or(|stated_at| sent_at > stated_at)
}
