//! A daemon that restarts does not know what its target still runs.

#[path = "support/request.rs"]
mod request;
#[path = "support/world.rs"]
mod world;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Completion, Decision, Gate, Start};
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use request::{contract, ticket};
use world::{Kind, World};

const KINDS: [Kind; 1] = [(1, 1.0, 500)];

/// Guards against a restarted gate that begins at full or cold size.
#[test]
fn begins_low() {
    let contract = contract(18, 18, 2, 0);
    let now = Instant::now();
    let gate = Gate::new(&contract, Start::Restart, now);
    assert_eq!(gate.limit(), 1);
    assert_eq!(gate.state(), State::Cold);
    let fresh = Gate::new(&contract, Start::Fresh, now);
    assert_eq!(fresh.limit(), 18);
}

/// Guards against overload while earlier work still holds all slots but two.
#[test]
fn earlier_work() {
    let mut world = World::new(&Contract::default(), Start::Restart);
    world.bears = 2;
    world.run(200, 3600.0, &KINDS);
    assert_eq!(world.overloads, 0);
    world.bears = 18;
    world.run(2000, 3600.0, &KINDS);
    assert_eq!(world.overloads, 0);
    assert_eq!(world.gate.limit(), 18);
}

/// Answers that a restarted gate needs until the target counts as warm, with one request at a time.
fn answers_until_warm(service: Duration, siblings: Option<Duration>) -> u32 {
    let mut now = Instant::now();
    let mut gate = Gate::new(&contract(18, 18, 2, 200), Start::Restart, now);
    gate.set_sibling_latency(siblings);
    let mut answers = 0;
    while gate.state() == State::Cold {
        let ticket = ticket(u64::from(answers), 1, 60_000, now);
        assert_eq!(gate.offer(ticket, now), Decision::Run);
        now += service;
        gate.complete(ticket.id, Completion::Answered, now);
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
