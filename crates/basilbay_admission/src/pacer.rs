//! Paces requests to a target that states how many per second it accepts from all callers.
//!
//! Every request to the target passes its gate, so the gate alone keeps the rate, without any
//! agreement among the callers' daemons. The pacer is a generic cell rate algorithm: it stores when
//! a request that follows all earlier ones at the stated rate is due, and starts requests up to
//! `BURST` ahead of that time. A rate that has just been stated starts without credit, because the
//! target states it when it is in need.
//!
//! A daemon that starts beside a running target cannot know whether the target has stated a rate.
//! Until the target's first response, it keeps to `UNKNOWN_RATE`.

use std::time::{Duration, Instant};

use basilbay_wire::notice::Rate;

/// How far a request may start ahead of its due time. Random arrivals then use most of the rate,
/// and in any 4 s the target gets at most an eighth more than it accepts, and one request.
const BURST: Duration = Duration::from_millis(500);

/// Requests per second to a target whose statements are unknown: enough to learn them from a
/// response, and in 4 s fewer than the slack of the users' rule.
const UNKNOWN_RATE: Rate = 1.0;

/// Longest interval between two requests; a lower rate counts as none at all.
const MAX_INTERVAL: Duration = Duration::from_secs(3600);

/// Rate that the pacer keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pace {
    /// No limit.
    Free,
    /// One request per interval.
    Limited(Duration),
    /// No requests.
    Stopped,
}

impl Pace {
    fn new(rate: Rate) -> Self {
        let interval_s = rate.recip();
        if interval_s <= MAX_INTERVAL.as_secs_f64() {
            Self::Limited(Duration::from_secs_f64(interval_s))
        } else {
            Self::Stopped
        }
    }
}

/// Rate limit of one target, as the target states it.
#[derive(Clone, Debug)]
pub struct Pacer {
    pace: Pace,
    /// When the next request is due at the stated rate.
    due_at: Instant,
    /// Whether the statements of the target are unknown.
    is_unknown: bool,
}

impl Pacer {
    /// Creates a pacer without a limit; with `may_be_limited`, the target ran before and may have
    /// stated a rate.
    pub fn new(may_be_limited: bool, now: Instant) -> Self {
        Self {
            pace: if may_be_limited {
                Pace::new(UNKNOWN_RATE)
            } else {
                Pace::Free
            },
            due_at: now + BURST,
            is_unknown: may_be_limited,
        }
    }

    /// Applies the rate that the target states; `None` for no limit.
    pub fn set_rate(&mut self, rate: Option<Rate>, now: Instant) {
        let pace = rate.map_or(Pace::Free, Pace::new);
        let is_repeated = pace == self.pace && !self.is_unknown;
        self.is_unknown = false;
        if is_repeated {
            return;
        }
        if let Pace::Limited(interval) = pace {
            // Credit is time, so that of a lower rate would start more requests at a higher one.
            let without_credit = now + BURST;
            self.due_at = self.due_at.clamp(without_credit, without_credit + interval);
        }
        self.pace = pace;
    }

    /// Number of requests that may start now; `None` without a limit.
    pub fn available(&self, now: Instant) -> Option<u32> {
        match self.pace {
            Pace::Free => None,
            Pace::Stopped => Some(0),
            Pace::Limited(interval) => {
                let credit = (now + BURST).checked_duration_since(self.due_at);
                Some(credit.map_or(0, |credit| {
                    (credit.as_secs_f64() / interval.as_secs_f64()) as u32 + 1
                }))
            }
        }
    }

    /// Whether a request may start now.
    pub fn admits(&self, now: Instant) -> bool {
        self.available(now).is_none_or(|available| available > 0)
    }

    /// Expected wait of a request with `ahead` requests queued before it; zero without a limit, and
    /// while the target's next response may lift it.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        match self.pace {
            Pace::Free => Duration::ZERO,
            _ if self.is_unknown => Duration::ZERO,
            Pace::Stopped => MAX_INTERVAL,
            Pace::Limited(interval) => {
                let queued = interval.saturating_mul(ahead).min(MAX_INTERVAL);
                let start_at = self.due_at.max(now) + queued;
                start_at.saturating_duration_since(now + BURST)
            }
        }
    }

    /// When the next request may start; `None` if one may start now, or only once the target states
    /// another rate.
    pub fn next_start_at(&self, now: Instant) -> Option<Instant> {
        let Pace::Limited(_) = self.pace else {
            return None;
        };
        let wait = self.due_at.saturating_duration_since(now + BURST);
        (!wait.is_zero()).then(|| now + wait)
    }

    /// Whether the target has not responded yet, so that it may state a rate.
    pub fn is_unknown(&self) -> bool {
        self.is_unknown
    }

    /// Records a start.
    pub fn record_start(&mut self, now: Instant) {
        if let Pace::Limited(interval) = self.pace {
            self.due_at = self.due_at.max(now) + interval;
        }
    }
}
