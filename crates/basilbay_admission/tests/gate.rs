//! The gate never exceeds a limit, and each request has exactly one outcome.

#[path = "support/fixture.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Closed, Completion, Decision, Gate, Stage, Startup};
use basilbay_admission::probe::Report;
use basilbay_admission::request::Request;
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use basilbay_wire::problem::Cause;
use fixture::{actions, config, contract};
use proptest::prelude::*;

fn request(id: u64, now: Instant) -> Request {
    fixture::request(id, 1, 1000, now)
}

fn suspect(id: u64, now: Instant) -> Request {
    Request {
        suspect: true,
        ..request(id, now)
    }
}

/// Guards against a request that runs on a full target, or a freed slot that stays unused.
#[test]
fn slots_limit_concurrency() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(2, 1, 2, 0), Startup::Fresh, now);
    assert_eq!(gate.offer(request(1, now), now), Decision::Run);
    assert_eq!(gate.offer(request(2, now), now), Decision::Run);
    assert_eq!(gate.offer(request(3, now), now), Decision::Wait);
    let refused = gate.offer(request(4, now), now);
    assert_eq!(refused, Decision::Refuse(Cause::NoCapacity));
    gate.complete(1, Completion::Answered, now);
    assert_eq!(actions(&mut gate), [Action::Start(3)]);
    assert_eq!(gate.running(), 2);
}

/// Guards against a cancelled request that frees its slot while the target still runs it.
#[test]
fn cancelled_keeps_slot() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(1, 2, 1, 0), Startup::Fresh, now);
    gate.offer(request(1, now), now);
    gate.offer(request(2, now), now);
    gate.offer(request(3, now), now);
    assert_eq!(gate.cancel(1, now), Some(Stage::Running));
    assert_eq!(gate.cancel(2, now), Some(Stage::Waiting));
    assert_eq!(gate.cancel(9, now), None);
    assert_eq!(actions(&mut gate), []);
    gate.complete(1, Completion::Cancelled, now);
    assert_eq!(actions(&mut gate), [Action::Start(3)]);
}

/// Guards against two suspects that run at the same time, and a suspect that blocks other requests.
#[test]
fn single_running_suspect() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(3, 3, 3, 0), Startup::Fresh, now);
    assert_eq!(gate.offer(suspect(1, now), now), Decision::Run);
    assert_eq!(gate.offer(suspect(2, now), now), Decision::Wait);
    assert_eq!(gate.offer(request(3, now), now), Decision::Run);
    gate.complete(1, Completion::Answered, now);
    assert_eq!(actions(&mut gate), [Action::Start(2)]);
}

/// Guards against a reason for closing that clears another one, and against a wrong cause.
#[test]
fn close_reasons_independent() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(1, 1, 1, 0), Startup::Fresh, now);
    gate.offer(request(1, now), now);
    gate.offer(request(2, now), now);
    gate.set_closed(Closed::Out, true, now);
    let refused = Action::Refuse(2, Cause::ServiceOut);
    assert_eq!(actions(&mut gate), [refused]);
    gate.set_closed(Closed::Leaving, true, now);
    gate.set_closed(Closed::Out, false, now);
    assert_eq!(gate.load(now).state, State::Leaving);
    let refused = gate.offer(request(3, now), now);
    assert_eq!(refused, Decision::Refuse(Cause::Leaving));
    gate.set_closed(Closed::Leaving, false, now);
    assert_eq!(gate.running(), 1);
    assert_eq!(gate.offer(request(4, now), now), Decision::Wait);
    for (reason, cause) in [
        (Closed::Unconfirmed, Cause::Unconfirmed),
        (Closed::Down, Cause::NoCapacity),
    ] {
        gate.set_closed(reason, true, now);
        let refused = gate.offer(request(5, now), now);
        assert_eq!(refused, Decision::Refuse(cause));
        gate.set_closed(reason, false, now);
    }
}

