//! The admission gate, through which every request to a target passes.
//!
//! Each request is offered once and is run, queued or refused; what later happens to a queued
//! request is reported as an [`Action`]. A request starts only while fewer requests run than every
//! limit allows, so a changed limit applies from the next start and never interrupts a running
//! request.

mod closed;
mod observe;

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;
use basilbay_wire::load::{Load, State};
use basilbay_wire::problem::Cause;

pub use closed::Closed;
use closed::ClosedSet;

use crate::limit::{Limit, Sample};
use crate::notice::Tracker;
use crate::pacer::Pacer;
use crate::probe::{Report, Restriction};
use crate::profile::Profile;
use crate::queue::{self, Queue};
use crate::rate::Limiter;
use crate::request::{Request, RequestId, StartIndex};
use crate::slowdown::{Detector, Status};
use crate::warmup::{Reference, Response, Trigger, Warmup};

/// State of the target when the daemon starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// The target starts together with the daemon, cold and idle.
    Fresh,
    /// The daemon restarted next to a target that may still run requests of its predecessor.
    Restart,
}

/// Result of offering a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to the target now.
    Run,
    /// The request is queued; an [`Action`] follows unless it is cancelled.
    Wait,
    /// The request is not run here.
    Refuse(Cause),
}

/// What the caller of the gate has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the queued request to the target now.
    Start(RequestId),
    /// The queued request is not run here.
    Refuse(RequestId, Cause),
    /// Probe the health path and report the result to [`Gate::probe_finished`].
    Probe,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target responded with a status below 500.
    Answered,
    /// The target responded with a status of 500 or above.
    Failed,
    /// The connection was broken or refused.
    Reset,
    /// The target aborted the request because the caller disconnected.
    Cancelled,
}

/// Where a request was when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// In the queue; it is removed and has not run.
    Waiting,
    /// On the target; it keeps its slot until it completes.
    Running,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    id: RequestId,
    start_index: StartIndex,
    started_at: Instant,
    suspect: bool,
}

/// Admission control for one target.
#[derive(Debug)]
pub struct Gate {
    created_at: Instant,
    /// Whether an earlier daemon may have sent requests to the target before this one started.
    may_have_predecessor: bool,
    limit: Limit,
    warmup: Warmup,
    rate: Limiter,
    notice: Tracker,
    pacer: Pacer,
    slowdown: Detector,
    /// Whether the result of an [`Action::Probe`] is still pending.
    probe_requested: bool,
    profile: Profile,
    /// Restriction by the last report of the load endpoint; `None` if there is none.
    restriction: Option<Restriction>,
    queue: Queue,
    /// Sorted by id.
    running: Vec<Running>,
    suspect_running: bool,
    closed: ClosedSet,
    next_start_index: StartIndex,
    /// Peak concurrency since the last report of the target's load endpoint.
    peak_running: u32,
    load_sequence: u64,
    actions: Vec<Action>,
}

impl Gate {
    /// Creates a gate without running or queued requests.
    pub fn new(contract: &Contract, startup: Startup, now: Instant) -> Self {
        let trigger = match startup {
            Startup::Fresh => Trigger::Cold,
            Startup::Restart => Trigger::Restart,
        };
        Self {
            created_at: now,
            may_have_predecessor: startup == Startup::Restart,
            limit: Limit::new(contract.slots),
            warmup: Warmup::new(contract, trigger),
            rate: Limiter::new(contract, startup == Startup::Restart, now),
            notice: Tracker::default(),
            pacer: Pacer::new(startup == Startup::Restart, now),
            slowdown: Detector::default(),
            probe_requested: false,
            profile: Profile::default(),
            restriction: None,
            queue: Queue::new(contract.queue),
            running: Vec::with_capacity(contract.slots as usize),
            suspect_running: false,
            closed: ClosedSet::default(),
            next_start_index: 0,
            peak_running: 0,
            load_sequence: 0,
            actions: Vec::new(),
        }
    }

