//! Retry policy: decides from the outcome of an attempt whether it is retried.
//!
//! A refusal by the daemon beside the target costs the target nothing, so it is bounded per hop. A
//! request that has reached a target, which may have refused it, draws on the retry budget of the
//! service before it is sent once more, so that the budget bounds what the targets receive. A second
//! run of an idempotent request may also start a whole call chain again, so it draws on the allowance
//! that travels with the call. Each level keeps one unit of the allowance and passes on the rest, and
//! a retried attempt passes on none: with allowance A, a chain of any depth runs its last call at most
//! A + 1 times.

use std::time::{Duration, Instant};

use basilbay_wire::problem::{Outcome, Problem};

/// Refusals after which a call gives up; by then, full targets and full queues have refused it.
pub const MAX_REFUSALS: u8 = 8;

/// Retries per second that are allowed for a service even with few calls, if no fleet-wide slack is
/// configured.
const MIN_RETRIES_PER_SECOND: f64 = 3.0;

/// Maximum number of retries that a budget saves up, if no fleet-wide slack is configured.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Fraction of its share of a fleet-wide slack that a daemon may save up, and that it gains during
/// a window; each is half, so that no window of the whole fleet exceeds the slack.
const SLACK_FRACTION: f64 = 0.5;

/// Token bucket that bounds the retries of a service.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Retries that may be made now.
    tokens: f64,
    /// Retries gained per call.
    ratio: f64,
    /// Retries gained per second.
    min_per_second: f64,
    max_tokens: f64,
    refilled_at: Instant,
    /// Whether a fleet-wide slack is configured.
    is_shared: bool,
}

impl Budget {
    /// Creates a budget of `percent` of the calls.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            tokens: MIN_RETRIES_PER_SECOND,
            ratio: f64::from(percent) / 100.0,
            min_per_second: MIN_RETRIES_PER_SECOND,
            max_tokens: MAX_SAVED_RETRIES,
            refilled_at: now,
            is_shared: false,
        }
    }

    /// Sets the percentage of calls that may be retried.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Divides `slack` retries per window among the daemons of a fleet, on top of the percentage of
    /// calls. A daemon that has just started has none saved up, since the one before may have used them
    /// in the same window.
    pub fn set_slack(&mut self, slack: u32, window: Duration, daemons: usize) {
        let per_daemon = f64::from(slack) / daemons.max(1) as f64;
        let usable = per_daemon * SLACK_FRACTION;
        self.min_per_second = usable / window.as_secs_f64().max(0.1);
        self.max_tokens = usable.max(1.0);
        if !self.is_shared {
            self.is_shared = true;
            self.tokens = 0.0;
        }
        self.tokens = self.tokens.min(self.max_tokens);
    }

    /// Credits the budget with a call, and charges it for the probability `repeat_share` that a repeated
    /// run makes the call: then it is a repeat for the targets that are called. The charge may leave the
    /// budget in debt, at most by what it may save up.
    pub fn deposit(&mut self, repeat_share: f64) {
        let tokens = self.tokens + self.ratio - repeat_share;
        self.tokens = tokens.clamp(-self.max_tokens, self.max_tokens);
    }

    /// Takes one retry from the budget; returns whether there was one.
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

    /// Whether a retry could be taken now.
    pub fn has_retry(&self, now: Instant) -> bool {
        self.clone().withdraw(now)
    }
}

/// Additional runs that a call may still cause at this level and further downstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Retries left at this level.
    local: u8,
    /// Allowance passed on with the next attempt.
    downstream: u8,
}

impl Allowance {
    /// Splits the allowance of a call: one for this level, the rest for the levels downstream.
    pub fn split(total: u8) -> Self {
        Self {
            local: total.min(1),
            downstream: total.saturating_sub(1),
        }
    }

    /// Allowance that the next attempt passes on to the target.
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

/// Aborted attempts after which a call gives up, so that a request that crashes its targets is not
/// sent to more of them until its caller sends it again.
pub const MAX_ABORTED_ATTEMPTS: u8 = 2;

/// Attempts of one call at one level.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Deadline of the call.
    pub deadline: Instant,
    /// Remaining additional runs.
    pub allowance: Allowance,
    /// Number of refusals so far.
    pub refusals: u8,
    /// Whether an attempt ended without confirmation that the request has not run.
    may_have_run: bool,
    /// Number of attempts that a target aborted.
    aborted_attempts: u8,
    /// Whether an attempt has reached a target.
    has_reached_target: bool,
    /// Whether a retry was taken from the budget for an attempt that has reached no target yet.
    is_charged: bool,
}

