//! Asynchronous front end of the admission gate of the local target.
//!
//! The gate makes the decisions without I/O. This module holds the tasks that wait for them and hands
//! out a [`Permit`] for each admitted request. A permit that is dropped counts as cancelled, so no code
//! path can leak one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};

use basilbay_admission::gate::{Action, Closed, Completion, Decision, Gate, Stage, Startup};
use basilbay_admission::probe::Report;
use basilbay_admission::request::{self, RequestId};
use basilbay_keys::suspect::Run;
use basilbay_model::service::Contract;
use basilbay_wire::load::{Load, State};
use basilbay_wire::notice::Notice;
use basilbay_wire::problem::{Cause, Problem};

use crate::report;

/// Result of waiting for a permit.
pub type Result<T> = std::result::Result<T, Problem>;

/// Minimum time between two ticks of the gate while requests are queued.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Time in addition to [`MIN_TICK_INTERVAL`] after which the gate ticks even if no deadline is due.
const MAX_TICK_DELAY: Duration = Duration::from_millis(20);

/// Time for which a cancelled request keeps its permit: the target runs the request until it notices
/// that the connection was closed.
const CANCEL_GRACE: Duration = Duration::from_millis(5);

/// What the gate needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Importance of the request: under overload, the queue sheds requests of the lowest weight first.
    pub weight: u32,
    /// When the request times out.
    pub deadline: Instant,
    /// Time after which a response is less useful.
    pub goal_at: Instant,
    /// Whether the request may crash the target.
    pub suspect: bool,
    /// Whether the request may queue for a permit.
    pub may_wait: bool,
}

struct Waiter {
    id: RequestId,
    sender: oneshot::Sender<std::result::Result<(), Cause>>,
}

/// A request that was handed to the target.
struct Running {
    id: RequestId,
    /// May be the cause if the target crashes.
    run: Run,
    /// Whether an earlier attempt of the request may have reached a target.
    is_repeat: bool,
}

struct Inner {
    gate: Gate,
    /// Sorted by id, because ids only increase.
    waiters: Vec<Waiter>,
    /// Requests that were handed to the target.
    running: Vec<Running>,
    next_id: RequestId,
    started: u64,
    completed: u64,
    refused: u64,
}

/// Admission control of the local target.
pub struct Admission {
    inner: Mutex<Inner>,
    /// Wakes the task that ticks the gate, once a request is queued.
    enqueued: Notify,
    /// Wakes the task that probes the target, once the gate requests a probe.
    probe: Notify,
}

impl std::fmt::Debug for Admission {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Admission").finish_non_exhaustive()
    }
}

/// Totals since the daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were handed to the target.
    pub started: u64,
    /// Requests to which the target responded.
    pub completed: u64,
    /// Requests that the gate refused.
    pub refused: u64,
}

