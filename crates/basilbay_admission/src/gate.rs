//! The gate: the only way to a target.
//!
//! Every request is offered once. It runs at once, waits or is refused; what happens later to a
//! request that waits comes out as an [`Action`]. The gate starts a request only while fewer run
//! than every limit allows, so a change of any limit takes effect with the next start and never
//! interrupts a running request.

mod closed;
mod observe;

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;
use basilbay_wire::load::{Load, State};
use basilbay_wire::problem::Cause;

pub use closed::Closed;
use closed::Reasons;

use crate::limit::{Limit, Sample};
use crate::probe::{Report, Restriction};
use crate::profile::Profile;
use crate::queue::{self, Queue};
use crate::rate::Limiter;
use crate::request::{Request, RequestId, StartIndex};
use crate::slowdown::{Detector, Status};
use crate::warmup::{Reference, Response, Trigger, Warmup};

/// How the target is found when the daemon starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// The target starts with the daemon, cold and idle.
    Fresh,
    /// The daemon restarted beside a target that may still run earlier work.
    Restart,
}

/// What becomes of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is to be handed to the target now.
    Run,
    /// It waits; an action follows unless it is cancelled.
    Wait,
    /// It is not run here.
    Refuse(Cause),
}

/// What becomes of a request that waited, or what is to be done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is to be handed to the target now.
    Start(RequestId),
    /// It is not run here.
    Refuse(RequestId, Cause),
    /// The target is to be looked at; [`Gate::probe_finished`] takes the end of the look.
    Probe,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The target answered with a status of 500 or above.
    Failed,
    /// The connection broke or was refused.
    Reset,
    /// The target gave it up because the caller went away.
    Cancelled,
}

/// Where a cancelled request was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waited and is removed; it was not run.
    Waiting,
    /// It runs and keeps its slot until it completes.
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: RequestId,
    order: StartIndex,
    started: Instant,
    suspect: bool,
}

/// Admission to one target.
#[derive(Debug)]
pub struct Gate {
    created: Instant,
    /// Whether an earlier daemon may have handed the target work.
    found_running: bool,
    limit: Limit,
    ramp: Warmup,
    pace: Limiter,
    spell: Detector,
    /// Whether a look was asked for that has not ended.
    look_asked: bool,
    profile: Profile,
    restriction: Option<Restriction>,
    queue: Queue,
    /// Sorted by id.
    running: Vec<Running>,
    suspect_runs: bool,
    reasons: Reasons,
    next_order: StartIndex,
    /// Most requests that ran at the same time since the last report.
    peak: u32,
    sequence: u64,
    actions: Vec<Action>,
}

impl Gate {
    /// A gate with nothing running; `now` is the moment of its creation.
    pub fn new(contract: &Contract, startup: Startup, now: Instant) -> Self {
        let origin = match startup {
            Startup::Fresh => Trigger::Cold,
            Startup::Restart => Trigger::Restart,
        };
        Self {
            created: now,
            found_running: startup == Startup::Restart,
            limit: Limit::new(contract.slots),
            ramp: Warmup::new(contract, origin),
            pace: Limiter::new(contract, startup == Startup::Restart, now),
            spell: Detector::default(),
            look_asked: false,
            profile: Profile::default(),
            restriction: None,
            queue: Queue::new(contract.queue),
            running: Vec::with_capacity(contract.slots as usize),
            suspect_runs: false,
            reasons: Reasons::default(),
            next_order: 0,
            peak: 0,
            sequence: 0,
            actions: Vec::new(),
        }
    }

    /// Asks to run a request. One whose id is still in use is refused.
    pub fn offer(&mut self, ticket: Request, now: Instant) -> Decision {
        if let Some(reason) = self.reasons.first() {
            return Decision::Refuse(reason.cause());
        }
        if ticket.deadline <= now {
            return Decision::Refuse(Cause::DeadlinePassed);
        }
        if self.place(ticket.id).is_some() {
            return Decision::Refuse(Cause::BadRequest);
        }
        self.drop_expired_restriction(now);
        let mut moment = self.moment(now);
        if self.has_room(now) && !self.queue.is_empty() {
            self.settle(now);
        }
        if self.has_room(now) && !(ticket.suspect && self.suspect_runs) {
            // A target that is slow for good serves those who have no other.
            if moment == Status::Normal || (moment == Status::Persistent && ticket.may_wait) {
                self.start(ticket, now);
                return Decision::Run;
            }
        } else if moment == Status::Unknown {
            // A look would not change that there is no room.
            moment = Status::Normal;
        }
        let is_hasty = !ticket.may_wait;
        match moment {
            Status::Transient | Status::Persistent if is_hasty => {
                Decision::Refuse(Cause::TargetSlowed)
            }
            Status::Normal if is_hasty => Decision::Refuse(Cause::NoCapacity),
            Status::Unknown => {
                let decision = self.enqueue(ticket, now);
                if decision == Decision::Wait {
                    self.ask_look();
                }
                decision
            }
            _ => self.enqueue(ticket, now),
        }
    }

