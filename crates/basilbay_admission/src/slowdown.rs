//! Spells in which a target is slowed by others on its machine.
//!
//! Such a spell lasts for some tens to hundreds of milliseconds, and the time of a request follows
//! the speed of the machine at its start: one that starts in a spell takes several times as long
//! as one that waits for the end of the spell. Requests are therefore handed over in calm moments
//! only, and a moment counts as calm when the target was looked at a few milliseconds ago.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

/// Age up to which a calm look holds; with spells of 150 ms, one look in 30 is outdated by then.
const CALM_AGE: Duration = Duration::from_millis(5);

/// Time between two looks during a spell; requests start 10 ms late on average when it ends.
const SLOW_AGE: Duration = Duration::from_millis(20);

/// Age up to which a slow look holds while no other look can be taken.
const BLIND_SLOW_AGE: Duration = Duration::from_millis(100);

/// Time after a failed look for which the target counts as calm: without looks, work must go on.
const BLIND_AGE: Duration = Duration::from_millis(20);

/// Time after which a slow target is not slowed for a spell but slow: three spells of 150 ms.
const LONGEST: Duration = Duration::from_millis(450);

/// Time between two slow looks up to which they show the same spell; after half of a spell without a
/// look it may be another one.
const FOLLOWED: Duration = Duration::from_millis(75);

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
    threshold: u32,
    looks: bool,
    is_slow: bool,
    slow_since: Option<Instant>,
    seen_at: Option<Instant>,
    blind_until: Option<Instant>,
}

impl Detector {
    /// Takes another contract; a target without a health path cannot be looked at.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.threshold = contract.slow_percent;
        self.looks = contract.slow_percent > 0 && contract.health_path.is_some();
    }

    /// Takes a look: the time that work takes, in percent of the usual.
    pub fn note(&mut self, percent: u32, now: Instant) {
        let is_followed = self
            .seen_at
            .is_some_and(|at| now.saturating_duration_since(at) <= FOLLOWED);
        self.is_slow = self.threshold > 0 && percent >= self.threshold;
        self.slow_since = match self.is_slow {
            true => self.slow_since.filter(|_| is_followed).or(Some(now)),
            false => None,
        };
        self.seen_at = Some(now);
    }

    /// Notes that a look failed.
    pub fn note_blind(&mut self, now: Instant) {
        self.blind_until = Some(now + BLIND_AGE);
    }

    /// Whether the last look showed a slowed target.
    pub fn is_slowed(&self) -> bool {
        self.is_slow
    }

    /// What is known of this moment.
    pub fn moment(&self, now: Instant) -> Status {
        if !self.looks {
            return Status::Normal;
        }
        let age = self.seen_at.map(|at| now.saturating_duration_since(at));
        let holds = if self.is_slow { SLOW_AGE } else { CALM_AGE };
        if age.is_none_or(|age| age > holds) {
            let is_blind = self.blind_until.is_some_and(|until| now < until);
            if !is_blind {
                return Status::Unknown;
            }
            if !self.is_slow || age.is_none_or(|age| age > BLIND_SLOW_AGE) {
                return Status::Normal;
            }
        }
        let lasts = self
            .slow_since
            .map(|since| now.saturating_duration_since(since));
        match lasts {
            None => Status::Normal,
            Some(lasts) if lasts < LONGEST => Status::Transient,
            Some(_) => Status::Persistent,
        }
    }

    /// When the target is to be looked at again while requests wait for the end of a spell.
    pub fn next_look(&self, now: Instant) -> Option<Instant> {
        match self.moment(now) {
            Status::Transient => {
                let next = self.seen_at? + SLOW_AGE;
                Some(next.max(self.blind_until.unwrap_or(next)) + Duration::from_micros(1))
            }
            _ => None,
        }
    }
}
