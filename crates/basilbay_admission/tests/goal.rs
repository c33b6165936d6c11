//! The order in which queued requests start, for a short burst on one slot.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::request::Request;
use fixture::{actions, contract, request};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A gate with one slot, which is in use, and a service time of 200 ms.
fn busy_gate(now: Instant) -> Gate {
    let before = now - millis(200);
    let mut gate = Gate::new(&contract(1, 10, 1, 0), Startup::Fresh, before);
    gate.offer(request(1, 1, 9000, before), before);
    gate.complete(1, Completion::Answered, now);
    assert_eq!(gate.offer(request(2, 1, 9000, now), now), Decision::Run);
    gate
}

fn with_goal(id: u64, goal_ms: u64, now: Instant) -> Request {
    Request {
        goal_at: now + millis(goal_ms),
        ..request(id, 1, 2000, now)
    }
}

/// Completes the running request and returns the id of the request that starts next.
fn complete_and_start(gate: &mut Gate, running: u64, now: Instant) -> u64 {
    gate.complete(running, Completion::Answered, now);
    match actions(gate).as_slice() {
        [Action::Start(id)] => *id,
        other => panic!("{other:?}"),
    }
}

/// Guards against a request that has missed its goal and starts before one that can still meet it.
#[test]
fn missed_goals_last() {
    let now = Instant::now();
    let mut gate = busy_gate(now);
    assert_eq!(gate.offer(with_goal(3, 50, now), now), Decision::Wait);
    let later = now + millis(60);
    assert_eq!(gate.offer(with_goal(4, 600, later), later), Decision::Wait);
    assert_eq!(complete_and_start(&mut gate, 2, later), 4);
    assert_eq!(complete_and_start(&mut gate, 4, later), 3);
}

/// Guards against nested calls with a short goal that queue behind requests with more time, so that
/// the requests that make these calls fail.
#[test]
fn short_goals_first() {
    let now = Instant::now();
    let mut gate = busy_gate(now);
    assert_eq!(gate.offer(with_goal(3, 800, now), now), Decision::Wait);
    let later = now + millis(10);
    assert_eq!(gate.offer(with_goal(4, 150, later), later), Decision::Wait);
    assert_eq!(complete_and_start(&mut gate, 2, later + millis(5)), 4);
}
