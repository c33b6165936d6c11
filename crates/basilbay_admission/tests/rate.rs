//! The rate of a cold target: no second may bring it more than its contract states.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Closed, Completion, Decision, Gate, Startup};
use basilbay_model::service::Contract;
use basilbay_wire::problem::Cause;
use fixture::request;

fn contract() -> Contract {
    Contract {
        cold_rate: 10,
        cold: Duration::from_secs(3),
        queue: 100,
        ..Contract::default()
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Offers one request every 10 ms that ends at once; returns when each was started.
fn stream(gate: &mut Gate, from: Instant, count: u64) -> Vec<Instant> {
    let mut starts = Vec::new();
    let mut next = 0;
    for step in 0..count {
        let now = from + millis(10 * step);
        next += 1;
        gate.tick(now);
        if gate.offer(request(1000 * count + next, 1, 60_000, now), now) == Decision::Run {
            starts.push(now);
            gate.complete(1000 * count + next, Completion::Answered, now);
        }
        for action in gate.drain_actions().collect::<Vec<_>>() {
            if let Action::Start(id) = action {
                starts.push(now);
                gate.complete(id, Completion::Answered, now);
            }
        }
    }
    starts
}

fn most_in_a_second(starts: &[Instant]) -> usize {
    let count = |first: &Instant| {
        let within = |start: &&Instant| **start >= *first && **start < *first + millis(1000);
        starts.iter().filter(within).count()
    };
    starts.iter().map(count).max().unwrap_or(0)
}

/// Guards against a cold target that is handed more than its rate in some second.
#[test]
fn rate_holds() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    let starts = stream(&mut gate, now, 290);
    assert_eq!(most_in_a_second(&starts), 10);
    assert!(starts.len() >= 25, "{} starts in 2.9 s", starts.len());
}

/// Guards against a target that stays at the cold rate after its cold start is over.
#[test]
fn warm_again() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    let later = now + millis(3001);
    assert_eq!(stream(&mut gate, later, 50).len(), 50);
}

/// Guards against a second daemon that hands a cold target a second's worth right after the first
/// one, which it knows nothing of, did the same.
#[test]
fn restart_counts() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Restart, now);
    assert_eq!(stream(&mut gate, now, 90).len(), 5);
}

/// Guards against a target that gets half of its rate after a power loss, since it is found running
/// by a daemon that started with it.
#[test]
fn started_together() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Restart, now);
    gate.observe_cold_start(millis(2990), now + millis(20));
    assert_eq!(stream(&mut gate, now + millis(20), 90).len(), 10);
    let mut gate = Gate::new(&contract(), Startup::Restart, now);
    gate.observe_cold_start(millis(2700), now + millis(20));
    assert_eq!(stream(&mut gate, now + millis(20), 90).len(), 5);
}

/// Guards against full load on a target that turned cold while it was closed.
#[test]
fn reopened_cold() {
    for reason in [Closed::Out, Closed::Down] {
        let now = Instant::now();
        let mut gate = Gate::new(&contract(), Startup::Fresh, now);
        gate.observe_cold_start(Duration::ZERO, now);
        gate.set_closed(reason, true, now);
        let back = now + millis(1500);
        gate.set_closed(reason, false, back);
        assert_eq!(stream(&mut gate, back, 90).len(), 10);
        gate.observe_cold_start(Duration::ZERO, back + millis(950));
        // Those that waited start too.
        assert!(stream(&mut gate, back + millis(950), 20).len() >= 20);
    }
}

/// Guards against starts on a target that was warm a moment ago being forgotten when it says that
/// it has turned cold.
#[test]
fn cold_unseen() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    gate.observe_cold_start(Duration::ZERO, now);
    assert_eq!(stream(&mut gate, now, 30).len(), 30);
    let turned = now + millis(300);
    gate.observe_cold_start(millis(2000), turned);
    assert_eq!(stream(&mut gate, turned, 60).len(), 0);
}

/// Guards against a cold target that is handed a part of its rate since its requests take long.
#[test]
fn whole_rate() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    let decisions: Vec<_> = (0..12)
        .map(|id| gate.offer(request(id, 1, 60_000, now), now + millis(10 * id)))
        .collect();
    assert!(decisions[..10].iter().all(|it| *it == Decision::Run));
    assert!(decisions[10..].iter().all(|it| *it == Decision::Wait));
    let load = gate.load();
    assert_eq!((load.in_flight, load.limit), (10, 10));
}

/// Guards against siblings that are told of room on a cold target whose rate is used up.
#[test]
fn tells_room() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    assert_eq!(gate.load().limit, 10);
    for id in 0..10 {
        assert_eq!(gate.offer(request(id, 1, 60_000, now), now), Decision::Run);
        gate.complete(id, Completion::Answered, now + millis(id));
    }
    let load = gate.load();
    assert_eq!((load.in_flight, load.limit), (0, 0));
}

/// Guards against a request that waits for a start which the rate puts after its last moment.
#[test]
fn known_too_late() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    for id in 0..25 {
        let decision = gate.offer(request(id, 1, 60_000, now), now);
        let expected = if id < 10 {
            Decision::Run
        } else {
            Decision::Wait
        };
        assert_eq!(decision, expected, "request {id}");
    }
    // The next one starts with those of the second window from now.
    let decision = gate.offer(request(25, 1, 900, now), now);
    assert_eq!(decision, Decision::Refuse(Cause::NoCapacity));
    assert_eq!(gate.offer(request(26, 1, 2500, now), now), Decision::Wait);
}