/// Guards against load reports that a receiver cannot order.
#[test]
fn load_sequence_grows() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(4, 2, 2, 10), Startup::Fresh, now);
    gate.offer(request(1, now), now);
    let first = gate.load(now);
    gate.complete(1, Completion::Answered, now + Duration::from_millis(3));
    let second = gate.load(now);
    assert!(second.sequence > first.sequence);
    assert_eq!((first.in_flight, first.limit), (1, 2));
    assert_eq!((second.in_flight, second.latency_us), (0, 3000));
    assert_eq!(second.state, State::Cold);
    assert!(gate.is_idle());
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u32, u64, bool),
    Complete(usize, Completion),
    Cancel(usize),
    Tick(u64),
    Close(Closed, bool),
    SetContract(Contract),
    Report(u32, u32, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let completion = prop_oneof![
        6 => Just(Completion::Answered),
        2 => Just(Completion::Failed),
        1 => Just(Completion::Reset),
        1 => Just(Completion::Cancelled),
    ];
    let reason = prop::sample::select(Closed::ALL.to_vec());
    let replacement = (1u32..12, 0u32..6, 1u32..12, 0u32..30)
        .prop_map(|(slots, queue, cold, after)| contract(slots, queue, cold.min(slots), after));
    prop_oneof![
        12 => (0u32..4, 0u64..400, prop::bool::weighted(0.2))
            .prop_map(|(weight, deadline_ms, suspect)| Step::Offer(weight, deadline_ms, suspect)),
        10 => (any::<usize>(), completion).prop_map(|(index, completion)| Step::Complete(index, completion)),
        1 => any::<usize>().prop_map(Step::Cancel),
        4 => (0u64..120).prop_map(Step::Tick),
        1 => (reason, prop::bool::weighted(0.3)).prop_map(|(reason, active)| Step::Close(reason, active)),
        1 => replacement.prop_map(Step::SetContract),
        1 => (0u32..20, 0u32..20, any::<bool>())
            .prop_map(|(in_flight, capacity, ready)| Step::Report(in_flight, capacity, ready)),
    ]
}

/// Reference model that sees only the inputs and outputs of the gate.
struct Model {
    gate: Gate,
    now: Instant,
    contract: Contract,
    last_id: u64,
    waiting: BTreeMap<u64, Request>,
    running: BTreeMap<u64, Request>,
    /// Ids started since the last crash; earlier ones carry no information about the current
    /// process.
    started_since_crash: Vec<u64>,
    responses: u32,
    cold: bool,
    restarted: bool,
    closed: Vec<Closed>,
}

impl Model {
    fn new(contract: Contract, startup: Startup) -> Self {
        let now = Instant::now();
        Self {
            gate: Gate::new(&contract, startup, now),
            now,
            last_id: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            started_since_crash: Vec::new(),
            responses: 0,
            cold: contract.warm_after > 0 || startup == Startup::Restart,
            restarted: startup == Startup::Restart,
            contract,
            closed: Vec::new(),
        }
    }

    /// Capacity of a target that becomes warm only with the last response of its warm-up.
    fn capacity(&self) -> u32 {
        let contract = &self.contract;
        if !self.cold {
            return contract.slots;
        }
        if self.restarted && self.responses < contract.slots {
            1
        } else {
            contract.cold_slots
        }
    }

    fn required_responses(&self) -> u32 {
        let minimum = if self.restarted {
            self.contract.slots
        } else {
            0
        };
        self.contract.warm_after.max(minimum)
    }

    fn update_warmth(&mut self) {
        self.cold &= self.responses < self.required_responses();
        self.restarted &= self.cold;
    }

    fn start(&mut self, request: Request) {
        self.running.insert(request.id, request);
        self.started_since_crash.push(request.id);
        let suspects = self.running.values().filter(|request| request.suspect);
        assert!(suspects.count() <= 1, "two suspects run at once");
        assert!(self.closed.is_empty(), "started while the gate is closed");
        assert!(request.deadline > self.now, "started after the deadline");
        // Within one call the limits change before requests start, so the current ones apply.
        let count = self.running.len();
        assert!(
            count <= self.contract.slots as usize,
            "concurrency above the slots"
        );
        assert!(
            count <= self.capacity() as usize,
            "concurrency above the warm-up capacity"
        );
        assert!(
            count <= self.gate.limit() as usize,
            "concurrency above the limit"
        );
    }

    fn process_actions(&mut self) {
        for action in actions(&mut self.gate) {
            match action {
                Action::Start(id) => {
                    let request = self
                        .waiting
                        .remove(&id)
                        .expect("a started request was queued");
                    self.start(request);
                }
                Action::Refuse(id, _) => {
                    self.waiting
                        .remove(&id)
                        .expect("a refused request was queued");
                }
                Action::Probe => panic!("probed a target without a health path"),
            }
        }
    }

