//! The rate limit of a cold target: no second has more starts than the contract allows.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Closed, Completion, Decision, Gate, Startup};
use basilbay_model::service::Contract;
use basilbay_wire::notice::Notice;
use basilbay_wire::problem::Cause;
use fixture::request;

fn contract() -> Contract {
    Contract {
        cold_rate: 10,
        cold_duration: Duration::from_secs(3),
        queue: 100,
        ..Contract::default()
    }
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A gate of a daemon that restarted beside a target, which states no rate in its first response.
fn beside_running_target(now: Instant) -> Gate {
    let mut gate = Gate::new(&contract(), Startup::Restart, now);
    gate.observe_notice(&Notice::default(), now, now);
    gate
}

/// Offers a request every 10 ms, each of which completes immediately; returns the start times.
fn offer_stream(gate: &mut Gate, from: Instant, count: u64) -> Vec<Instant> {
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

fn max_per_second(starts: &[Instant]) -> usize {
    let count = |first: &Instant| {
        let within = |start: &&Instant| **start >= *first && **start < *first + millis(1000);
        starts.iter().filter(within).count()
    };
    starts.iter().map(count).max().unwrap_or(0)
}

/// Guards against a cold target that gets more than its rate in any second.
#[test]
fn cold_rate_respected() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    let starts = offer_stream(&mut gate, now, 290);
    assert_eq!(max_per_second(&starts), 10);
    assert!(starts.len() >= 25, "{} starts in 2.9 s", starts.len());
}

/// Guards against a target that stays rate limited after its cold start.
#[test]
fn rate_limit_ends() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    let later = now + millis(3001);
    assert_eq!(offer_stream(&mut gate, later, 50).len(), 50);
}

/// Guards against a restarted daemon that sends a cold target the requests of a full second right
/// after its predecessor did the same, of which it has no record.
#[test]
fn predecessor_starts_counted() {
    let now = Instant::now();
    let mut gate = beside_running_target(now);
    assert_eq!(offer_stream(&mut gate, now, 90).len(), 5);
}

/// Guards against a target that gets half its rate after a power loss because it was found running
/// by a daemon that started with it.
#[test]
fn started_with_daemon() {
    let now = Instant::now();
    let mut gate = beside_running_target(now);
    gate.observe_cold_start(millis(2990), now + millis(20));
    assert_eq!(offer_stream(&mut gate, now + millis(20), 90).len(), 10);
    let mut gate = beside_running_target(now);
    gate.observe_cold_start(millis(2700), now + millis(20));
    assert_eq!(offer_stream(&mut gate, now + millis(20), 90).len(), 5);
}

/// Guards against full load on a target that went cold while it was closed.
#[test]
fn cold_after_reopening() {
    for reason in [Closed::Out, Closed::Down] {
        let now = Instant::now();
        let mut gate = Gate::new(&contract(), Startup::Fresh, now);
        gate.observe_cold_start(Duration::ZERO, now);
        gate.set_closed(reason, true, now);
        let reopened_at = now + millis(1500);
        gate.set_closed(reason, false, reopened_at);
        assert_eq!(offer_stream(&mut gate, reopened_at, 90).len(), 10);
        gate.observe_cold_start(Duration::ZERO, reopened_at + millis(950));
        // The queued requests start as well.
        assert!(offer_stream(&mut gate, reopened_at + millis(950), 20).len() >= 20);
    }
}

/// Guards against losing track of the starts on a warm target when it reports that it has gone
/// cold.
#[test]
fn unnoticed_cold_start() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    gate.observe_cold_start(Duration::ZERO, now);
    assert_eq!(offer_stream(&mut gate, now, 30).len(), 30);
    let cold_at = now + millis(300);
    gate.observe_cold_start(millis(2000), cold_at);
    assert_eq!(offer_stream(&mut gate, cold_at, 60).len(), 0);
}

/// Guards against a cold target that gets only part of its rate because its requests are slow.
#[test]
fn full_rate_used() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    let decisions: Vec<_> = (0..12)
        .map(|id| gate.offer(request(id, 1, 60_000, now), now + millis(10 * id)))
        .collect();
    assert!(decisions[..10].iter().all(|it| *it == Decision::Run));
    assert!(decisions[10..].iter().all(|it| *it == Decision::Wait));
    let load = gate.load(now);
    assert_eq!((load.in_flight, load.limit), (10, 10));
}

/// Guards against load reports that show capacity on a cold target whose rate is exhausted.
#[test]
fn load_reports_rate() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(), Startup::Fresh, now);
    assert_eq!(gate.load(now).limit, 10);
    for id in 0..10 {
        assert_eq!(gate.offer(request(id, 1, 60_000, now), now), Decision::Run);
        gate.complete(id, Completion::Answered, now + millis(id));
    }
    let load = gate.load(now);
    assert_eq!((load.in_flight, load.limit), (0, 0));
}

/// Guards against queueing a request that the rate limit would start after its latest start.
#[test]
fn late_start_refused() {
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
    // The next request starts in the second window from now.
    let decision = gate.offer(request(25, 1, 900, now), now);
    assert_eq!(decision, Decision::Refuse(Cause::NoCapacity));
    assert_eq!(gate.offer(request(26, 1, 2500, now), now), Decision::Wait);
}