    /// Decides on a request. An id that is still in use is refused.
    pub fn offer(&mut self, request: Request, now: Instant) -> Decision {
        if let Some(reason) = self.closed.first() {
            return Decision::Refuse(reason.cause());
        }
        if request.deadline <= now {
            return Decision::Refuse(Cause::DeadlinePassed);
        }
        if self.stage(request.id).is_some() {
            return Decision::Refuse(Cause::BadRequest);
        }
        self.drop_expired_restriction(now);
        let mut status = self.slowdown_status(now);
        if self.has_capacity(now) && !self.queue.is_empty() {
            self.process_queue(now);
        }
        if self.has_capacity(now) && !(request.suspect && self.suspect_running) {
            // A persistently slow target takes only requests that no other target can run.
            if status == Status::Normal || (status == Status::Persistent && request.may_wait) {
                self.start(request, now);
                return Decision::Run;
            }
        } else if status == Status::Unknown && !self.pacer.is_unknown() {
            // Without capacity, the result of a probe would not matter, unless it may lift a rate
            // limit.
            status = Status::Normal;
        }
        let refuses_wait = !request.may_wait;
        match status {
            Status::Transient | Status::Persistent if refuses_wait => {
                Decision::Refuse(Cause::TargetSlowed)
            }
            Status::Normal if refuses_wait => Decision::Refuse(Cause::NoCapacity),
            Status::Unknown => {
                let decision = self.enqueue(request, now);
                if decision == Decision::Wait {
                    self.request_probe();
                }
                decision
            }
            _ => self.enqueue(request, now),
        }
    }

    /// Records the end of a started request and returns its service time; `None` for an unknown id.
    pub fn complete(
        &mut self,
        id: RequestId,
        completion: Completion,
        now: Instant,
    ) -> Option<Duration> {
        let index = self.running_index(id).ok()?;
        let allowed = self.limit();
        let count = self.running.len() as u32;
        let running = self.running.remove(index);
        if running.suspect {
            self.suspect_running = false;
        }
        let sample = Sample {
            index: running.start_index,
            next_index: self.next_start_index,
            started_at: running.started_at,
            service_time: now.saturating_duration_since(running.started_at),
            concurrency: count,
            allowed,
            is_warm: !self.warmup.is_cold(),
        };
        self.record_completion(completion, sample);
        self.process_queue(now);
        Some(sample.service_time)
    }

    /// Handles a disconnected caller: a queued request is removed, a running one keeps its slot
    /// until it completes. Returns where the request was; `None` for an unknown id.
    pub fn cancel(&mut self, id: RequestId, now: Instant) -> Option<Stage> {
        let stage = self.stage(id);
        if stage == Some(Stage::Waiting) {
            self.queue.remove(id);
            self.process_queue(now);
        }
        stage
    }

    /// Refuses queued requests that cannot finish in time or have waited too long.
    pub fn tick(&mut self, now: Instant) {
        self.process_queue(now);
    }