    fn offer(&mut self, weight: u32, deadline_ms: u64, suspect: bool) {
        self.last_id += 1;
        let request = Request {
            suspect,
            ..fixture::request(self.last_id, weight, deadline_ms, self.now)
        };
        let decision = self.gate.offer(request, self.now);
        // The actions of an offer precede its decision.
        self.process_actions();
        match decision {
            Decision::Run => self.start(request),
            Decision::Wait => drop(self.waiting.insert(request.id, request)),
            Decision::Refuse(_) => {}
        }
    }

    fn complete(&mut self, index: usize, completion: Completion) {
        let nth = index % self.running.len();
        let Some((&id, _)) = self.running.iter().nth(nth) else {
            return;
        };
        self.running.remove(&id);
        let counts = self.started_since_crash.contains(&id);
        if completion == Completion::Answered && counts {
            self.responses += 1;
            self.update_warmth();
        }
        if completion == Completion::Reset && counts {
            self.restart_target();
        }
        self.gate.complete(id, completion, self.now);
    }

    fn restart_target(&mut self) {
        self.started_since_crash.clear();
        self.responses = 0;
        self.cold = self.required_responses() > 0;
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer(weight, deadline_ms, suspect) => self.offer(weight, deadline_ms, suspect),
            Step::Complete(index, completion) if !self.running.is_empty() => {
                self.complete(index, completion);
            }
            Step::Complete(..) => {}
            Step::Cancel(index) => {
                let id = index as u64 % (self.last_id + 1);
                let stage = self.gate.cancel(id, self.now);
                let waited = self.waiting.remove(&id).is_some();
                assert_eq!(stage == Some(Stage::Waiting), waited);
                let runs = self.running.contains_key(&id);
                assert_eq!(stage == Some(Stage::Running), runs);
            }
            Step::Tick(millis) => {
                self.now += Duration::from_millis(millis);
                self.gate.tick(self.now);
            }
            Step::Close(reason, active) => {
                if reason == Closed::Down && !active && self.closed.contains(&reason) {
                    self.restart_target();
                }
                self.closed.retain(|known| *known != reason);
                if active {
                    self.closed.push(reason);
                }
                self.gate.set_closed(reason, active, self.now);
            }
            Step::SetContract(contract) => {
                self.contract = contract;
                self.update_warmth();
                self.gate.set_contract(&self.contract, self.now);
            }
            Step::Report(in_flight, capacity, ready) => {
                let report = Report {
                    in_flight,
                    capacity,
                    ready,
                };
                self.gate.observe_report(report, self.now);
            }
        }
        self.process_actions();
        self.check();
    }

    fn check(&mut self) {
        assert_eq!(self.gate.running(), self.running.len());
        assert_eq!(self.gate.queued(), self.waiting.len());
        assert!(self.waiting.len() <= self.contract.queue as usize);
        assert!(self.closed.is_empty() || self.waiting.is_empty());
        assert!((1..=self.contract.slots).contains(&self.gate.limit()));
        let due = self.gate.next_deadline(self.now);
        assert!(self.waiting.is_empty() || due.is_some());
        let load = self.gate.load(self.now);
        assert_eq!(load.in_flight as usize, self.running.len());
        let free = self.running.len() < load.limit as usize;
        let startable = self.waiting.values().any(|request| !request.suspect);
        assert!(
            !free || !startable,
            "a slot is free while a request is queued"
        );
    }
}

proptest! {
    #![proptest_config(config(2000))]

    /// Guards against a sequence of steps that violates the slots, the warm-up, the limit, the
    /// single suspect, the queue bound, or the single outcome of each request.
    #[test]
    fn gate_invariants_hold(steps in prop::collection::vec(step(), 1..250), restart: bool) {
        let startup = if restart { Startup::Restart } else { Startup::Fresh };
        let mut model = Model::new(contract(8, 4, 2, 20), startup);
        for step in steps {
            model.apply(step);
        }
    }

    /// Guards against a deadline that `tick` does not serve, which would make the daemon spin.
    #[test]
    fn tick_serves_deadline(steps in prop::collection::vec(step(), 1..100)) {
        let mut model = Model::new(contract(2, 6, 1, 5), Startup::Fresh);
        for step in steps {
            model.apply(step);
            if let Some(due) = model.gate.next_deadline(model.now) {
                model.now = model.now.max(due);
                model.gate.tick(model.now);
                model.process_actions();
                prop_assert!(model.gate.next_deadline(model.now).is_none_or(|next| next > model.now));
            }
        }
    }
}