/// Result of an attempt, as far as it matters for retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Whether the request may have reached the target's process.
    pub has_reached_target: bool,
}

impl Failure {
    /// An attempt that may have run.
    pub const UNKNOWN: Self = Self {
        outcome: Outcome::Unknown,
        has_reached_target: true,
    };

    /// An attempt that the daemon beside the target refused.
    pub const REFUSED: Self = Self {
        outcome: Outcome::NotRun,
        has_reached_target: false,
    };

    /// An attempt that the target refused.
    pub const REFUSED_BY_TARGET: Self = Self {
        outcome: Outcome::NotRun,
        has_reached_target: true,
    };
}

impl From<&Problem> for Failure {
    fn from(problem: &Problem) -> Self {
        Self {
            outcome: problem.outcome,
            has_reached_target: problem.has_reached_target(),
        }
    }
}

impl Attempts {
    /// Creates the state of a call before its first attempt.
    pub fn new(idempotent: bool, deadline: Instant, allowance: u8) -> Self {
        Self {
            idempotent,
            deadline,
            allowance: Allowance::split(allowance),
            refusals: 0,
            may_have_run: false,
            aborted_attempts: 0,
            has_reached_target: false,
            is_charged: false,
        }
    }

    /// Records an attempt that is not retried on its own.
    pub fn record(&mut self, failure: Failure) {
        self.may_have_run |= failure.outcome == Outcome::Unknown;
        if failure.has_reached_target {
            self.has_reached_target = true;
            self.is_charged = false;
        }
    }

    /// Whether the next attempt may be a repeat for its target: an earlier one has reached a target.
    pub fn is_repeat(&self) -> bool {
        self.has_reached_target
    }

    /// Records an attempt that a target aborted, possibly because of the request.
    pub fn record_aborted(&mut self) {
        self.aborted_attempts += 1;
    }

    /// Whether an attempt ended without confirmation that the request has not run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the request could be run again after an attempt that may have run.
    pub fn may_run_again(&self, budget: &Budget, now: Instant) -> bool {
        let allowed = self.idempotent && now < self.deadline && self.allowance.local > 0;
        allowed && self.aborted_attempts < MAX_ABORTED_ATTEMPTS && budget.has_retry(now)
    }

    /// Whether a second attempt may run in parallel with a first one that has not responded for
    /// long. A hedge counts as a second run, so `true` consumes both the allowance and a retry of
    /// the budget.
    pub fn try_hedge(&mut self, budget: &mut Budget, now: Instant) -> bool {
        let allowed = self.idempotent && now < self.deadline && self.allowance.local > 0;
        allowed && budget.withdraw(now) && self.allowance.try_consume()
    }

    /// Takes a retry from the budget unless the next attempt is the first one that may reach a target,
    /// or a retry was taken for it before.
    fn try_charge(&mut self, budget: &mut Budget, now: Instant) -> bool {
        if self.has_reached_target && !self.is_charged {
            self.is_charged = budget.withdraw(now);
            return self.is_charged;
        }
        true
    }

    /// Outcome to report to the caller after the last attempt ended with `last`: "not run" only if
    /// no attempt may have run.
    pub fn reported_outcome(&self, last: Outcome) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            last
        }
    }

    /// Records a failed attempt and decides whether to retry; `true` consumes a retry of the budget
    /// after an attempt that has reached its target, and the allowance after one that may have run.
    pub fn should_retry(&mut self, failure: Failure, budget: &mut Budget, now: Instant) -> bool {
        self.record(failure);
        if now >= self.deadline || self.aborted_attempts >= MAX_ABORTED_ATTEMPTS {
            return false;
        }
        match failure.outcome {
            Outcome::NotRun => {
                self.refusals += 1;
                self.refusals < MAX_REFUSALS && self.try_charge(budget, now)
            }
            Outcome::Unknown => {
                self.idempotent
                    && self.allowance.local > 0
                    && self.try_charge(budget, now)
                    && self.allowance.try_consume()
            }
        }
    }
}