    /// When [`Gate::tick`] next has work to do; `None` while the queue is empty.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let queue = self.queue.next_deadline(self.profile.recent())?;
        let restriction = self
            .restriction
            .map_or(queue, |restriction| restriction.expires_at);
        let next_start = self.rate.next_start_at(now).unwrap_or(queue);
        let paced = self.pacer.next_start_at(now).unwrap_or(queue);
        let probe = self.slowdown.next_probe_at(now).unwrap_or(queue);
        Some(queue.min(restriction).min(next_start).min(paced).min(probe))
    }

    /// Applies a new contract.
    pub fn set_contract(&mut self, contract: &Contract, now: Instant) {
        self.limit.set_slots(contract.slots);
        self.limit.set_rule(contract.limit, contract.limit_percent);
        self.set_rate(contract, now);
        self.slowdown.set_contract(contract);
        self.warmup.set_contract(contract);
        self.queue.set_bound(contract.queue);
        self.process_queue(now);
        while self.queue.exceeds_bound() {
            let Some(id) = self.queue.shed_lightest(None, now) else {
                break;
            };
            self.actions.push(Action::Refuse(id, Cause::NoCapacity));
        }
    }

    /// Sets the typical service time of warm siblings, `None` if unknown. After a daemon restart, a
    /// target whose responses are as fast warms up sooner.
    pub fn set_sibling_latency(&mut self, latency: Option<Duration>) {
        let created_at = self.created_at;
        let reference = latency.map(|latency| Reference::new(latency, created_at));
        self.warmup.set_reference(reference);
    }

    /// Sets or clears one reason for closing the gate.
    ///
    /// A target that reopens after [`Closed::Out`] received no requests and may have gone cold;
    /// after [`Closed::Down`] it may be a new process.
    pub fn set_closed(&mut self, reason: Closed, active: bool, now: Instant) {
        let reopens = !active && self.closed.contains(reason);
        self.closed.set(reason, active);
        if reopens && matches!(reason, Closed::Out | Closed::Down) {
            self.rate.mark_cold(now);
        }
        match reason {
            Closed::Out if reopens => self.warmup.target_idled(self.next_start_index),
            Closed::Down if reopens => self.warmup.target_restarted(self.next_start_index),
            _ => {}
        }
        if let Some(first) = self.closed.first() {
            let actions = &mut self.actions;
            self.queue
                .clear(|id| actions.push(Action::Refuse(id, first.cause())));
        }
    }

    /// Whether a reason for closing is active.
    pub fn is_closed(&self, reason: Closed) -> bool {
        self.closed.contains(reason)
    }

    /// Compares a report of the load endpoint with the gate's own counts.
    pub fn observe_report(&mut self, report: Report, now: Instant) {
        let own_limit = self.limit.allowed().min(self.warmup.allowed());
        self.restriction = Restriction::new(report, own_limit, self.peak_running, now);
        self.peak_running = self.running.len() as u32;
        self.process_queue(now);
    }

    /// Drains the actions since the last call.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// Current load, with a new sequence number.
    pub fn load(&mut self, now: Instant) -> Load {
        self.load_sequence += 1;
        let rate_wait = self.paced_wait(now).as_micros();
        let running = self.running.len() as u32;
        let by_pace = self.pacer.available(now).unwrap_or(u32::MAX);
        let latency = self.profile.recent().as_micros();
        Load {
            sequence: self.load_sequence,
            in_flight: running,
            limit: self.limit().min(running.saturating_add(by_pace)),
            queued: self.queue.len() as u32,
            latency_us: u32::try_from(latency).unwrap_or(u32::MAX),
            state: self.state(),
            is_slowed: self.slowdown.is_slowed(),
            rate_wait_us: u32::try_from(rate_wait).unwrap_or(u32::MAX),
        }
    }

    /// State to report: the first active reason for closing, otherwise cold or warm.
    pub fn state(&self) -> State {
        match self.closed.first() {
            Some(reason) => reason.state(),
            None if self.warmup.is_cold() || self.rate.is_cold() => State::Cold,
            None => State::Warm,
        }
    }

    /// Current maximum concurrency, including the cold-start rate limit.
    pub fn limit(&self) -> u32 {
        let slots = self.slots();
        let running = self.running.len() as u32;
        let by_rate = self.rate.available().map(|it| it.saturating_add(running));
        by_rate.map_or(slots, |allowed| allowed.min(slots))
    }

    /// Maximum concurrency without the cold-start rate limit.
    fn slots(&self) -> u32 {
        let own = self.limit.allowed().min(self.warmup.allowed());
        self.restriction
            .map_or(own, |restriction| restriction.allowed.min(own))
    }

    /// Number of started requests that have not completed.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request runs or is queued.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    fn running_index(&self, id: RequestId) -> Result<usize, usize> {
        self.running.binary_search_by_key(&id, |running| running.id)
    }

    fn stage(&self, id: RequestId) -> Option<Stage> {
        if self.running_index(id).is_ok() {
            return Some(Stage::Running);
        }
        self.queue.contains(id).then_some(Stage::Waiting)
    }

    fn has_capacity(&mut self, now: Instant) -> bool {
        self.rate.admits(now)
            && self.pacer.admits(now)
            && self.running.len() < self.limit() as usize
    }

    fn start(&mut self, request: Request, now: Instant) {
        let Err(index) = self.running_index(request.id) else {
            return;
        };
        let running = Running {
            id: request.id,
            start_index: self.next_start_index,
            started_at: now,
            suspect: request.suspect,
        };
        self.running.insert(index, running);
        self.next_start_index += 1;
        self.rate.record_start(now);
        self.pacer.record_start(now);
        self.suspect_running |= request.suspect;
        self.peak_running = self.peak_running.max(self.running.len() as u32);
    }

    fn enqueue(&mut self, request: Request, now: Instant) -> Decision {
        let typical = self.profile.recent();
        if queue::latest_start(&request, typical) <= now {
            return Decision::Refuse(Cause::DeadlinePassed);
        }
        if queue::latest_start(&request, typical) <= now + self.expected_wait(typical, now) {
            return Decision::Refuse(Cause::NoCapacity);
        }
        if self.queue.is_full() {
            self.expire(now);
        }
        if self.queue.is_full() {
            let Some(id) = self.queue.shed_lightest(Some(request.weight), now) else {
                return Decision::Refuse(Cause::NoCapacity);
            };
            self.actions.push(Action::Refuse(id, Cause::NoCapacity));
        }
        self.queue.push(request, typical, now);
        Decision::Wait
    }

    /// Expected wait at the end of the queue, if each slot is freed once per service time and the
    /// rate limits of a cold start and of the target are exhausted.
    fn expected_wait(&self, service_time: Duration, now: Instant) -> Duration {
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let by_slots = service_time.saturating_mul(ahead) / self.slots().max(1);
        let by_rate = self.rate.expected_wait(self.queue.len(), now);
        by_slots.max(by_rate).max(self.paced_wait(now))
    }

    /// Expected wait at the end of the queue by the rate that the target states.
    fn paced_wait(&self, now: Instant) -> Duration {
        self.pacer.expected_wait(self.queue.len(), now)
    }

    fn record_completion(&mut self, completion: Completion, sample: Sample) {
        match completion {
            Completion::Answered => self.record_response(sample),
            Completion::Failed => self.limit.record_failure(sample, &mut self.profile),
            Completion::Reset => {
                if self.warmup.record_reset(sample.index, sample.next_index) {
                    self.limit.restart_window(sample.next_index);
                }
            }
            Completion::Cancelled => {}
        }
    }

    fn record_response(&mut self, sample: Sample) {
        self.profile.record(sample.service_time);
        self.count_normal_response(sample.service_time);
        let response = Response {
            index: sample.index,
            started_at: sample.started_at,
            service_time: sample.service_time,
            next_index: sample.next_index,
        };
        let went_cold = self.warmup.record_response(response, &mut self.profile);
        if went_cold {
            self.limit.restart_window(sample.next_index);
            return;
        }
        self.limit.record_success(sample, &mut self.profile);
    }

    fn count_normal_response(&mut self, service_time: Duration) {
        let normal = self.profile.is_normal(service_time);
        let Some(restriction) = &mut self.restriction else {
            return;
        };
        if normal && restriction.record_normal_response() {
            self.restriction = None;
        }
    }

    fn process_queue(&mut self, now: Instant) {
        self.drop_expired_restriction(now);
        self.expire(now);
        self.start_queued(now);
    }

    fn drop_expired_restriction(&mut self, now: Instant) {
        self.restriction = self
            .restriction
            .filter(|restriction| now < restriction.expires_at);
    }

    fn expire(&mut self, now: Instant) {
        let actions = &mut self.actions;
        self.queue.expire(self.profile.recent(), now, |id, cause| {
            actions.push(Action::Refuse(id, cause));
        });
    }

    fn start_queued(&mut self, now: Instant) {
        while !self.queue.is_empty() && self.has_capacity(now) {
            match self.slowdown_status(now) {
                Status::Normal | Status::Persistent => {}
                Status::Transient => return,
                Status::Unknown => {
                    self.request_probe();
                    return;
                }
            }
            let Some(request) = self.queue.pop(self.suspect_running, now) else {
                return;
            };
            self.start(request, now);
            self.actions.push(Action::Start(request.id));
        }
    }
}
