//! Spells in which a target is slowed by others on its machine.
//!
//! Such a spell lasts for some tens to hundreds of milliseconds, and the time of a request follows
//! the speed of the machine at its start. A request is therefore handed over in a calm moment: the
//! last look at the target must be a few milliseconds old at most, and in a slow spell the request
//! moves to another target, or waits for the end of the spell while that still serves its goal.

use std::time::{Duration, Instant};

/// Age up to which a look at the target holds; with spells of 150 ms, one look in 30 is outdated.
const LOOK_AGE: Duration = Duration::from_millis(5);

/// Time between two looks while a request waits for the end of a spell.
const LOOK_GAP: Duration = Duration::from_millis(15);

/// Time without slow work before a goal that is kept for the way back of the answer.
const MARGIN: Duration = Duration::from_millis(10);

/// What is known of the target's speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spell {
    percent: u32,
    seen_at: Option<Instant>,
}

/// A request that is about to be handed over.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Time that work takes, in percent of the usual, from which a target counts as slowed.
    pub threshold: u32,
    /// When the answer is of full use at the latest.
    pub goal_at: Instant,
    /// Usual service time.
    pub usual: Duration,
    /// Whether another target may take the request.
    pub may_move: bool,
    /// Whether the target may be looked at now.
    pub may_look: bool,
}

/// What to do with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it over.
    Run,
    /// Look at the target first.
    Look,
    /// Give it to another target.
    Move,
    /// Ask again at this time, after a new look.
    Wait(Instant),
}

impl Spell {
    /// Takes a look: the time that work takes, in percent of the usual.
    pub fn note(&mut self, percent: u32, now: Instant) {
        self.percent = percent;
        self.seen_at = Some(now);
    }

    /// Whether the last look showed a slowed target.
    pub fn is_slow(&self, threshold: u32) -> bool {
        threshold > 0 && self.seen_at.is_some() && self.percent >= threshold
    }

    /// Decides about a request.
    pub fn judge(&self, question: Question, now: Instant) -> Verdict {
        if question.threshold == 0 {
            return Verdict::Run;
        }
        let is_fresh = self
            .seen_at
            .is_some_and(|at| now.saturating_duration_since(at) <= LOOK_AGE);
        if !is_fresh && question.may_look {
            return Verdict::Look;
        }
        if !is_fresh || !self.is_slow(question.threshold) {
            return Verdict::Run;
        }
        if question.may_move {
            return Verdict::Move;
        }
        // The last start that still meets the goal in a calm moment.
        let latest = question.goal_at.checked_sub(question.usual + MARGIN);
        match latest {
            Some(latest) if now + LOOK_GAP <= latest => Verdict::Wait(now + LOOK_GAP),
            _ => Verdict::Run,
        }
    }
}
