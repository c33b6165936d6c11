//! Slow start: a cold target gets the concurrency that its contract sets for cold targets. Once it
//! has sent enough responses to count as warm, the limit grows by one with each further response.
//!
//! The warm-up counts responses instead of time, because a target warms up by working: without
//! requests it stays cold however long it waits. Only responses to requests that were started
//! during the warm-up count.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

use crate::profile::Profile;
use crate::request::StartIndex;

/// Consecutive outliers that return a warm target to warm-up.
const OUTLIER_RESPONSES: u32 = 4;

/// Credit of a response that is as fast as the siblings' in the warm-up after a daemon restart.
const SIBLING_CREDIT: u32 = 8;

/// Responses with a normal service time that end a warm-up that slow responses triggered. If a
/// target responds as fast as ever to requests that were started after it was found slow, it had
/// paused or had a noisy neighbour and is not cold: a cold target is several times slower. With 25
/// responses in place of 4, bursts of 50 ms every 1.5 s cost so much capacity that 5% of the
/// requests were refused.
const NORMAL_RESPONSES: u32 = 4;

/// Multiple of the siblings' service time after which the requests of a predecessor daemon have
/// ended: its connections broke when it exited, which cancels its requests, and the slowest of a
/// hundred requests takes about 2.5 times the median.
const PREDECESSOR_WORK_FACTOR: u32 = 4;

/// A response within this factor of the siblings' service time is as fast as those of a warm
/// target.
const SIBLING_FACTOR: f64 = 1.5;

/// Initial limit for a target that may still run an unknown number of requests of a predecessor
/// daemon.
const RESTART_LIMIT: u32 = 1;

/// What started the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// The target started, or its connections broke.
    Cold,
    /// The daemon restarted and does not know what the target runs.
    Restart,
    /// The target responded far slower than its warm profile, or received no requests for a while.
    Slow,
}

#[derive(Clone, Debug)]
struct Progress {
    trigger: Trigger,
    /// Requests with a lower start index were started before the warm-up and are ignored.
    min_start_index: StartIndex,
    /// Responses so far, weighted by their credit.
    count: u32,
    /// Total service time of the responses in the second half of the warm-up.
    second_half_total_s: f64,
    second_half_count: u32,
}

/// Service time of warm siblings, for a target whose own warm service time is unknown.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    /// Typical service time of the siblings.
    pub service_time: Duration,
    /// When the requests of a predecessor daemon have ended.
    pub valid_from: Instant,
}

impl Reference {
    /// Creates a reference for a gate created at `created_at`.
    pub fn new(service_time: Duration, created_at: Instant) -> Self {
        Self {
            service_time,
            valid_from: created_at + service_time * PREDECESSOR_WORK_FACTOR,
        }
    }

    fn matches(&self, response: Response) -> bool {
        let is_fast =
            response.service_time.as_secs_f64() <= self.service_time.as_secs_f64() * SIBLING_FACTOR;
        is_fast && response.started_at >= self.valid_from
    }
}

/// A response as the warm-up counts it.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Start index of the request.
    pub index: StartIndex,
    /// When the request was started.
    pub started_at: Instant,
    /// Time from start to completion.
    pub service_time: Duration,
    /// Start index of the next request.
    pub next_index: StartIndex,
}

/// Warm-up of one target.
#[derive(Clone, Debug)]
pub struct Warmup {
    slots: u32,
    cold_slots: u32,
    warm_after: u32,
    /// Whether the contract's rate bounds cold targets instead of the warm-up.
    rate_limited: bool,
    /// `None` while the target is warm.
    progress: Option<Progress>,
    /// Consecutive outliers of the warm target.
    outliers: u32,
    reference: Option<Reference>,
    /// Limit of a warm target, which grows by one with each response.
    warm_limit: u32,
    /// Requests with a lower start index were started before the last connection reset that
    /// restarted the warm-up.
    min_reset_index: StartIndex,
}

impl Warmup {
    /// Creates the warm-up of a target that starts cold or was found running.
    pub fn new(contract: &Contract, trigger: Trigger) -> Self {
        let mut warmup = Self {
            slots: 1,
            cold_slots: 1,
            warm_after: 0,
            rate_limited: false,
            progress: None,
            outliers: 0,
            reference: None,
            warm_limit: 1,
            min_reset_index: 0,
        };
        warmup.progress = Some(Progress::new(trigger, 0));
        warmup.set_contract(contract);
        warmup
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self) -> bool {
        self.progress.is_some() && !self.rate_limited
    }

    /// Maximum concurrency.
    pub fn allowed(&self) -> u32 {
        if self.rate_limited {
            return self.slots;
        }
        match &self.progress {
            Some(progress) => self.cold_limit(progress),
            None => self.warm_limit.min(self.slots),
        }
    }

    /// Sets the service time of warm siblings; `None` if unknown. After a daemon restart, a
    /// response that is as fast counts for more, because a cold target is slower.
    pub fn set_reference(&mut self, reference: Option<Reference>) {
        self.reference = reference;
    }

