//! Detection of pauses, and what has been confirmed since.
//!
//! A heartbeat cannot confirm: it may have waited in the socket's buffer while the process stood
//! still. Only the answer to a pull that was made after the pause does.

use std::time::{Duration, Instant};

use crate::action::PullId;
use crate::event::Part;

/// Gap between ticks that counts as a pause.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

/// Time between attempts to have the view confirmed by a peer.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which daemons that are not readers ask the platform too, plus jitter.
pub const PLATFORM_DELAY: Duration = Duration::from_secs(1);

/// What is still unconfirmed after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconfirmed {
    /// When the pause was noticed.
    pub since: Instant,
    /// First id whose answer may confirm.
    pub floor: PullId,
    /// The configuration is unconfirmed.
    pub config: bool,
    /// The roster is unconfirmed.
    pub roster: bool,
}

/// Watches the gaps between ticks.
#[derive(Clone, Debug)]
pub struct Monitor {
    ticked_at: Instant,
    doubt: Option<Unconfirmed>,
}

impl Monitor {
    /// Starts without doubt.
    pub fn new(now: Instant) -> Self {
        Self {
            ticked_at: now,
            doubt: None,
        }
    }

    /// What is unconfirmed, when anything is.
    pub fn unconfirmed(&self) -> Option<&Unconfirmed> {
        self.doubt.as_ref()
    }

    /// Whether a part is unconfirmed.
    pub fn is_unconfirmed(&self, part: Part) -> bool {
        self.doubt.as_ref().is_some_and(|doubt| match part {
            Part::Config => doubt.config,
            Part::Roster => doubt.roster,
        })
    }

    /// Whether the view may be trusted, also before the first tick after a pause.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.doubt.is_none() && !self.is_gap(now)
    }

    /// Notices a pause on any input; tells whether one was found.
    pub fn observe(&mut self, now: Instant, next: PullId) -> bool {
        if !self.is_gap(now) {
            return false;
        }
        self.ticked_at = now;
        self.doubt = Some(Unconfirmed {
            since: now,
            floor: next,
            config: true,
            roster: true,
        });
        true
    }

    /// Notes a tick.
    pub fn tick(&mut self, now: Instant) {
        self.ticked_at = now;
    }

    /// Confirms a part by the answer to a pull; tells whether the whole view is confirmed now.
    pub fn confirm(&mut self, part: Part, id: PullId) -> bool {
        let Some(doubt) = self.doubt.as_mut().filter(|doubt| id >= doubt.floor) else {
            return false;
        };
        match part {
            Part::Config => doubt.config = false,
            Part::Roster => doubt.roster = false,
        }
        let settled = !doubt.config && !doubt.roster;
        if settled {
            self.doubt = None;
        }
        settled
    }

    fn is_gap(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ticked_at) > PAUSE_THRESHOLD
    }
}
