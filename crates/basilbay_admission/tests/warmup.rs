//! A cold target gets at most its cold capacity, and a target that goes cold is detected.

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

/// A gate whose requests run in rounds of as many as the limit allows, with a given service time.
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

    fn finish(&mut self, count: usize, completion: Completion, millis: u64) {
        self.now += Duration::from_millis(millis);
        for id in self.running.drain(..count) {
            self.gate.complete(id, completion, self.now);
        }
    }

    fn run(&mut self, completions: usize, millis: u64) {
        let mut done = 0;
        while done < completions {
            self.fill();
            let count = self.running.len().min(completions - done);
            self.finish(count, Completion::Answered, millis);
            done += count;
        }
    }
}

/// Guards against a warm-up that progresses without responses or does not end after `warm_after`.
#[test]
fn only_responses_count() {
    let mut rounds = Rounds::new();
    rounds.gate.tick(rounds.now + Duration::from_secs(60));
    assert_eq!(rounds.gate.limit(), 2);
    for completion in [Completion::Failed, Completion::Cancelled] {
        for _ in 0..300 {
            rounds.fill();
            rounds.finish(1, completion, 10);
        }
        assert!(rounds.gate.limit() <= 2);
    }
    rounds.run(199, 10);
    assert_eq!(rounds.gate.state(), State::Cold);
    rounds.run(1, 10);
    assert_eq!(rounds.gate.state(), State::Warm);
}

/// Guards against overloading a target that warms up with its responses, at twice its capacity.
#[test]
fn cold_start() {
    let contract = Contract::default();
    let mut simulation = Simulation::new(&contract, Startup::Fresh);
    simulation.warmup = (contract.cold_slots, contract.warm_after, 0);
    simulation.run(3000, 3600.0, &KINDS);
    assert_eq!(simulation.excess, 0);
    assert_eq!(simulation.gate.state(), State::Warm);
}

/// Guards against a target that goes cold without a signal and still gets full load.
#[test]
fn target_goes_cold() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    assert_eq!(rounds.gate.limit(), 18);
    rounds.fill();
    rounds.finish(4, Completion::Answered, 100);
    assert_eq!(rounds.gate.state(), State::Cold);
    assert_eq!(rounds.gate.limit(), 2);
    // The other 14 were started before the detection and do not count as warm-up.
    rounds.finish(14, Completion::Answered, 100);
    assert_eq!(rounds.gate.limit(), 2);
    rounds.run(60, 100);
    assert!(rounds.gate.limit() < 4);
}

/// Guards against taking one slow response, or a slow kind of request, for a cold target.
#[test]
fn slow_kind_ignored() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    for _ in 0..200 {
        for _ in 0..3 {
            rounds.offer();
            rounds.finish(1, Completion::Answered, 100);
        }
        rounds.run(40, 10);
    }
    assert_eq!(rounds.gate.state(), State::Warm);
}

/// Guards against a pause of the target that costs a full warm-up.
#[test]
fn short_pause() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    rounds.fill();
    rounds.finish(18, Completion::Answered, 200);
    assert_eq!(rounds.gate.state(), State::Cold);
    rounds.run(25, 10);
    assert_eq!(rounds.gate.state(), State::Warm);
}

/// Guards against a target that becomes slower permanently and never leaves the warm-up.
#[test]
fn permanently_slower() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    rounds.run(1000, 100);
    assert_eq!(rounds.gate.state(), State::Warm);
    rounds.run(1000, 100);
    assert_eq!(rounds.gate.state(), State::Warm);
    assert_eq!(rounds.gate.limit(), 18);
}

/// Guards against a crash that is counted once per broken connection, or not at all.
#[test]
fn crash_counted_once() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    rounds.fill();
    rounds.finish(16, Completion::Reset, 1);
    assert_eq!(rounds.gate.limit(), 2);
    let late = rounds.running.split_off(0);
    rounds.gate.complete(late[0], Completion::Reset, rounds.now);
    rounds.run(210, 10);
    let limit = rounds.gate.limit();
    assert!(limit > 8);
    rounds.gate.complete(late[1], Completion::Reset, rounds.now);
    assert_eq!(rounds.gate.limit(), limit);
    rounds.fill();
    rounds.finish(1, Completion::Reset, 1);
    assert_eq!(rounds.gate.limit(), 2);
}

/// Guards against full load on a target that went cold while its failure domain was out.
#[test]
fn reopens_after_out() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    rounds.gate.set_closed(Closed::Out, true, rounds.now);
    rounds.gate.set_closed(Closed::Out, false, rounds.now);
    assert_eq!(rounds.gate.limit(), 2);
    rounds.run(100, 40);
    assert_eq!(rounds.gate.limit(), 2);
    let mut warm = Rounds::new();
    warm.run(600, 10);
    warm.gate.set_closed(Closed::Out, true, warm.now);
    warm.gate.set_closed(Closed::Out, false, warm.now);
    // A target that stayed warm shows it with its first responses.
    warm.run(30, 10);
    assert_eq!(warm.gate.limit(), 18);
}

/// Guards against full load on a target that exited while it was idle and is back.
#[test]
fn reopens_after_down() {
    let mut rounds = Rounds::new();
    rounds.run(600, 10);
    rounds.gate.set_closed(Closed::Down, true, rounds.now);
    rounds.gate.set_closed(Closed::Down, false, rounds.now);
    rounds.run(199, 10);
    assert_eq!(rounds.gate.limit(), 2);
}

/// Guards against a limit that jumps from the cold slots to all slots with one response.
#[test]
fn limit_opens_gradually() {
    let mut rounds = Rounds::new();
    rounds.run(200, 10);
    for limit in 2..18 {
        assert_eq!(rounds.gate.limit(), limit);
        rounds.run(1, 10);
    }
    assert_eq!(rounds.gate.limit(), 18);
}
