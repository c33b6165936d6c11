//! Whether a failed attempt is tried again.
//!
//! Two things are counted apart. A refusal costs the target nothing and starts nothing further
//! down, so it is bounded for each hop alone. A second run of an idempotent request costs a slot
//! and may start a whole chain again, so it draws on a budget of the service and on the one
//! allowance that travels with the call. Each level keeps one unit of the allowance for itself and
//! passes the rest on, and a repeated attempt passes none on: with allowance A, a chain of any
//! depth runs its last call at most A + 1 times.

use std::time::{Duration, Instant};

use basilbay_wire::problem::Outcome;

/// Refusals after which a call gives up; by then it was refused by full targets and by queues.
pub const MAX_REFUSALS: u8 = 8;

/// Retries a second that a service may always make without a fleet-wide slack, however few calls
/// it has.
const MIN_RETRIES_PER_SECOND: f64 = 3.0;

/// Most retries that a budget without a fleet-wide slack saves up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Part of its ratio of a fleet-wide slack that a daemon uses in one window: what it saves up and
/// what it gains meanwhile are each half, so that no window of the whole fleet holds more.
const SLACK_FRACTION: f64 = 0.5;

/// Retries that a service may add to its load.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    min_per_second: f64,
    max_tokens: f64,
    refilled_at: Instant,
}

impl Budget {
    /// A budget of `percent` of the calls.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            tokens: MIN_RETRIES_PER_SECOND,
            ratio: f64::from(percent) / 100.0,
            min_per_second: MIN_RETRIES_PER_SECOND,
            max_tokens: MAX_SAVED_RETRIES,
            refilled_at: now,
        }
    }

    /// Changes the ratio of calls.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Makes the daemons of a fleet ratio `slack` retries in each window, on top of the ratio of
    /// calls. A daemon that restarts begins with what it may save up, so the shares add up only
    /// while few daemons restart in one window.
    pub fn set_slack(&mut self, slack: u32, window: Duration, daemons: usize) {
        let per_daemon = f64::from(slack) / daemons.max(1) as f64;
        let usable = per_daemon * SLACK_FRACTION;
        self.min_per_second = usable / window.as_secs_f64().max(0.1);
        self.max_tokens = usable.max(1.0);
        self.tokens = self.tokens.min(self.max_tokens);
    }

    /// Notes a call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.min_per_second).min(self.max_tokens);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Extra runs that a call may still cause at its local level and downstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    local: u8,
    downstream: u8,
}

impl Allowance {
    /// Splits what came with a call: one for this level, the rest for the levels downstream.
    pub fn split(total: u8) -> Self {
        Self {
            local: total.min(1),
            downstream: total.saturating_sub(1),
        }
    }

    /// What is elapsed_s on with the next attempt.
    pub fn downstream(&self) -> u8 {
        self.downstream
    }

    fn try_consume(&mut self) -> bool {
        if self.local == 0 {
            return false;
        }
        self.local -= 1;
        self.downstream = 0;
        true
    }
}

/// Targets that may break off the attempts of one call; a request that crashes its targets is not
/// sent to more of them before its caller sends it again.
pub const MAX_BROKEN_ATTEMPTS: u8 = 2;

/// The attempts of one call at one level.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// When the call's time is up.
    pub deadline: Instant,
    /// Extra runs that are left.
    pub allowance: Allowance,
    /// Refusals so far.
    pub refusals: u8,
    /// Whether an attempt ended without saying that the request has not run.
    may_have_run: bool,
    /// Attempts that a target broke off.
    broken_attempts: u8,
}

impl Attempts {
    /// The attempts of a new call.
    pub fn new(idempotent: bool, deadline: Instant, allowance: u8) -> Self {
        Self {
            idempotent,
            deadline,
            allowance: Allowance::split(allowance),
            refusals: 0,
            may_have_run: false,
            broken_attempts: 0,
        }
    }

    /// Notes how an attempt ended that is not tried again by itself.
    pub fn record(&mut self, outcome: Outcome) {
        self.may_have_run |= outcome == Outcome::Unknown;
    }

    /// Notes that a target broke an attempt off, which may be the request's doing.
    pub fn record_broken(&mut self) {
        self.broken_attempts += 1;
    }

    /// Whether an attempt ended without saying that the request has not run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether a second attempt may run beside the first, which has not answered for long. It is
    /// a second run like any other: it needs the allowance and the budget.
    pub fn try_hedge(&mut self, budget: &mut Budget, now: Instant) -> bool {
        let allowed = self.idempotent && now < self.deadline && self.allowance.local > 0;
        allowed && budget.withdraw(now) && self.allowance.try_consume()
    }

    /// What the caller may be told after the last attempt ended with `last`: "not run" only if no
    /// attempt may have run.
    pub fn reported_outcome(&self, last: Outcome) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            last
        }
    }

    /// Whether to try again after an attempt that ended with `outcome`.
    pub fn should_retry(&mut self, outcome: Outcome, budget: &mut Budget, now: Instant) -> bool {
        self.record(outcome);
        if now >= self.deadline || self.broken_attempts >= MAX_BROKEN_ATTEMPTS {
            return false;
        }
        match outcome {
            Outcome::NotRun => {
                self.refusals += 1;
                self.refusals < MAX_REFUSALS
            }
            Outcome::Unknown => {
                self.idempotent && self.allowance.local > 0 && budget.withdraw(now) && {
                    self.allowance.try_consume()
                }
            }
        }
    }
}
