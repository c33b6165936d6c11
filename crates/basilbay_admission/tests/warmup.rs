//! A cold target is handed what it bears, and one that turns cold is noticed.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Closed, Completion, Decision, Gate, Startup};
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use fixture::request;
use simulation::{Kind, Simulation};

const KINDS: [Kind; 1] = [(1, 1.0, 500)];

/// Runs rounds of as many requests as fit, each answered after `service`.
struct Rounds {
    gate: Gate,
    now: Instant,
    next: u64,
    running: Vec<u64>,
}

impl Rounds {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            gate: Gate::new(&Contract::default(), Startup::Fresh, now),
            now,
            next: 0,
            running: Vec::new(),
        }
    }

    fn fill(&mut self) {
        while self.gate.running() < self.gate.limit() as usize {
            self.offer();
        }
    }

    fn offer(&mut self) {
        let request = request(self.next, 1, 9000, self.now);
        assert_eq!(self.gate.offer(request, self.now), Decision::Run);
        self.running.push(self.next);
        self.next += 1;
    }

    fn end(&mut self, count: usize, result: Completion, millis: u64) {
        self.now += Duration::from_millis(millis);
        for id in self.running.drain(..count) {
            self.gate.complete(id, result, self.now);
        }
    }

    fn answer(&mut self, completions: usize, millis: u64) {
        let mut done = 0;
        while done < completions {
            self.fill();
            let count = self.running.len().min(completions - done);
            self.end(count, Completion::Answered, millis);
            done += count;
        }
    }
}

/// Guards against a ramp that grows without answers or does not end after `warm_after`.
#[test]
fn answers_only() {
    let mut rounds = Rounds::new();
    rounds.gate.tick(rounds.now + Duration::from_secs(60));
    assert_eq!(rounds.gate.limit(), 2);
    for result in [Completion::Failed, Completion::Cancelled] {
        for _ in 0..300 {
            rounds.fill();
            rounds.end(1, result, 10);
        }
        assert!(rounds.gate.limit() <= 2);
    }
    rounds.answer(199, 10);
    assert_eq!(rounds.gate.state(), State::Cold);
    rounds.answer(1, 10);
    assert_eq!(rounds.gate.state(), State::Warm);
}

/// Guards against overload of a target that warms with its answers, at twice its capacity.
#[test]
fn cold_start() {
    let contract = Contract::default();
    let mut simulation = Simulation::new(&contract, Startup::Fresh);
    simulation.warming = (contract.cold_slots, contract.warm_after, 0);
    simulation.run(3000, 3600.0, &KINDS);
    assert_eq!(simulation.overloads, 0);
    assert_eq!(simulation.gate.state(), State::Warm);
}

/// Guards against a target that turns cold with no signal and goes on getting full load.
#[test]
fn turns_cold() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    assert_eq!(rounds.gate.limit(), 18);
    rounds.fill();
    rounds.end(4, Completion::Answered, 100);
    assert_eq!(rounds.gate.state(), State::Cold);
    assert_eq!(rounds.gate.limit(), 2);
    // The other 14 were started before it was noticed and prove no warmth.
    rounds.end(14, Completion::Answered, 100);
    assert_eq!(rounds.gate.limit(), 2);
    rounds.answer(60, 100);
    assert!(rounds.gate.limit() < 4);
}

/// Guards against one slow answer, or a slow kind of request, that is taken for a cold target.
#[test]
fn slow_kind() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    for _ in 0..200 {
        for _ in 0..3 {
            rounds.offer();
            rounds.end(1, Completion::Answered, 100);
        }
        rounds.answer(40, 10);
    }
    assert_eq!(rounds.gate.state(), State::Warm);
}

/// Guards against a pause of the target that costs a whole cold start.
#[test]
fn short_pause() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    rounds.fill();
    rounds.end(18, Completion::Answered, 200);
    assert_eq!(rounds.gate.state(), State::Cold);
    rounds.answer(25, 10);
    assert_eq!(rounds.gate.state(), State::Warm);
}

/// Guards against a target that got slower for good and never leaves the ramp.
#[test]
fn slower_for_good() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    rounds.answer(1000, 100);
    assert_eq!(rounds.gate.state(), State::Warm);
    rounds.answer(1000, 100);
    assert_eq!(rounds.gate.state(), State::Warm);
    assert_eq!(rounds.gate.limit(), 18);
}

/// Guards against a crash that is counted once for each broken connection, or not at all.
#[test]
fn crash_once() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    rounds.fill();
    rounds.end(16, Completion::Reset, 1);
    assert_eq!(rounds.gate.limit(), 2);
    let late = rounds.running.split_off(0);
    rounds.gate.complete(late[0], Completion::Reset, rounds.now);
    rounds.answer(210, 10);
    let climbed = rounds.gate.limit();
    assert!(climbed > 8);
    rounds.gate.complete(late[1], Completion::Reset, rounds.now);
    assert_eq!(rounds.gate.limit(), climbed);
    rounds.fill();
    rounds.end(1, Completion::Reset, 1);
    assert_eq!(rounds.gate.limit(), 2);
}

/// Guards against a target that turned cold while its domain was out and gets full load at the
/// return.
#[test]
fn back_from_out() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    rounds.gate.set_closed(Closed::Out, true, rounds.now);
    rounds.gate.set_closed(Closed::Out, false, rounds.now);
    assert_eq!(rounds.gate.limit(), 2);
    rounds.answer(100, 40);
    assert_eq!(rounds.gate.limit(), 2);
    let mut warm = Rounds::new();
    warm.answer(600, 10);
    warm.gate.set_closed(Closed::Out, true, warm.now);
    warm.gate.set_closed(Closed::Out, false, warm.now);
    // One that stayed warm shows it with its first answers.
    warm.answer(30, 10);
    assert_eq!(warm.gate.limit(), 18);
}

/// Guards against a target that ended while it was idle and comes back at full load.
#[test]
fn back_from_down() {
    let mut rounds = Rounds::new();
    rounds.answer(600, 10);
    rounds.gate.set_closed(Closed::Down, true, rounds.now);
    rounds.gate.set_closed(Closed::Down, false, rounds.now);
    rounds.answer(199, 10);
    assert_eq!(rounds.gate.limit(), 2);
}

/// Guards against a limit that jumps from cold to all slots with one answer.
#[test]
fn opens_by_one() {
    let mut rounds = Rounds::new();
    rounds.answer(200, 10);
    for limit in 2..18 {
        assert_eq!(rounds.gate.limit(), limit);
        rounds.answer(1, 10);
    }
    assert_eq!(rounds.gate.limit(), 18);
}
