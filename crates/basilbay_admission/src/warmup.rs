//! Cold start: a cold target is handed what its contract says a cold one bears, and, once it has
//! given enough answers to count as warm, one request more with each further answer.
//!
//! The ramp counts answers and not time, since a target warms by working: one that is given
//! nothing stays cold however long it waits. Only answers of requests that were started on the
//! ramp count.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

use crate::profile::Profile;
use crate::request::StartIndex;

/// Consecutive answers far above the profile that put a warm target back on the ramp.
const FAR_ANSWERS: u32 = 4;

/// What an answer at the siblings' usual time counts for on the ramp of a restarted daemon.
const SIBLING_CREDIT: u32 = 8;

/// Answers at the usual warm time that end a ramp which slow answers began. A target that answers
/// requests as quickly as ever which were started after it was found slow had paused, or had a
/// noisy neighbour, and is not cold: a cold one answers several times slower. With 25 answers in
/// place of 4, bursts of 50 ms each 1.5 s cost so much room that 5% of the requests were refused.
const NORMAL_ANSWERS: u32 = 4;

/// Multiple of the siblings' service time after which earlier work has ended: the connections of
/// the daemon before this one broke with it, which cancels its requests, and the slowest of a
/// hundred requests takes about 2.5 times the median.
const EARLIER_WORK: u32 = 4;

/// An answer within this factor of the siblings' service time is as quick as those of a warm target.
const SIBLING_FACTOR: f64 = 1.5;

/// Requests at the bottom of the ramp beside a target that may still run unknown earlier work.
const RESTART_SLOTS: u32 = 1;

/// What put the target on the ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// It starts, or its connections broke.
    Cold,
    /// The daemon restarted and does not know what the target runs.
    Restart,
    /// It answered far slower than its warm profile.
    Slow,
}

#[derive(Clone, Debug)]
struct Climb {
    origin: Trigger,
    /// Starts below it happened before the climb and do not count.
    first: StartIndex,
    progress: u32,
    late_total: f64,
    late_count: u32,
}

/// Service time of warm siblings, for a target whose own warm time is not known.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    /// Usual service time of the siblings.
    pub service: Duration,
    /// When work of an earlier daemon has ended.
    pub settled_at: Instant,
}

impl Reference {
    /// A reference for a gate that was made at `created`.
    pub fn new(service: Duration, created: Instant) -> Self {
        Self {
            service,
            settled_at: created + service * EARLIER_WORK,
        }
    }

    fn is_met(&self, answer: Response) -> bool {
        let usual = answer.service.as_secs_f64() <= self.service.as_secs_f64() * SIBLING_FACTOR;
        usual && answer.started >= self.settled_at
    }
}

/// An answer as the ramp counts it.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Stage of the request in the order of starts.
    pub order: StartIndex,
    /// When it was started.
    pub started: Instant,
    /// Its service time.
    pub service: Duration,
    /// Stage of the next request to start.
    pub next: StartIndex,
}

/// The ramp of one target.
#[derive(Clone, Debug)]
pub struct Warmup {
    slots: u32,
    cold_slots: u32,
    warm_after: u32,
    /// Whether cold targets are bounded by the rate of their contract in place of the ramp.
    paced: bool,
    climb: Option<Climb>,
    far: u32,
    reference: Option<Reference>,
    /// Requests that a warm target is allowed so far; it grows by one with each answer.
    opened: u32,
    /// Starts below it happened before the last broken connection that put the target back.
    alive_since: StartIndex,
}

impl Warmup {
    /// The ramp of a target that starts cold or is found running.
    pub fn new(contract: &Contract, origin: Trigger) -> Self {
        let mut ramp = Self {
            slots: 1,
            cold_slots: 1,
            warm_after: 0,
            paced: false,
            climb: None,
            far: 0,
            reference: None,
            opened: 1,
            alive_since: 0,
        };
        ramp.climb = Some(Climb::new(origin, 0));
        ramp.set_contract(contract);
        ramp
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self) -> bool {
        self.climb.is_some() && !self.paced
    }

    /// Requests that may run.
    pub fn allowed(&self) -> u32 {
        if self.paced {
            return self.slots;
        }
        match &self.climb {
            Some(climb) => self.bottom(climb),
            None => self.opened.min(self.slots),
        }
    }

    /// Takes the service time of warm siblings. Beside a target that was found running, an answer
    /// that is as quick counts for more: a cold target is slower.
    pub fn set_reference(&mut self, reference: Option<Reference>) {
        self.reference = reference;
    }

