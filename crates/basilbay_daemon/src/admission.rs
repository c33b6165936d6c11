//! Waits for the gate of the own target.
//!
//! The gate decides; this module keeps the tasks that wait for its decisions and gives out a
//! [`Slot`] for each request that may run. A slot that is dropped counts as cancelled, so that no
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

/// Result of asking for a slot.
pub type Result<T> = std::result::Result<T, Problem>;

/// Shortest time between two looks at the queue while requests wait.
const TICK: Duration = Duration::from_millis(2);

/// Time beyond that after which the queue is looked at in any case.
const LATEST_TICK: Duration = Duration::from_millis(20);

/// Time for which a cancelled request keeps its slot: the target needs a moment to notice that
/// its connection was closed, and runs the request until then.
const CANCEL_GRACE: Duration = Duration::from_millis(5);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// How much it counts.
    pub weight: u32,
    /// When its time is up.
    pub deadline: Instant,
    /// When an answer is of full use at the latest.
    pub goal_at: Instant,
    /// Whether it may crash the target.
    pub suspect: bool,
    /// Whether it may wait for a slot.
    pub may_wait: bool,
    /// Hash that tells it apart when the target crashes.
    pub fingerprint: u64,
}

struct Waiter {
    id: RequestId,
    sender: oneshot::Sender<std::result::Result<(), Cause>>,
}

