//! Waits for the gate of the own target.
//!
//! The gate decides; this module keeps the tasks that wait for its decisions and gives out a
//! [`Permit`] for each request that may run. A permit that is dropped counts as cancelled, so that no
//! path through the daemon can lose one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};

use basilbay_admission::gate::{Action, Closed, Completion, Decision, Gate, Stage, Startup};
use basilbay_admission::probe::Report;
use basilbay_admission::request::{self, RequestId};
use basilbay_model::service::Contract;
use basilbay_wire::load::{Load, State};
use basilbay_wire::problem::{Cause, Problem};

/// Result of asking for a permit.
pub type Result<T> = std::result::Result<T, Problem>;

/// Shortest time between two looks at the queue while requests wait.
const TICK: Duration = Duration::from_millis(2);

/// Time beyond that after which the queue is looked at in any case.
const LATEST_TICK: Duration = Duration::from_millis(20);

/// Time for which a cancelled request keeps its permit: the target needs a moment to notice that
/// its connection was closed, and runs the request until then.
const CANCEL_GRACE: Duration = Duration::from_millis(5);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// How much it counts.
    pub weight: u32,
    /// When its time is up.
    pub deadline: Instant,
    /// When an answer is of full use at the latest.
    pub goal_at: Instant,
    /// Whether it may crash the target.
    pub suspect: bool,
    /// Whether it may wait for a permit.
    pub may_wait: bool,
    /// Hash that tells it apart when the target crashes.
    pub fingerprint: u64,
}

struct Waiter {
    id: RequestId,
    sender: oneshot::Sender<std::result::Result<(), Cause>>,
}

struct Inner {
    gate: Gate,
    /// Sorted by id, since ids only grow.
    waiters: Vec<Waiter>,
    running: Vec<(RequestId, u64)>,
    next: RequestId,
    completed: u64,
    refused: u64,
}

/// Admission to the own target.
pub struct Admission {
    inner: Mutex<Inner>,
    queued: Notify,
    probe: Notify,
}

impl std::fmt::Debug for Admission {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Admission").finish_non_exhaustive()
    }
}

/// Counts of a daemon's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that ran on the target.
    pub completed: u64,
    /// Requests that were refused.
    pub refused: u64,
}

