//! A daemon that restarts does not know what its target still runs.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Completion, Decision, Gate, Startup};
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use fixture::{contract, request};
use simulation::{Kind, Simulation};

const KINDS: [Kind; 1] = [(1, 1.0, 500)];

/// Guards against a restarted gate that begins at full or cold size.
#[test]
fn begins_low() {
    let contract = contract(18, 18, 2, 0);
    let now = Instant::now();
    let gate = Gate::new(&contract, Startup::Restart, now);
    assert_eq!(gate.limit(), 1);
    assert_eq!(gate.state(), State::Cold);
    let fresh = Gate::new(&contract, Startup::Fresh, now);
    assert_eq!(fresh.limit(), 18);
}

/// Guards against overload while earlier work still holds all slots but two.
#[test]
fn earlier_work() {
    let mut simulation = Simulation::new(&Contract::default(), Startup::Restart);
    simulation.bears = 2;
    simulation.run(200, 3600.0, &KINDS);
    assert_eq!(simulation.overloads, 0);
    simulation.bears = 18;
    simulation.run(2000, 3600.0, &KINDS);
    assert_eq!(simulation.overloads, 0);
    assert_eq!(simulation.gate.limit(), 18);
}

/// Answers that a restarted gate needs until the target counts as warm, with one request at a time.
fn answers_until_warm(service: Duration, siblings: Option<Duration>) -> u32 {
    let mut now = Instant::now();
    let mut gate = Gate::new(&contract(18, 18, 2, 200), Startup::Restart, now);
    gate.set_sibling_latency(siblings);
    let mut answers = 0;
    while gate.state() == State::Cold {
        let request = request(u64::from(answers), 1, 60_000, now);
        assert_eq!(gate.offer(request, now), Decision::Run);
        now += service;
        gate.complete(request.id, Completion::Answered, now);
        answers += 1;
    }
    answers
}

/// Guards against a warm target that does little for many seconds since its daemon was replaced.
#[test]
fn quick_as_siblings() {
    let usual = Duration::from_millis(50);
    assert_eq!(answers_until_warm(usual, None), 200);
    // Four answers pass until earlier work has ended, then each counts for eight.
    assert_eq!(answers_until_warm(usual, Some(usual)), 29);
}

/// Guards against a cold target that is taken for a warm one since its daemon found it running.
#[test]
fn slower_than_siblings() {
    let usual = Duration::from_millis(50);
    assert_eq!(answers_until_warm(usual * 2, Some(usual)), 200);
}