impl Admission {
    /// Creates the admission control of a target with the given contract.
    pub fn new(contract: &Contract, startup: Startup, now: Instant) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                gate: Gate::new(contract, startup, now),
                waiters: Vec::new(),
                running: Vec::new(),
                next_id: 0,
                started: 0,
                completed: 0,
                refused: 0,
            }),
            enqueued: Notify::new(),
            probe: Notify::new(),
        })
    }

    /// Waits until the request may run; fails if the gate refuses it.
    pub async fn acquire(self: &Arc<Self>, requirements: Requirements) -> Result<Permit> {
        let (id, receiver) = {
            let mut inner = self.lock();
            let id = inner.next_id;
            inner.next_id += 1;
            let request = request::Request {
                id,
                weight: requirements.weight,
                deadline: requirements.deadline,
                goal_at: requirements.goal_at,
                suspect: requirements.suspect,
                may_wait: requirements.may_wait,
            };
            let decision = inner.gate.offer(request, Instant::now());
            self.apply_actions(&mut inner);
            match decision {
                Decision::Run => return Ok(self.permit(&mut inner, id)),
                Decision::Refuse(cause) => return Err(inner.refuse(cause)),
                Decision::Wait => {}
            }
            let (sender, receiver) = oneshot::channel();
            inner.waiters.push(Waiter { id, sender });
            (id, receiver)
        };
        self.enqueued.notify_one();
        let mut guard = Queued {
            admission: self,
            id,
            is_finished: false,
        };
        let result = receiver.await;
        let mut inner = self.lock();
        guard.is_finished = true;
        match result {
            Ok(Ok(())) => Ok(self.permit(&mut inner, id)),
            Ok(Err(cause)) => Err(inner.refuse(cause)),
            Err(_) => Err(inner.refuse(Cause::NoCapacity)),
        }
    }

    /// Returns the load of the target.
    pub fn load(&self) -> Load {
        self.lock().gate.load(Instant::now())
    }

    /// Returns whether the target accepts requests, or why not.
    pub fn state(&self) -> State {
        self.lock().gate.state()
    }

    /// Returns the totals since the daemon started.
    pub fn counts(&self) -> Counts {
        let inner = self.lock();
        Counts {
            started: inner.started,
            completed: inner.completed,
            refused: inner.refused,
        }
    }

    /// Replaces the contract of the target.
    pub fn set_contract(&self, contract: &Contract) {
        let mut inner = self.lock();
        inner.gate.set_contract(contract, Instant::now());
        self.apply_actions(&mut inner);
    }

    /// Sets the usual service time of warm sibling targets; `None` if it is unknown.
    pub fn set_sibling_latency(&self, latency: Option<Duration>) {
        self.lock().gate.set_sibling_latency(latency);
    }

    /// Sets or clears a reason to refuse new requests; returns whether it was set before.
    pub fn set_closed(&self, reason: Closed, active: bool) -> bool {
        let mut inner = self.lock();
        let was_active = inner.gate.is_closed(reason);
        inner.gate.set_closed(reason, active, Instant::now());
        self.apply_actions(&mut inner);
        was_active
    }

    /// Records how much longer the cold start lasts according to the target.
    pub fn observe_cold_start(&self, remaining: Duration) {
        let mut inner = self.lock();
        inner.gate.observe_cold_start(remaining, Instant::now());
        self.apply_actions(&mut inner);
    }

    /// Records the current service time of the target, in percent of the usual one.
    pub fn observe_slowdown(&self, percent: u32) {
        let mut inner = self.lock();
        inner.gate.observe_slowdown(percent, Instant::now());
        self.apply_actions(&mut inner);
    }

    /// Records what the target states in a response to a request or probe sent at `sent_at`; returns
    /// whether it changes something.
    pub fn observe_notice(&self, notice: &Notice, sent_at: Instant) -> bool {
        let changes = {
            let mut inner = self.lock();
            let changes = inner.gate.observe_notice(notice, sent_at, Instant::now());
            self.apply_actions(&mut inner);
            changes
        };
        let is_changed = !changes.is_empty();
        changes.into_iter().for_each(report::target_notice);
        is_changed
    }

    /// Records that a probe which the gate requested ended, and whether it succeeded.
    pub fn probe_finished(&self, succeeded: bool) {
        let mut inner = self.lock();
        inner.gate.probe_finished(succeeded, Instant::now());
        self.apply_actions(&mut inner);
    }

    /// Waits until the gate requests a probe of the target.
    pub async fn probe_requested(&self) {
        self.probe.notified().await;
    }

    fn apply_actions(&self, inner: &mut Inner) {
        if inner.apply_actions() {
            self.probe.notify_one();
        }
    }

    /// Records that a new run of the target replaced the previous one.
    pub fn target_replaced(&self) {
        self.lock().gate.target_replaced(Instant::now());
    }

    /// Passes a load report of the target to the gate, which compares it with its own counts.
    pub fn observe(&self, report: Report) {
        let mut inner = self.lock();
        inner.gate.observe_report(report, Instant::now());
        self.apply_actions(&mut inner);
    }

    /// Returns the requests that run on the target.
    pub fn running(&self) -> Vec<Run> {
        let inner = self.lock();
        inner.running.iter().map(|running| running.run).collect()
    }

    /// Returns the fraction of the requests that run on the target which are repeats.
    pub fn repeat_share(&self) -> f64 {
        let inner = self.lock();
        let repeats = inner.running.iter().filter(|running| running.is_repeat);
        repeats.count() as f64 / inner.running.len().max(1) as f64
    }

    /// Whether no request runs or is queued.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.is_idle()
    }

    /// Ticks the gate while requests are queued, so that it refuses those whose deadline passes. Never
    /// returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.enqueued.notified().await;
            while let Some(due_at) = self.tick() {
                let next = Instant::now() + MIN_TICK_INTERVAL;
                tokio::time::sleep_until(due_at.clamp(next, next + MAX_TICK_DELAY).into()).await;
            }
        }
    }

    /// Ticks the gate; returns when the next tick is due, or `None` if no request is queued.
    fn tick(&self) -> Option<Instant> {
        let mut inner = self.lock();
        let now = Instant::now();
        inner.gate.tick(now);
        self.apply_actions(&mut inner);
        (inner.gate.queued() > 0).then(|| inner.gate.next_deadline(now).unwrap_or(now))
    }

    fn permit(self: &Arc<Self>, inner: &mut Inner, id: RequestId) -> Permit {
        inner.started += 1;
        Permit {
            admission: self.clone(),
            id,
            is_finished: false,
        }
    }

    fn complete(&self, id: RequestId, completion: Completion) {
        let mut inner = self.lock();
        inner.running.retain(|running| running.id != id);
        if matches!(completion, Completion::Answered | Completion::Failed) {
            inner.completed += 1;
        }
        inner.gate.complete(id, completion, Instant::now());
        self.apply_actions(&mut inner);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Passes the decisions of the gate to the waiting tasks; returns whether the gate requests a probe
    /// of the target.
    fn apply_actions(&mut self) -> bool {
        let mut needs_probe = false;
        let actions: Vec<Action> = self.gate.drain_actions().collect();
        for action in actions {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, cause) => (id, Err(cause)),
                Action::Probe => {
                    needs_probe = true;
                    continue;
                }
            };
            let Ok(index) = self.waiters.binary_search_by_key(&id, |waiter| waiter.id) else {
                continue;
            };
            // The send fails if the waiting task was dropped; its drop guard cancels the request.
            let _ = self.waiters.remove(index).sender.send(result);
        }
        needs_probe
    }

    fn refuse(&mut self, cause: Cause) -> Problem {
        self.refused += 1;
        let gate = &self.gate;
        let state = format!("{:?}", gate.state()).to_lowercase();
        let (running, limit, queued) = (gate.running(), gate.limit(), gate.queued());
        let rate = match gate.stated_rate() {
            Some(rate) => format!(", accepts {rate} requests per second"),
            None => String::new(),
        };
        let detail = format!(
            "target {state}: {running} requests running (limit {limit}), {queued} queued{rate}"
        );
        Problem::not_run(cause, detail)
    }
}