struct Desk {
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
    desk: Mutex<Desk>,
    queued: Notify,
    look: Notify,
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
            desk: Mutex::new(Desk {
                gate: Gate::new(contract, startup, now),
                waiters: Vec::new(),
                running: Vec::new(),
                next: 0,
                completed: 0,
                refused: 0,
            }),
            queued: Notify::new(),
            look: Notify::new(),
        })
    }

    /// Waits until the request may run.
    pub async fn enter(self: &Arc<Self>, demand: Demand) -> Result<Slot> {
        let (id, receiver) = {
            let mut desk = self.lock();
            let id = desk.next;
            desk.next += 1;
            let ticket = request::Request {
                id,
                weight: demand.weight,
                deadline: demand.deadline,
                goal_at: demand.goal_at,
                suspect: demand.suspect,
                may_wait: demand.may_wait,
            };
            let decision = desk.gate.offer(ticket, Instant::now());
            self.act(&mut desk);
            match decision {
                Decision::Run => return Ok(self.slot(&mut desk, id, demand.fingerprint)),
                Decision::Refuse(cause) => return Err(desk.refuse(cause)),
                Decision::Wait => {}
            }
            let (sender, receiver) = oneshot::channel();
            desk.waiters.push(Waiter { id, sender });
            (id, receiver)
        };
        self.queued.notify_one();
        let mut waiting = Waiting {
            admission: self,
            id,
            is_over: false,
        };
        let started = receiver.await;
        let mut desk = self.lock();
        waiting.is_over = true;
        match started {
            Ok(Ok(())) => Ok(self.slot(&mut desk, id, demand.fingerprint)),
            Ok(Err(cause)) => Err(desk.refuse(cause)),
            Err(_) => Err(desk.refuse(Cause::NoCapacity)),
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
        let desk = self.lock();
        Counts {
            completed: desk.completed,
            refused: desk.refused,
        }
    }

    /// Takes another contract.
    pub fn set_contract(&self, contract: &Contract) {
        let mut desk = self.lock();
        desk.gate.set_contract(contract, Instant::now());
        self.act(&mut desk);
    }

    /// Takes the usual service time of warm siblings.
    pub fn set_sibling_latency(&self, latency: Option<Duration>) {
        self.lock().gate.set_sibling_latency(latency);
    }

    /// Sets or clears a reason for taking no new work.
    pub fn set_state(&self, reason: Closed, holds: bool) {
        let mut desk = self.lock();
        desk.gate.set_closed(reason, holds, Instant::now());
        self.act(&mut desk);
    }

    /// Takes what the target says of its cold start: how much longer it lasts.
    pub fn observe_cold(&self, left: Duration) {
        let mut desk = self.lock();
        desk.gate.observe_cold_start(left, Instant::now());
        self.act(&mut desk);
    }

    /// Takes a look at the target's speed.
    pub fn observe_pace(&self, percent: u32) {
        let mut desk = self.lock();
        desk.gate.observe_slowdown(percent, Instant::now());
        self.act(&mut desk);
    }

    /// Takes the end of a look that the gate asked for.
    pub fn looked(&self, saw: bool) {
        let mut desk = self.lock();
        desk.gate.probe_finished(saw, Instant::now());
        self.act(&mut desk);
    }

    /// Waits until the gate asks for a look at the target.
    pub async fn look_wanted(&self) {
        self.look.notified().await;
    }

    fn act(&self, desk: &mut Desk) {
        if desk.act() {
            self.look.notify_one();
        }
    }

    /// Notes that another run of the target took the place of the one before.
    pub fn replaced(&self) {
        self.lock().gate.target_replaced(Instant::now());
    }

    /// Holds a report of the target against what the gate knows.
    pub fn observe(&self, report: Report) {
        let mut desk = self.lock();
        desk.gate.observe_report(report, Instant::now());
        self.act(&mut desk);
    }

    /// Fingerprints of the requests on the target.
    pub fn running(&self) -> Vec<u64> {
        let desk = self.lock();
        desk.running
            .iter()
            .map(|(_, fingerprint)| *fingerprint)
            .collect()
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.is_idle()
    }

    /// Lets the gate drop waiting requests whose time is up, for as long as the daemon runs.
    pub async fn drive(self: Arc<Self>) {
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
        let mut desk = self.lock();
        let now = Instant::now();
        desk.gate.tick(now);
        self.act(&mut desk);
        (desk.gate.queued() > 0).then(|| desk.gate.next_deadline(now).unwrap_or(now))
    }

    fn slot(self: &Arc<Self>, desk: &mut Desk, id: RequestId, fingerprint: u64) -> Slot {
        desk.running.push((id, fingerprint));
        Slot {
            admission: self.clone(),
            id,
            is_over: false,
        }
    }

    fn complete(&self, id: RequestId, completion: Completion) {
        let mut desk = self.lock();
        desk.running.retain(|(running, _)| *running != id);
        if matches!(completion, Completion::Answered | Completion::Failed) {
            desk.completed += 1;
        }
        desk.gate.complete(id, completion, Instant::now());
        self.act(&mut desk);
    }

    fn lock(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Desk {
    /// Tells the waiting tasks what became of their requests; true when the target is to be looked
    /// at.
    fn act(&mut self) -> bool {
        let mut wants_look = false;
        let actions: Vec<Action> = self.gate.drain_actions().collect();
        for action in actions {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, cause) => (id, Err(cause)),
                Action::Probe => {
                    wants_look = true;
                    continue;
                }
            };
            let Ok(index) = self.waiters.binary_search_by_key(&id, |waiter| waiter.id) else {
                continue;
            };
            // A task that went away meanwhile notices by itself and cancels.
            let _ = self.waiters.remove(index).sender.send(result);
        }
        wants_look
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
struct Waiting<'a> {
    admission: &'a Arc<Admission>,
    id: RequestId,
    is_over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let mut desk = self.admission.lock();
        desk.waiters.retain(|waiter| waiter.id != self.id);
        let now = Instant::now();
        if desk.gate.cancel(self.id, now) == Some(Stage::Running) {
            // It was started but its task never learned of it, so no byte was sent.
            desk.gate.complete(self.id, Completion::Cancelled, now);
        }
        self.admission.act(&mut desk);
    }
}

/// The right to run one request on the target.
#[derive(Debug)]
pub struct Slot {
    admission: Arc<Admission>,
    id: RequestId,
    is_over: bool,
}

impl Slot {
    /// Gives the slot back and says how the request ended.
    pub fn finish(mut self, completion: Completion) {
        self.is_over = true;
        self.admission.complete(self.id, completion);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_over {
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
