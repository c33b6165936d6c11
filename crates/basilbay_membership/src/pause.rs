//! Detection of process pauses and confirmation of the view afterwards.
//!
//! A pause is detected by the interval since the last tick. The view is then outdated by an unknown
//! amount, so both of its parts must be confirmed before the daemon is ready again. A heartbeat
//! does not confirm the view, because it may have been in the socket buffer during the pause. Only
//! the response to a pull made after the pause does.

use std::time::{Duration, Instant};

use crate::action::PullId;
use crate::event::Part;

/// Interval between ticks beyond which the process counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

/// Interval between attempts to confirm the view with a peer.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after which daemons that are not readers also read the platform; jitter is added.
pub const PLATFORM_DELAY: Duration = Duration::from_secs(1);

/// Parts of the view that are still unconfirmed after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconfirmed {
    /// When the pause was detected, after the process resumed.
    pub since: Instant,
    /// First pull whose response confirms the view.
    pub first_valid_pull: PullId,
    /// Whether the configuration is unconfirmed.
    pub config: bool,
    /// Whether the roster is unconfirmed.
    pub roster: bool,
}

/// Detects pauses by the intervals between ticks.
#[derive(Clone, Debug)]
pub struct Monitor {
    last_tick_at: Instant,
    /// `None` if the view is confirmed.
    unconfirmed: Option<Unconfirmed>,
}

impl Monitor {
    /// Creates a monitor with a confirmed view.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick_at: now,
            unconfirmed: None,
        }
    }

    /// The unconfirmed parts; `None` if the view is confirmed.
    pub fn unconfirmed(&self) -> Option<&Unconfirmed> {
        self.unconfirmed.as_ref()
    }

    /// Whether a part is unconfirmed.
    pub fn is_unconfirmed(&self, part: Part) -> bool {
        self.unconfirmed
            .as_ref()
            .is_some_and(|unconfirmed| match part {
                Part::Config => unconfirmed.config,
                Part::Roster => unconfirmed.roster,
            })
    }

    /// Whether the view is confirmed. Also detects a pause before the first tick after it.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.unconfirmed.is_none() && !self.is_gap(now)
    }

    /// Checks for a pause on any input; returns whether one was detected.
    pub fn observe(&mut self, now: Instant, next_pull: PullId) -> bool {
        if !self.is_gap(now) {
            return false;
        }
        self.last_tick_at = now;
        self.unconfirmed = Some(Unconfirmed {
            since: now,
            first_valid_pull: next_pull,
            config: true,
            roster: true,
        });
        true
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Instant) {
        self.last_tick_at = now;
    }

    /// Confirms a part with the response to a pull; returns whether this completes the
    /// confirmation.
    pub fn confirm(&mut self, part: Part, pull: PullId) -> bool {
        let Some(unconfirmed) = self
            .unconfirmed
            .as_mut()
            .filter(|unconfirmed| pull >= unconfirmed.first_valid_pull)
        else {
            return false;
        };
        match part {
            Part::Config => unconfirmed.config = false,
            Part::Roster => unconfirmed.roster = false,
        }
        let is_confirmed = !unconfirmed.config && !unconfirmed.roster;
        if is_confirmed {
            self.unconfirmed = None;
        }
        is_confirmed
    }

    fn is_gap(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick_at) > PAUSE_THRESHOLD
    }
}