    /// Reports the end of a started request and returns its service time; none if it is unknown.
    pub fn complete(
        &mut self,
        id: RequestId,
        result: Completion,
        now: Instant,
    ) -> Option<Duration> {
        let index = self.running_index(id).ok()?;
        let allowed = self.limit();
        let count = self.running.len() as u32;
        let running = self.running.remove(index);
        if running.suspect {
            self.suspect_runs = false;
        }
        let sample = Sample {
            order: running.order,
            next: self.next_order,
            started: running.started,
            service: now.saturating_duration_since(running.started),
            running: count,
            allowed,
            warm: !self.ramp.is_cold(),
        };
        self.learn(result, sample);
        self.settle(now);
        Some(sample.service)
    }

    /// Notes that the caller of a request went away. A waiting one is removed, a running one keeps
    /// its slot until it completes.
    pub fn cancel(&mut self, id: RequestId, now: Instant) -> Option<Stage> {
        let place = self.place(id);
        if place == Some(Stage::Waiting) {
            self.queue.remove(id);
            self.settle(now);
        }
        place
    }

    /// Refuses waiting requests that can no longer finish or have waited too long.
    pub fn tick(&mut self, now: Instant) {
        self.settle(now);
    }

    /// When [`Gate::tick`] next has something to do.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let queue = self.queue.next_deadline(self.profile.recent())?;
        let restriction = self
            .restriction
            .map_or(queue, |restriction| restriction.until);
        let pace = self.pace.next_at(now).unwrap_or(queue);
        let look = self.spell.next_look(now).unwrap_or(queue);
        Some(queue.min(restriction).min(pace).min(look))
    }

    /// Takes another contract into force.
    pub fn set_contract(&mut self, contract: &Contract, now: Instant) {
        self.limit.set_slots(contract.slots);
        self.limit.set_rule(contract.limit, contract.limit_percent);
        self.set_pace(contract, now);
        self.spell.set_contract(contract);
        self.ramp.set_contract(contract);
        self.queue.set_bound(contract.queue);
        self.settle(now);
        while self.queue.is_over() {
            let Some(id) = self.queue.shed_lightest(None, now) else {
                break;
            };
            self.actions.push(Action::Refuse(id, Cause::NoCapacity));
        }
    }

    /// Takes the usual service time of warm siblings; a gate beside a target that was found running
    /// climbs faster on answers that are as quick.
    pub fn set_sibling_latency(&mut self, latency: Option<Duration>) {
        let created = self.created;
        let reference = latency.map(|latency| Reference::new(latency, created));
        self.ramp.set_reference(reference);
    }

    /// Sets or clears one reason for taking no new work.
    ///
    /// A target that was closed got no work and may have turned cold meanwhile, as the targets of a
    /// failure domain do that was out; one that was down may be a new process.
    pub fn set_closed(&mut self, reason: Closed, holds: bool, now: Instant) {
        let reopens = !holds && self.reasons.contains(reason);
        self.reasons.set(reason, holds);
        if reopens && matches!(reason, Closed::Out | Closed::Down) {
            self.pace.cool(now);
        }
        match reason {
            Closed::Out if reopens => self.ramp.rested(self.next_order),
            Closed::Down if reopens => self.ramp.returned(self.next_order),
            _ => {}
        }
        if let Some(first) = self.reasons.first() {
            let actions = &mut self.actions;
            self.queue
                .clear(|id| actions.push(Action::Refuse(id, first.cause())));
        }
    }

    /// Whether a reason for taking no new work holds.
    pub fn is_closed(&self, reason: Closed) -> bool {
        self.reasons.contains(reason)
    }

    /// Holds a report of the target's load endpoint against the gate's own knowledge.
    pub fn observe_report(&mut self, report: Report, now: Instant) {
        let own_limit = self.limit.allowed().min(self.ramp.allowed());
        self.restriction = Restriction::new(report, own_limit, self.peak, now);
        self.peak = self.running.len() as u32;
        self.settle(now);
    }

    /// Takes out what became of waiting requests since the last call.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// Load figures with a fresh sequence number.
    pub fn load(&mut self) -> Load {
        self.sequence += 1;
        let latency = self.profile.recent().as_micros();
        Load {
            sequence: self.sequence,
            in_flight: self.running.len() as u32,
            limit: self.limit(),
            queued: self.queue.len() as u32,
            latency_us: u32::try_from(latency).unwrap_or(u32::MAX),
            state: self.state(),
            is_slowed: self.spell.is_slowed(),
        }
    }

    /// What happens to new work.
    pub fn state(&self) -> State {
        match self.reasons.first() {
            Some(reason) => reason.state(),
            None if self.ramp.is_cold() || self.pace.is_cold() => State::Cold,
            None => State::Warm,
        }
    }

    /// Requests that may run at this moment, by the least of all limits.
    pub fn limit(&self) -> u32 {
        let slots = self.slots();
        let running = self.running.len() as u32;
        let paced = self.pace.left().map(|left| left.saturating_add(running));
        paced.map_or(slots, |paced| paced.min(slots))
    }

    /// Requests that may run at the same time.
    fn slots(&self) -> u32 {
        let own = self.limit.allowed().min(self.ramp.allowed());
        self.restriction
            .map_or(own, |restriction| restriction.allowed.min(own))
    }

    /// Requests that are started and not completed.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn running_index(&self, id: RequestId) -> Result<usize, usize> {
        self.running.binary_search_by_key(&id, |running| running.id)
    }

    fn place(&self, id: RequestId) -> Option<Stage> {
        if self.running_index(id).is_ok() {
            return Some(Stage::Running);
        }
        self.queue.contains(id).then_some(Stage::Waiting)
    }

    fn has_room(&mut self, now: Instant) -> bool {
        self.pace.admits(now) && self.running.len() < self.limit() as usize
    }

    fn start(&mut self, ticket: Request, now: Instant) {
        let Err(index) = self.running_index(ticket.id) else {
            return;
        };
        let running = Running {
            id: ticket.id,
            order: self.next_order,
            started: now,
            suspect: ticket.suspect,
        };
        self.running.insert(index, running);
        self.next_order += 1;
        self.pace.start(now);
        self.suspect_runs |= ticket.suspect;
        self.peak = self.peak.max(self.running.len() as u32);
    }

    fn enqueue(&mut self, ticket: Request, now: Instant) -> Decision {
        let service = self.profile.recent();
        if queue::last_start(&ticket, service) <= now {
            return Decision::Refuse(Cause::DeadlinePassed);
        }
        if queue::last_start(&ticket, service) <= now + self.expected_wait(service, now) {
            return Decision::Refuse(Cause::NoCapacity);
        }
        if self.queue.is_full() {
            self.expire(now);
        }
        if self.queue.is_full() {
            let Some(id) = self.queue.shed_lightest(Some(ticket.weight), now) else {
                return Decision::Refuse(Cause::NoCapacity);
            };
            self.actions.push(Action::Refuse(id, Cause::NoCapacity));
        }
        self.queue.push(ticket, service, now);
        Decision::Wait
    }

    /// Time until a request at the end of the queue is started, if each slot is freed once in a
    /// service time and the rate of a cold start is used up.
    fn expected_wait(&self, service: Duration, now: Instant) -> Duration {
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let by_slots = service.saturating_mul(ahead) / self.slots().max(1);
        by_slots.max(self.pace.wait(self.queue.len(), now))
    }

    fn learn(&mut self, result: Completion, sample: Sample) {
        match result {
            Completion::Answered => self.learn_answer(sample),
            Completion::Failed => self.limit.failed(sample, &mut self.profile),
            Completion::Reset => {
                if self.ramp.reset(sample.order, sample.next) {
                    self.limit.restart_window(sample.next);
                }
            }
            Completion::Cancelled => {}
        }
    }

    fn learn_answer(&mut self, sample: Sample) {
        self.profile.note(sample.service);
        self.count_normal_answer(sample.service);
        let answer = Response {
            order: sample.order,
            started: sample.started,
            service: sample.service,
            next: sample.next,
        };
        let fell = self.ramp.answered(answer, &mut self.profile);
        if fell {
            self.limit.restart_window(sample.next);
            return;
        }
        self.limit.answered(sample, &mut self.profile);
    }

    fn count_normal_answer(&mut self, service: Duration) {
        let normal = self.profile.is_normal(service);
        let Some(restriction) = &mut self.restriction else {
            return;
        };
        if normal && restriction.is_refuted() {
            self.restriction = None;
        }
    }

    fn settle(&mut self, now: Instant) {
        self.drop_expired_restriction(now);
        self.expire(now);
        self.start_waiting(now);
    }

    fn drop_expired_restriction(&mut self, now: Instant) {
        self.restriction = self
            .restriction
            .filter(|restriction| now < restriction.until);
    }

    fn expire(&mut self, now: Instant) {
        let actions = &mut self.actions;
        self.queue.expire(self.profile.recent(), now, |id, cause| {
            actions.push(Action::Refuse(id, cause));
        });
    }

    fn start_waiting(&mut self, now: Instant) {
        while !self.queue.is_empty() && self.has_room(now) {
            match self.moment(now) {
                Status::Normal | Status::Persistent => {}
                Status::Transient => return,
                Status::Unknown => {
                    self.ask_look();
                    return;
                }
            }
            let Some(ticket) = self.queue.pop(self.suspect_runs, now) else {
                return;
            };
            self.start(ticket, now);
            self.actions.push(Action::Start(ticket.id));
        }
    }
}