    /// Takes another contract; a warm target stays warm.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.slots = contract.slots.max(1);
        self.cold_slots = contract.cold_slots.clamp(1, self.slots);
        self.warm_after = contract.warm_after;
        self.paced = contract.cold_rate > 0;
        self.leave_when_done();
    }

    /// Takes an answer; true when it put the target back on the ramp.
    pub fn answered(&mut self, answer: Response, profile: &mut Profile) -> bool {
        let service = answer.service;
        if self.climb.is_some() {
            self.advance(answer, profile);
            return false;
        }
        if !profile.is_far_above(service) {
            self.far = 0;
            self.opened = self.opened.saturating_add(1).min(self.slots);
            profile.note_warm(service);
            return false;
        }
        self.far += 1;
        if self.far < FAR_ANSWERS {
            return false;
        }
        self.fall(Trigger::Slow, answer.next);
        true
    }

    /// Takes a broken or refused connection; true when it put the target back to the bottom. The
    /// requests that ran on a process that died break one after the other and count once.
    pub fn reset(&mut self, order: StartIndex, next: StartIndex) -> bool {
        if order < self.alive_since {
            return false;
        }
        self.alive_since = next;
        self.fall(Trigger::Cold, next);
        true
    }

    /// Notes that the target may have turned cold unseen while it got no work.
    pub fn rested(&mut self, next: StartIndex) {
        if self.climb.is_none() {
            self.fall(Trigger::Slow, next);
        }
    }

    /// Notes that the target was away and is back; its process may be a new one.
    pub fn returned(&mut self, next: StartIndex) {
        self.fall(Trigger::Cold, next);
    }

    fn advance(&mut self, answer: Response, profile: &mut Profile) {
        let service = answer.service;
        let Some(climb) = &mut self.climb else {
            return;
        };
        if answer.order < climb.first {
            return;
        }
        let credit = match climb.origin {
            Trigger::Slow if profile.is_normal(service) => self.warm_after.div_ceil(NORMAL_ANSWERS),
            Trigger::Restart if self.reference.is_some_and(|known| known.is_met(answer)) => {
                SIBLING_CREDIT
            }
            Trigger::Cold | Trigger::Slow | Trigger::Restart => 1,
        };
        climb.progress = climb.progress.saturating_add(credit);
        if climb.progress >= self.warm_after / 2 {
            climb.late_total += service.as_secs_f64();
            climb.late_count += 1;
        }
        let late = climb.late_total / f64::from(climb.late_count.max(1));
        let known = profile.mean().is_some();
        // A target that is warm by its contract and still slower than before has a new profile;
        // with the old one it would go back on the ramp for ever.
        if self.leave_when_done() && known {
            profile.raise(late);
        }
    }

    fn leave_when_done(&mut self) -> bool {
        let done = self
            .climb
            .as_ref()
            .is_some_and(|climb| climb.progress >= self.length(climb.origin));
        if done {
            self.climb = None;
            self.far = 0;
            // A contract without a cold start opens at once.
            self.opened = if self.warm_after == 0 {
                self.slots
            } else {
                self.cold_slots
            };
        }
        done
    }

    fn fall(&mut self, origin: Trigger, next: StartIndex) {
        let restart = self
            .climb
            .as_ref()
            .is_some_and(|climb| climb.origin == Trigger::Restart);
        let origin = if restart { Trigger::Restart } else { origin };
        self.climb = Some(Climb::new(origin, next));
        self.far = 0;
        self.leave_when_done();
    }

    /// What a target on the ramp bears. The contract states it for the whole time until the target
    /// is warm, so it does not grow before: a ramp that grew with the square of the progress
    /// handed up to six requests too many to a target that warmed with its last answer.
    fn bottom(&self, climb: &Climb) -> u32 {
        match climb.origin {
            Trigger::Restart if climb.progress < self.slots => RESTART_SLOTS,
            Trigger::Cold | Trigger::Slow | Trigger::Restart => self.cold_slots,
        }
    }

    fn length(&self, origin: Trigger) -> u32 {
        match origin {
            // A contract without a cold start still has earlier work to finish.
            Trigger::Restart => self.warm_after.max(self.slots),
            Trigger::Cold | Trigger::Slow => self.warm_after,
        }
    }
}

impl Climb {
    fn new(origin: Trigger, first: StartIndex) -> Self {
        Self {
            origin,
            first,
            progress: 0,
            late_total: 0.0,
            late_count: 0,
        }
    }
}
