//! Under overload, the heaviest requests are served in time and lighter ones are refused early.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_model::service::Contract;
use basilbay_wire::problem::Cause;
use fixture::{actions, contract, request};
use simulation::{Kind, Simulation};

/// Requests per second that 18 slots with a service time of 10 ms can serve.
const CAPACITY: f64 = 1800.0;

/// A gate with one slot, which is in use, and a service time of 10 ms.
fn busy_gate(queue: u32, now: Instant) -> Gate {
    let mut gate = Gate::new(&contract(1, queue, 1, 0), Startup::Fresh, now);
    gate.offer(request(0, 1, 10_000, now), now);
    gate.complete(0, Completion::Answered, now + Duration::from_millis(10));
    gate.offer(request(1, 1, 10_000, now), now);
    gate
}

/// Guards against refusing a heavy request while a lighter one is queued.
#[test]
fn lightest_shed_first() {
    let now = Instant::now();
    let mut gate = busy_gate(2, now);
    gate.offer(request(2, 1, 900, now), now);
    gate.offer(request(3, 5, 900, now), now);
    let refused = Decision::Refuse(Cause::NoCapacity);
    assert_eq!(gate.offer(request(4, 1, 900, now), now), refused);
    assert_eq!(gate.offer(request(5, 3, 900, now), now), Decision::Wait);
    let shed = Action::Refuse(2, Cause::NoCapacity);
    assert_eq!(actions(&mut gate), [shed]);
}

/// Guards against a shrinking queue that sheds a heavy request before a lighter one.
#[test]
fn queue_shrinks() {
    let now = Instant::now();
    let mut gate = busy_gate(3, now);
    for (id, weight) in [(2, 4), (3, 1), (4, 2)] {
        gate.offer(request(id, weight, 900, now), now);
    }
    gate.set_contract(&contract(1, 1, 1, 0), now);
    let shed = [3, 4].map(|id| Action::Refuse(id, Cause::NoCapacity));
    assert_eq!(actions(&mut gate), shed);
}

/// Guards against spending a slot on a request that cannot finish in time.
#[test]
fn unfinishable_refused() {
    let now = Instant::now();
    let mut gate = busy_gate(4, now);
    let late = Decision::Refuse(Cause::DeadlinePassed);
    assert_eq!(gate.offer(request(2, 1, 9, now), now), late);
    assert_eq!(gate.offer(request(3, 1, 50, now), now), Decision::Wait);
    let last = now + Duration::from_millis(40);
    assert_eq!(gate.next_deadline(now), Some(last));
    gate.tick(last - Duration::from_micros(1));
    assert_eq!(actions(&mut gate), []);
    gate.tick(last);
    let expired = Action::Refuse(3, Cause::DeadlinePassed);
    assert_eq!(actions(&mut gate), [expired]);
}

/// Guards against an unfair order in a queue without overload, and against an overloaded queue that
/// serves requests which will time out.
#[test]
fn queue_order() {
    let now = Instant::now();
    for (wait, expected) in [(50, 2), (99, 2), (101, 5)] {
        let mut gate = busy_gate(4, now);
        gate.offer(request(2, 1, 9_000, now), now);
        let later = now + Duration::from_millis(30);
        for (id, weight) in [(3, 2), (4, 1), (5, 2)] {
            gate.offer(request(id, weight, 9_000, now), later);
        }
        gate.complete(1, Completion::Failed, now + Duration::from_millis(wait));
        let started = actions(&mut gate).pop();
        assert_eq!(started, Some(Action::Start(expected)), "after {wait} ms");
    }
}

/// Guards against weighted goodput below 95% of capacity when twice the capacity is offered.
#[test]
fn twice_capacity() {
    let kinds: [Kind; 2] = [(1, 0.6, 200), (5, 0.4, 200)];
    let mut simulation = Simulation::new(&Contract::default(), Startup::Fresh);
    simulation.run(3000, CAPACITY, &kinds);
    let seconds = 10.0;
    simulation.run(10_000, 2.0 * CAPACITY, &kinds);
    // Optimum for 18 slots: all heavy requests, and light ones in the remaining capacity.
    let heavy = 0.4 * 2.0 * CAPACITY * seconds;
    let optimum = heavy * 5.0 + (CAPACITY * seconds - heavy);
    let goodput = f64::from(simulation.weight) / optimum;
    let answered = simulation.latencies.len() as f64 / (CAPACITY * seconds);
    simulation.latencies.sort_unstable();
    let p99 = simulation.latencies[simulation.latencies.len() * 99 / 100];
    println!("weighted goodput {goodput:.3}, answered {answered:.3}, p99 {p99} us");
    assert!(goodput >= 0.95, "weighted goodput {goodput:.3}");
    assert_eq!(simulation.excess, 0);
}