    /// Applies a new contract; a warm target stays warm.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.slots = contract.slots.max(1);
        self.cold_slots = contract.cold_slots.clamp(1, self.slots);
        self.warm_after = contract.warm_after;
        self.rate_limited = contract.cold_rate > 0;
        self.finish_if_done();
    }

    /// Records a response; returns whether it returned the target to warm-up.
    pub fn record_response(&mut self, response: Response, profile: &mut Profile) -> bool {
        let service_time = response.service_time;
        if self.progress.is_some() {
            self.record_progress(response, profile);
            return false;
        }
        if !profile.is_outlier(service_time) {
            self.outliers = 0;
            self.warm_limit = self.warm_limit.saturating_add(1).min(self.slots);
            profile.record_warm(service_time);
            return false;
        }
        self.outliers += 1;
        if self.outliers < OUTLIER_RESPONSES {
            return false;
        }
        self.restart_warmup(Trigger::Slow, response.next_index);
        true
    }

    /// Records a broken or refused connection; returns whether it restarted the warm-up. The
    /// requests of a crashed process break one after the other and count once.
    pub fn record_reset(&mut self, start_index: StartIndex, next_index: StartIndex) -> bool {
        if start_index < self.min_reset_index {
            return false;
        }
        self.min_reset_index = next_index;
        self.restart_warmup(Trigger::Cold, next_index);
        true
    }

    /// Returns a target that received no requests for a while, and may have gone cold, to warm-up.
    pub fn target_idled(&mut self, next_index: StartIndex) {
        if self.progress.is_none() {
            self.restart_warmup(Trigger::Slow, next_index);
        }
    }

    /// Restarts the warm-up of a target that was unreachable or replaced and may be a new process.
    pub fn target_restarted(&mut self, next_index: StartIndex) {
        self.restart_warmup(Trigger::Cold, next_index);
    }

    fn record_progress(&mut self, response: Response, profile: &mut Profile) {
        let service_time = response.service_time;
        let Some(progress) = &mut self.progress else {
            return;
        };
        if response.index < progress.min_start_index {
            return;
        }
        let credit = match progress.trigger {
            Trigger::Slow if profile.is_normal(service_time) => {
                self.warm_after.div_ceil(NORMAL_RESPONSES)
            }
            Trigger::Restart if self.reference.is_some_and(|known| known.matches(response)) => {
                SIBLING_CREDIT
            }
            Trigger::Cold | Trigger::Slow | Trigger::Restart => 1,
        };
        progress.count = progress.count.saturating_add(credit);
        if progress.count >= self.warm_after / 2 {
            progress.second_half_total_s += service_time.as_secs_f64();
            progress.second_half_count += 1;
        }
        let second_half_mean_s =
            progress.second_half_total_s / f64::from(progress.second_half_count.max(1));
        let has_warm_mean = profile.warm_mean_s().is_some();
        // A target that is warm by its contract but slower than before has a new profile; compared
        // with the old profile, it would return to warm-up forever.
        if self.finish_if_done() && has_warm_mean {
            profile.raise_warm_mean(second_half_mean_s);
        }
    }

    fn finish_if_done(&mut self) -> bool {
        let is_done = self
            .progress
            .as_ref()
            .is_some_and(|progress| progress.count >= self.required_responses(progress.trigger));
        if is_done {
            self.progress = None;
            self.outliers = 0;
            // Without a cold start in the contract, all slots open at once.
            self.warm_limit = if self.warm_after == 0 {
                self.slots
            } else {
                self.cold_slots
            };
        }
        is_done
    }

    fn restart_warmup(&mut self, trigger: Trigger, next_index: StartIndex) {
        let is_daemon_restart = self
            .progress
            .as_ref()
            .is_some_and(|progress| progress.trigger == Trigger::Restart);
        let trigger = if is_daemon_restart {
            Trigger::Restart
        } else {
            trigger
        };
        self.progress = Some(Progress::new(trigger, next_index));
        self.outliers = 0;
        self.finish_if_done();
    }

    /// Limit during the warm-up. The contract sets it for the whole time until the target is warm,
    /// so it stays constant: a limit that grew with the square of the progress sent up to six
    /// requests too many to a target that warmed up only with its last response.
    fn cold_limit(&self, progress: &Progress) -> u32 {
        match progress.trigger {
            Trigger::Restart if progress.count < self.slots => RESTART_LIMIT,
            Trigger::Cold | Trigger::Slow | Trigger::Restart => self.cold_slots,
        }
    }

    fn required_responses(&self, trigger: Trigger) -> u32 {
        match trigger {
            // Even without a cold start in the contract, requests of a predecessor must finish.
            Trigger::Restart => self.warm_after.max(self.slots),
            Trigger::Cold | Trigger::Slow => self.warm_after,
        }
    }
}

impl Progress {
    fn new(trigger: Trigger, min_start_index: StartIndex) -> Self {
        Self {
            trigger,
            min_start_index,
            count: 0,
            second_half_total_s: 0.0,
            second_half_count: 0,
        }
    }
}
