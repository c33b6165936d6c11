//! Admission on a machine that a noisy neighbour slows down for 150 ms at a time.

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

/// A gate whose target has a service time of 300 ms, so that waiting for the end of a slowdown does
/// not exceed the wait limit.
fn gate_with_history(now: Instant) -> Gate {
    let before = now - millis(400);
    let mut gate = gate(before);
    gate.offer(request(99, 1, 9000, before), before);
    measure(&mut gate, 100, before);
    gate.complete(99, Completion::Answered, before + millis(300));
    actions(&mut gate);
    gate
}

fn non_waiting(id: u64, now: Instant) -> Request {
    Request {
        may_wait: false,
        ..request(id, 1, 9000, now)
    }
}

fn measure(gate: &mut Gate, percent: u32, now: Instant) {
    gate.observe_slowdown(percent, now);
    gate.probe_finished(true, now);
}

/// Guards against starting a request on a measurement that is too old to rule out a slowdown.
#[test]
fn probe_before_start() {
    let now = Instant::now();
    let mut gate = gate(now);
    assert_eq!(gate.offer(non_waiting(1, now), now), Decision::Wait);
    assert_eq!(actions(&mut gate), [Action::Probe]);
    measure(&mut gate, 100, now);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
    let soon = now + millis(4);
    assert_eq!(gate.offer(non_waiting(2, soon), soon), Decision::Run);
    gate.complete(1, Completion::Answered, soon);
    gate.complete(2, Completion::Answered, soon);
    let later = now + millis(6);
    assert_eq!(gate.offer(non_waiting(3, later), later), Decision::Wait);
}

/// Guards against a request that takes five times as long because it started during a slowdown
/// although another target was free.
#[test]
fn slowed_target_refuses() {
    let now = Instant::now();
    let mut gate = gate(now);
    assert_eq!(gate.offer(non_waiting(1, now), now), Decision::Wait);
    actions(&mut gate);
    measure(&mut gate, 500, now);
    assert_eq!(actions(&mut gate), [Action::Refuse(1, Cause::TargetSlowed)]);
    let refused = gate.offer(non_waiting(2, now), now);
    assert_eq!(refused, Decision::Refuse(Cause::TargetSlowed));
}

/// Guards against starting a request without an alternative target during a slowdown, and against
/// not starting it when the slowdown ends.
#[test]
fn waits_until_normal() {
    let start = Instant::now();
    let mut gate = gate_with_history(start);
    assert_eq!(
        gate.offer(request(1, 1, 9000, start), start),
        Decision::Wait
    );
    for step in 0..10 {
        let now = start + millis(21 * step);
        gate.tick(now);
        assert_eq!(actions(&mut gate), [Action::Probe], "step {step}");
        measure(&mut gate, 500, now);
        assert_eq!(actions(&mut gate), []);
    }
    let normal_at = start + millis(210);
    gate.tick(normal_at);
    actions(&mut gate);
    measure(&mut gate, 100, normal_at);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
}

/// Guards against a persistently slow target that gets no requests at all.
#[test]
fn persistent_slowdown() {
    let start = Instant::now();
    let mut gate = gate_with_history(start);
    assert_eq!(
        gate.offer(request(1, 1, 9000, start), start),
        Decision::Wait
    );
    let mut now = start;
    while !actions(&mut gate).contains(&Action::Start(1)) {
        now += millis(21);
        gate.tick(now);
        measure(&mut gate, 500, now);
        assert!(now < start + millis(600), "not started");
    }
    assert!(now >= start + millis(450));
}

/// Guards against requests that wait forever for a target that cannot be probed.
#[test]
fn failed_probe() {
    let now = Instant::now();
    let mut gate = gate(now);
    assert_eq!(gate.offer(non_waiting(1, now), now), Decision::Wait);
    assert_eq!(actions(&mut gate), [Action::Probe]);
    gate.probe_finished(false, now);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
    let soon = now + millis(10);
    assert_eq!(gate.offer(non_waiting(2, soon), soon), Decision::Run);
}

/// Guards against queueing a request that must not wait, because the target had no capacity left
/// after the probe.
#[test]
fn no_capacity_left() {
    let now = Instant::now();
    let mut gate = gate(now);
    for id in 1..=3 {
        assert_eq!(gate.offer(non_waiting(id, now), now), Decision::Wait);
    }
    assert_eq!(actions(&mut gate), [Action::Probe]);
    measure(&mut gate, 100, now);
    let refused = Action::Refuse(3, Cause::NoCapacity);
    assert_eq!(
        actions(&mut gate),
        [Action::Start(1), Action::Start(2), refused]
    );
}

/// Guards against starting requests during a slowdown because the probe budget is exhausted.
#[test]
fn failed_slow_probe() {
    let start = Instant::now();
    let mut gate = gate_with_history(start);
    assert_eq!(
        gate.offer(request(1, 1, 9000, start), start),
        Decision::Wait
    );
    assert_eq!(actions(&mut gate), [Action::Probe]);
    measure(&mut gate, 500, start);
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

/// Guards against counting two slowdowns with no measurement between them as one long one: requests
/// then started during the second, on targets with few requests.
#[test]
fn separate_slowdowns() {
    let start = Instant::now();
    let mut gate = gate_with_history(start);
    measure(&mut gate, 500, start);
    let now = start + millis(600);
    assert_eq!(gate.offer(request(1, 1, 9000, now), now), Decision::Wait);
    actions(&mut gate);
    measure(&mut gate, 500, now);
    assert_eq!(actions(&mut gate), []);
}

/// Guards against a cold start whose few requests wait for slowdowns to end: after a power loss,
/// targets then served half as much during their cold start.
#[test]
fn slowed_cold_start() {
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
    measure(&mut gate, 500, now);
    assert_eq!(actions(&mut gate), [Action::Start(1)]);
    let refused = gate.offer(non_waiting(2, now), now);
    assert_eq!(refused, Decision::Refuse(Cause::TargetSlowed));
}