/// Drop guard of a queued request; dropping it removes the request from the queue.
struct Queued<'a> {
    admission: &'a Arc<Admission>,
    id: RequestId,
    is_finished: bool,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let mut inner = self.admission.lock();
        inner.waiters.retain(|waiter| waiter.id != self.id);
        let now = Instant::now();
        if inner.gate.cancel(self.id, now) == Some(Stage::Running) {
            // The gate had started the request, but its task was dropped before it sent a byte.
            inner.gate.complete(self.id, Completion::Cancelled, now);
        }
        self.admission.apply_actions(&mut inner);
    }
}

/// The right to run one request on the target.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<Admission>,
    id: RequestId,
    is_finished: bool,
}

impl Permit {
    /// Records that the request is handed to the target.
    pub fn record_run(&self, run: Run, is_repeat: bool) {
        let id = self.id;
        let running = Running { id, run, is_repeat };
        self.admission.lock().running.push(running);
    }

    /// Records that the request did not reach the target after all.
    pub fn retract_run(&self) {
        let mut inner = self.admission.lock();
        inner.running.retain(|running| running.id != self.id);
    }

    /// Releases the permit and records how the request ended.
    pub fn finish(mut self, completion: Completion) {
        self.is_finished = true;
        self.admission.complete(self.id, completion);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let admission = self.admission.clone();
        let id = self.id;
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            admission.complete(id, Completion::Cancelled);
            return;
        };
        runtime.spawn(async move {
            tokio::time::sleep(CANCEL_GRACE).await;
            admission.complete(id, Completion::Cancelled);
        });
    }
}
