//! A noisy neighbour that slows a machine in spells of 150 ms, and requests that meet it.

#[path = "support/fixture.rs"]
mod fixture;

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::request::Request;
use basilbay_model::service::Contract;
use basilbay_wire::problem::Cause;
use fixture::{actions, request};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn gate(now: Instant) -> Gate {
    let contract = Contract {
        slots: 2,
        warm_after: 0,
        health_path: Some(Arc::from("/health")),
        ..Contract::default()
    };
    let mut gate = Gate::new(&contract, Startup::Fresh, now);
    gate.set_contract(&contract, now);
    gate
}

/// A gate whose target has answered in 300 ms, so that a wait of a spell is not a long one.
fn known_gate(now: Instant) -> Gate {
    let before = now - millis(400);
    let mut gate = gate(before);
    gate.offer(request(99, 1, 9000, before), before);
    look(&mut gate, 100, before);
    gate.complete(99, Completion::Answered, before + millis(300));
    actions(&mut gate);
    gate
}

fn hasty(id: u64, now: Instant) -> Request {
    Request {
        may_wait: false,
        ..request(id, 1, 9000, now)
    }
}

fn look(gate: &mut Gate, percent: u32, now: Instant) {
    gate.observe_slowdown(percent, now);
    gate.probe_finished(true, now);
}

/// Guards against a request that is handed over on a look that is older than part of a spell.
#[test]
fn looks_first() {
    let now = Instant::now();
    let mut gate = gate(now);
    assert_eq!(gate.offer(hasty(1, now), now), Decision::Wait);
    assert_eq!(actions(&mut gate), [Action::Probe]);
    look(&mut gate, 100, now);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
    let soon = now + millis(4);
    assert_eq!(gate.offer(hasty(2, soon), soon), Decision::Run);
    gate.complete(1, Completion::Answered, soon);
    gate.complete(2, Completion::Answered, soon);
    let later = now + millis(6);
    assert_eq!(gate.offer(hasty(3, later), later), Decision::Wait);
}

/// Guards against a request that runs five times as long since it started in a spell though
/// another target was free.
#[test]
fn moves_on() {
    let now = Instant::now();
    let mut gate = gate(now);
    assert_eq!(gate.offer(hasty(1, now), now), Decision::Wait);
    actions(&mut gate);
    look(&mut gate, 500, now);
    assert_eq!(actions(&mut gate), [Action::Refuse(1, Cause::TargetSlowed)]);
    let refused = gate.offer(hasty(2, now), now);
    assert_eq!(refused, Decision::Refuse(Cause::TargetSlowed));
}

/// Guards against a request without another target that starts in a spell, and against one that
/// is not started when the spell ends.
#[test]
fn waits_for_calm() {
    let start = Instant::now();
    let mut gate = known_gate(start);
    assert_eq!(
        gate.offer(request(1, 1, 9000, start), start),
        Decision::Wait
    );
    for step in 0..10 {
        let now = start + millis(21 * step);
        gate.tick(now);
        assert_eq!(actions(&mut gate), [Action::Probe], "step {step}");
        look(&mut gate, 500, now);
        assert_eq!(actions(&mut gate), []);
    }
    let calm = start + millis(210);
    gate.tick(calm);
    actions(&mut gate);
    look(&mut gate, 100, calm);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
}

/// Guards against work that stops on a target which is slow for good.
#[test]
fn slow_for_good() {
    let start = Instant::now();
    let mut gate = known_gate(start);
    assert_eq!(
        gate.offer(request(1, 1, 9000, start), start),
        Decision::Wait
    );
    let mut now = start;
    while !actions(&mut gate).contains(&Action::Start(1)) {
        now += millis(21);
        gate.tick(now);
        look(&mut gate, 500, now);
        assert!(now < start + millis(600), "not started");
    }
    assert!(now >= start + millis(450));
}

/// Guards against requests that wait for a target which cannot be looked at.
#[test]
fn blind() {
    let now = Instant::now();
    let mut gate = gate(now);
    assert_eq!(gate.offer(hasty(1, now), now), Decision::Wait);
    assert_eq!(actions(&mut gate), [Action::Probe]);
    gate.probe_finished(false, now);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
    let soon = now + millis(10);
    assert_eq!(gate.offer(hasty(2, soon), soon), Decision::Run);
}

/// Guards against a request that was not to wait and does, since the target had no room after the
/// look.
#[test]
fn no_room() {
    let now = Instant::now();
    let mut gate = gate(now);
    for id in 1..=3 {
        assert_eq!(gate.offer(hasty(id, now), now), Decision::Wait);
    }
    assert_eq!(actions(&mut gate), [Action::Probe]);
    look(&mut gate, 100, now);
    let refused = Action::Refuse(3, Cause::NoCapacity);
    assert_eq!(
        actions(&mut gate),
        [Action::Start(1), Action::Start(2), refused]
    );
}

/// Guards against requests that start in a spell since too many looks were taken in it.
#[test]
fn blind_in_spell() {
    let start = Instant::now();
    let mut gate = known_gate(start);
    assert_eq!(
        gate.offer(request(1, 1, 9000, start), start),
        Decision::Wait
    );
    assert_eq!(actions(&mut gate), [Action::Probe]);
    look(&mut gate, 500, start);
    let now = start + millis(21);
    gate.tick(now);
    assert_eq!(actions(&mut gate), [Action::Probe]);
    gate.probe_finished(false, now);
    assert_eq!(actions(&mut gate), []);
    let later = start + millis(101);
    gate.tick(later);
    gate.probe_finished(false, later);
    assert!(actions(&mut gate).contains(&Action::Start(1)));
}

/// Guards against two spells with nothing known between them that count as one long one: requests
/// then started in the second, on targets with little work.
#[test]
fn apart() {
    let start = Instant::now();
    let mut gate = known_gate(start);
    look(&mut gate, 500, start);
    let now = start + millis(600);
    assert_eq!(gate.offer(request(1, 1, 9000, now), now), Decision::Wait);
    actions(&mut gate);
    look(&mut gate, 500, now);
    assert_eq!(actions(&mut gate), []);
}

/// Guards against a cold start whose few requests wait for the end of spells: after a power loss the
/// seconds of the cold start served half as much.
#[test]
fn cold_start() {
    let now = Instant::now();
    let contract = Contract {
        slots: 2,
        cold_rate: 10,
        health_path: Some(Arc::from("/health")),
        ..Contract::default()
    };
    let mut gate = Gate::new(&contract, Startup::Fresh, now);
    gate.set_contract(&contract, now);
    assert_eq!(gate.offer(request(1, 1, 9000, now), now), Decision::Wait);
    actions(&mut gate);
    look(&mut gate, 500, now);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
    let refused = gate.offer(hasty(2, now), now);
    assert_eq!(refused, Decision::Refuse(Cause::TargetSlowed));
}