impl Admission {
    /// Admission to a target of which only the contract is known.
    pub fn new(contract: &Contract, startup: Startup, now: Instant) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                gate: Gate::new(contract, startup, now),
                waiters: Vec::new(),
                running: Vec::new(),
                next: 0,
                completed: 0,
                refused: 0,
            }),
            queued: Notify::new(),
            probe: Notify::new(),
        })
    }

    /// Waits until the request may run.
    pub async fn acquire(self: &Arc<Self>, requirements: Requirements) -> Result<Permit> {
        let (id, receiver) = {
            let mut inner = self.lock();
            let id = inner.next;
            inner.next += 1;
            let ticket = request::Request {
                id,
                weight: requirements.weight,
                deadline: requirements.deadline,
                goal_at: requirements.goal_at,
                suspect: requirements.suspect,
                may_wait: requirements.may_wait,
            };
            let decision = inner.gate.offer(ticket, Instant::now());
            self.act(&mut inner);
            match decision {
                Decision::Run => return Ok(self.permit(&mut inner, id, requirements.fingerprint)),
                Decision::Refuse(cause) => return Err(inner.refuse(cause)),
                Decision::Wait => {}
            }
            let (sender, receiver) = oneshot::channel();
            inner.waiters.push(Waiter { id, sender });
            (id, receiver)
        };
        self.queued.notify_one();
        let mut waiting = Queued {
            admission: self,
            id,
            is_finished: false,
        };
        let started = receiver.await;
        let mut inner = self.lock();
        waiting.is_finished = true;
        match started {
            Ok(Ok(())) => Ok(self.permit(&mut inner, id, requirements.fingerprint)),
            Ok(Err(cause)) => Err(inner.refuse(cause)),
            Err(_) => Err(inner.refuse(Cause::NoCapacity)),
        }
    }

    /// Load of the target.
    pub fn load(&self) -> Load {
        self.lock().gate.load()
    }

    /// What happens to new work.
    pub fn state(&self) -> State {
        self.lock().gate.state()
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        let inner = self.lock();
        Counts {
            completed: inner.completed,
            refused: inner.refused,
        }
    }

    /// Takes another contract.
    pub fn set_contract(&self, contract: &Contract) {
        let mut inner = self.lock();
        inner.gate.set_contract(contract, Instant::now());
        self.act(&mut inner);
    }

    /// Takes the usual service time of warm siblings.
    pub fn set_sibling_latency(&self, latency: Option<Duration>) {
        self.lock().gate.set_sibling_latency(latency);
    }

    /// Sets or clears a reason for taking no new work.
    pub fn set_closed(&self, reason: Closed, holds: bool) {
        let mut inner = self.lock();
        inner.gate.set_closed(reason, holds, Instant::now());
        self.act(&mut inner);
    }

    /// Takes what the target says of its cold start: how much longer it lasts.
    pub fn observe_cold_start(&self, left: Duration) {
        let mut inner = self.lock();
        inner.gate.observe_cold_start(left, Instant::now());
        self.act(&mut inner);
    }

    /// Takes a look at the target's speed.
    pub fn observe_slowdown(&self, percent: u32) {
        let mut inner = self.lock();
        inner.gate.observe_slowdown(percent, Instant::now());
        self.act(&mut inner);
    }

    /// Takes the end of a look that the gate asked for.
    pub fn probe_finished(&self, succeeded: bool) {
        let mut inner = self.lock();
        inner.gate.probe_finished(succeeded, Instant::now());
        self.act(&mut inner);
    }

    /// Waits until the gate asks for a look at the target.
    pub async fn probe_requested(&self) {
        self.probe.notified().await;
    }

    fn act(&self, inner: &mut Inner) {
        if inner.act() {
            self.probe.notify_one();
        }
    }

    /// Notes that another run of the target took the place of the one before.
    pub fn target_replaced(&self) {
        self.lock().gate.target_replaced(Instant::now());
    }

    /// Holds a report of the target against what the gate knows.
    pub fn observe(&self, report: Report) {
        let mut inner = self.lock();
        inner.gate.observe_report(report, Instant::now());
        self.act(&mut inner);
    }

    /// Fingerprints of the requests on the target.
    pub fn running(&self) -> Vec<u64> {
        let inner = self.lock();
        inner
            .running
            .iter()
            .map(|(_, fingerprint)| *fingerprint)
            .collect()
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.is_idle()
    }

    /// Lets the gate drop waiting requests whose time is up, for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.queued.notified().await;
            while let Some(due_at) = self.tick() {
                let next = Instant::now() + TICK;
                tokio::time::sleep_until(due_at.clamp(next, next + LATEST_TICK).into()).await;
            }
        }
    }

    /// Lets the gate act; returns when it has something to do next, while requests wait.
    fn tick(&self) -> Option<Instant> {
        let mut inner = self.lock();
        let now = Instant::now();
        inner.gate.tick(now);
        self.act(&mut inner);
        (inner.gate.queued() > 0).then(|| inner.gate.next_deadline(now).unwrap_or(now))
    }

    fn permit(self: &Arc<Self>, inner: &mut Inner, id: RequestId, fingerprint: u64) -> Permit {
        inner.running.push((id, fingerprint));
        Permit {
            admission: self.clone(),
            id,
            is_finished: false,
        }
    }

    fn complete(&self, id: RequestId, completion: Completion) {
        let mut inner = self.lock();
        inner.running.retain(|(running, _)| *running != id);
        if matches!(completion, Completion::Answered | Completion::Failed) {
            inner.completed += 1;
        }
        inner.gate.complete(id, completion, Instant::now());
        self.act(&mut inner);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Tells the waiting tasks what became of their requests; true when the target is to be looked
    /// at.
    fn act(&mut self) -> bool {
        let mut wants_probe = false;
        let actions: Vec<Action> = self.gate.drain_actions().collect();
        for action in actions {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, cause) => (id, Err(cause)),
                Action::Probe => {
                    wants_probe = true;
                    continue;
                }
            };
            let Ok(index) = self.waiters.binary_search_by_key(&id, |waiter| waiter.id) else {
                continue;
            };
            // A task that went away meanwhile notices by itself and cancels.
            let _ = self.waiters.remove(index).sender.send(result);
        }
        wants_probe
    }

    fn refuse(&mut self, cause: Cause) -> Problem {
        self.refused += 1;
        let gate = &self.gate;
        let state = format!("{:?}", gate.state()).to_lowercase();
        let (running, limit, waiting) = (gate.running(), gate.limit(), gate.queued());
        let detail = format!("target {state}: {running} of {limit} run, {waiting} wait");
        Problem::not_run(cause, detail)
    }
}

/// A request in the queue; dropping it takes the request out.
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
            // It was started but its task never learned of it, so no byte was sent.
            inner.gate.complete(self.id, Completion::Cancelled, now);
        }
        self.admission.act(&mut inner);
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
    /// Gives the permit back and says how the request ended.
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
