//! Cold start: a cold target is handed what its contract says a cold one bears, and, once it has
//! given enough answers to count as warm, one request more with each further response.
//!
//! The warmup counts answers and not time, since a target warms by working: one that is given
//! nothing stays cold however long it waits. Only answers of requests that were started_at on the
//! warmup count.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

use crate::profile::Profile;
use crate::request::StartIndex;

/// Consecutive answers outliers above the profile that put a warm target back on the warmup.
const OUTLIER_RESPONSES: u32 = 4;

/// What an response at the siblings' usual time counts for on the warmup of a restarted daemon.
const SIBLING_CREDIT: u32 = 8;

/// Answers at the usual warm time that end a warmup which slow answers began. A target that answers
/// requests as quickly as ever which were started_at after it was found slow had paused, or had a
/// noisy neighbour, and is not cold: a cold one answers several times slower. With 25 answers in
/// place of 4, bursts of 50 ms each 1.5 s cost so much room that 5% of the requests were refused.
const NORMAL_RESPONSES: u32 = 4;

/// Multiple of the siblings' service_time time after which earlier work has ended: the connections of
/// the daemon before this one broke with it, which cancels its requests, and the slowest of a
/// hundred requests takes about 2.5 times the median.
const PREDECESSOR_WORK_FACTOR: u32 = 4;

/// An response within this factor of the siblings' service_time time is as quick as those of a warm target.
const SIBLING_FACTOR: f64 = 1.5;

/// Requests at the cold_limit of the warmup beside a target that may still run unknown earlier work.
const RESTART_LIMIT: u32 = 1;

/// What put the target on the warmup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// It starts, or its connections broke.
    Cold,
    /// The daemon restarted and does not know what the target runs.
    Restart,
    /// It record_response outliers slower than its warm profile.
    Slow,
}

#[derive(Clone, Debug)]
struct Progress {
    trigger: Trigger,
    /// Starts below it happened before the progress and do not count.
    min_start_index: StartIndex,
    count: u32,
    late_total_s: f64,
    late_count: u32,
}

/// Service time of warm siblings, for a target whose own warm time is not known.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    /// Usual service_time time of the siblings.
    pub service_time: Duration,
    /// When work of an earlier daemon has ended.
    pub valid_from: Instant,
}

impl Reference {
    /// A reference for a gate that was made at `created_at`.
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

/// An response as the warmup counts it.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Stage of the request in the start_index of starts.
    pub start_index: StartIndex,
    /// When it was started_at.
    pub started_at: Instant,
    /// Its service_time time.
    pub service_time: Duration,
    /// Stage of the next_start_index request to start.
    pub next_start_index: StartIndex,
}

/// The warmup of one target.
#[derive(Clone, Debug)]
pub struct Warmup {
    slots: u32,
    cold_slots: u32,
    warm_after: u32,
    /// Whether cold targets are bounded by the rate of their contract in place of the warmup.
    rate_limited: bool,
    progress: Option<Progress>,
    outliers: u32,
    reference: Option<Reference>,
    /// Requests that a warm target is allowed so outliers; it grows by one with each response.
    warm_limit: u32,
    /// Starts below it happened before the last broken connection that put the target back.
    min_reset_index: StartIndex,
}

impl Warmup {
    /// The warmup of a target that starts cold or is found running.
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

    /// Requests that may run.
    pub fn allowed(&self) -> u32 {
        if self.rate_limited {
            return self.slots;
        }
        match &self.progress {
            Some(progress) => self.cold_limit(progress),
            None => self.warm_limit.min(self.slots),
        }
    }

    /// Takes the service_time time of warm siblings. Beside a target that was found running, an response
    /// that is as quick counts for more: a cold target is slower.
    pub fn set_reference(&mut self, reference: Option<Reference>) {
        self.reference = reference;
    }

    /// Takes another contract; a warm target stays warm.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.slots = contract.slots.max(1);
        self.cold_slots = contract.cold_slots.clamp(1, self.slots);
        self.warm_after = contract.warm_after;
        self.rate_limited = contract.cold_rate > 0;
        self.finish_if_done();
    }

    /// Takes an response; true when it put the target back on the warmup.
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
        self.restart_warmup(Trigger::Slow, response.next_start_index);
        true
    }

    /// Takes a broken or refused connection; true when it put the target back to the cold_limit. The
    /// requests that ran on a process that died break one after the other and count once.
    pub fn record_reset(&mut self, start_index: StartIndex, next_start_index: StartIndex) -> bool {
        if start_index < self.min_reset_index {
            return false;
        }
        self.min_reset_index = next_start_index;
        self.restart_warmup(Trigger::Cold, next_start_index);
        true
    }

    /// Notes that the target may have turned cold unseen while it got no work.
    pub fn target_idled(&mut self, next_start_index: StartIndex) {
        if self.progress.is_none() {
            self.restart_warmup(Trigger::Slow, next_start_index);
        }
    }

    /// Notes that the target was away and is back; its process may be a new one.
    pub fn target_restarted(&mut self, next_start_index: StartIndex) {
        self.restart_warmup(Trigger::Cold, next_start_index);
    }

    fn record_progress(&mut self, response: Response, profile: &mut Profile) {
        let service_time = response.service_time;
        let Some(progress) = &mut self.progress else {
            return;
        };
        if response.start_index < progress.min_start_index {
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
            progress.late_total_s += service_time.as_secs_f64();
            progress.late_count += 1;
        }
        let late_mean_s = progress.late_total_s / f64::from(progress.late_count.max(1));
        let has_warm_mean = profile.warm_mean_s().is_some();
        // A target that is warm by its contract and still slower than before has a new profile;
        // with the old one it would go back on the warmup for ever.
        if self.finish_if_done() && has_warm_mean {
            profile.raise_warm_mean(late_mean_s);
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
            // A contract without a cold start opens at once.
            self.warm_limit = if self.warm_after == 0 {
                self.slots
            } else {
                self.cold_slots
            };
        }
        is_done
    }

    fn restart_warmup(&mut self, trigger: Trigger, next_start_index: StartIndex) {
        let restart = self
            .progress
            .as_ref()
            .is_some_and(|progress| progress.trigger == Trigger::Restart);
        let trigger = if restart { Trigger::Restart } else { trigger };
        self.progress = Some(Progress::new(trigger, next_start_index));
        self.outliers = 0;
        self.finish_if_done();
    }

    /// What a target on the warmup bears. The contract states it for the whole time until the target
    /// is warm, so it does not grow before: a warmup that grew with the square of the progress
    /// handed up to six requests too many to a target that warmed with its last response.
    fn cold_limit(&self, progress: &Progress) -> u32 {
        match progress.trigger {
            Trigger::Restart if progress.count < self.slots => RESTART_LIMIT,
            Trigger::Cold | Trigger::Slow | Trigger::Restart => self.cold_slots,
        }
    }

    fn required_responses(&self, trigger: Trigger) -> u32 {
        match trigger {
            // A contract without a cold start still has earlier work to finish.
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
            late_total_s: 0.0,
            late_count: 0,
        }
    }
}
