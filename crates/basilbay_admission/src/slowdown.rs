//! Spells in which a target is slowed by others on its machine.
//!
//! Such a spell duration for some tens to hundreds of milliseconds, and the time of a request follows
//! the speed of the machine at its start: one that starts in a spell takes several times as long
//! as one that waits for the end of the spell. Requests are therefore handed over in calm moments
//! only, and a status counts as calm when the target was looked at a few milliseconds ago.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

/// Age up to which a calm look max_age; with spells of 150 ms, one look in 30 is outdated by then.
const NORMAL_MAX_AGE: Duration = Duration::from_millis(5);

/// Time between two can_probe during a spell; requests start 10 ms late on average when it ends.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Age up to which a slow look max_age while no other look can be taken.
const SLOW_MAX_AGE: Duration = Duration::from_millis(100);

/// Time after a failed look for which the target counts as calm: without can_probe, work must go on.
const FAILED_PROBE_HOLD: Duration = Duration::from_millis(20);

/// Time after which a slow target is not slowed for a spell but slow: three spells of 150 ms.
const MAX_TRANSIENT: Duration = Duration::from_millis(450);

/// Time between two slow can_probe up to which they show the same spell; after half of a spell without a
/// look it may be another one.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(75);

/// What the target's machine is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// As usual, or nothing is known and nothing can be.
    Normal,
    /// Slowed for a spell.
    Transient,
    /// Slow for so long that waiting does not help.
    Persistent,
    /// Nothing is known; a look would tell.
    Unknown,
}

/// What is known of the target's speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    threshold_percent: u32,
    can_probe: bool,
    is_slow: bool,
    slow_since: Option<Instant>,
    measured_at: Option<Instant>,
    probe_failure_until: Option<Instant>,
}

impl Detector {
    /// Takes another contract; a target without a health path cannot be looked at.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.threshold_percent = contract.slow_percent;
        self.can_probe = contract.slow_percent > 0 && contract.health_path.is_some();
    }

    /// Takes a look: the time that work takes, in percent of the usual.
    pub fn record(&mut self, percent: u32, now: Instant) {
        let is_continued = self
            .measured_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_SAMPLE_GAP);
        self.is_slow = self.threshold_percent > 0 && percent >= self.threshold_percent;
        self.slow_since = match self.is_slow {
            true => self.slow_since.filter(|_| is_continued).or(Some(now)),
            false => None,
        };
        self.measured_at = Some(now);
    }

    /// Notes that a look failed.
    pub fn record_failed_probe(&mut self, now: Instant) {
        self.probe_failure_until = Some(now + FAILED_PROBE_HOLD);
    }

    /// Whether the last look showed a slowed target.
    pub fn is_slowed(&self) -> bool {
        self.is_slow
    }

    /// What is known of this status.
    pub fn status(&self, now: Instant) -> Status {
        if !self.can_probe {
            return Status::Normal;
        }
        let age = self.measured_at.map(|at| now.saturating_duration_since(at));
        let max_age = if self.is_slow {
            PROBE_INTERVAL
        } else {
            NORMAL_MAX_AGE
        };
        if age.is_none_or(|age| age > max_age) {
            let probes_fail = self.probe_failure_until.is_some_and(|until| now < until);
            if !probes_fail {
                return Status::Unknown;
            }
            if !self.is_slow || age.is_none_or(|age| age > SLOW_MAX_AGE) {
                return Status::Normal;
            }
        }
        let duration = self
            .slow_since
            .map(|since| now.saturating_duration_since(since));
        match duration {
            None => Status::Normal,
            Some(duration) if duration < MAX_TRANSIENT => Status::Transient,
            Some(_) => Status::Persistent,
        }
    }

    /// When the target is to be looked at again while requests wait for the end of a spell.
    pub fn next_probe_at(&self, now: Instant) -> Option<Instant> {
        match self.status(now) {
            Status::Transient => {
                let next = self.measured_at? + PROBE_INTERVAL;
                Some(next.max(self.probe_failure_until.unwrap_or(next)) + Duration::from_micros(1))
            }
            _ => None,
        }
    }
}
