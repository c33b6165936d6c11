//! Kinds of requests with different service times on one target.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::profile::Profile;
use basilbay_admission::queue::{Ahead, Queue};
use basilbay_admission::request::Request;
use basilbay_wire::problem::Cause;
use fixture::{actions, config, contract};
use proptest::prelude::*;
use simulation::{Kind, Simulation};

const SHORT: u64 = 0;
const LONG: u64 = 1;

/// Mean service times of the two kinds, in seconds.
const SERVICE_S: [f64; 2] = [0.036, 0.170];

/// Milliseconds until the callers of the two kinds give up.
const BUDGET_MS: [u64; 2] = [150, 1000];

const SLOTS: u32 = 16;

/// Share of the short calls to be served. [`omniscient`] reaches it.
const MIN_SHARE: f64 = 0.9;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn request(id: u64, kind: u64, deadline_ms: u64, now: Instant) -> Request {
    Request {
        kind,
        ..fixture::request(id, 1, deadline_ms, now)
    }
}

/// Requests per second, one half of each kind, for a multiple of the capacity.
fn rate(load: f64) -> f64 {
    load * f64::from(SLOTS) * 2.0 / SERVICE_S.iter().sum::<f64>()
}

/// Share of each kind that the gate serves in time.
fn served(weights: [u32; 2], load: f64) -> [f64; 2] {
    let kinds: [Kind; 2] = [0, 1].map(|kind| (weights[kind], 0.5, BUDGET_MS[kind]));
    let contract = contract(SLOTS, 4 * SLOTS, SLOTS, 0);
    let mut simulation = Simulation::new(&contract, Startup::Fresh);
    simulation.service_us_by_kind = SERVICE_S.map(|mean| mean * 1e6).to_vec();
    simulation.run(3_000, rate(load), &kinds);
    simulation.run(30_000, rate(load), &kinds);
    [0, 1].map(|kind| f64::from(simulation.served[kind]) / f64::from(simulation.offered[kind]))
}

/// Share of each kind served in time by a scheduler that knows the duration of each request: of those
/// that can still finish, it starts the short calls first, and of a kind the one that must start
/// soonest.
fn omniscient(load: f64) -> [f64; 2] {
    let mut seed = 7_u64;
    let mut uniform = || {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        (seed >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut now = 0.0;
    let mut free_at = [0.0_f64; SLOTS as usize];
    // Latest start, duration and kind.
    let mut waiting: Vec<(f64, f64, usize)> = Vec::new();
    let (mut offered, mut served) = ([0.0; 2], [0.0; 2]);
    while now < 30.0 {
        let arrival = now - (1.0 - uniform()).ln() / rate(load);
        loop {
            waiting.sort_by(|left, right| left.2.cmp(&right.2).then(left.0.total_cmp(&right.0)));
            let slot = free_at
                .iter_mut()
                .min_by(|left, right| left.total_cmp(right));
            let slot = slot.expect("a slot");
            let start_at = slot.max(now);
            waiting.retain(|request| request.0 >= start_at);
            if start_at >= arrival || waiting.is_empty() {
                break;
            }
            let (_, duration, kind) = waiting.remove(0);
            *slot = start_at + duration;
            served[kind] += 1.0;
        }
        now = arrival;
        let kind = usize::from(uniform() < 0.5);
        let duration = -(1.0 - uniform()).ln() * SERVICE_S[kind];
        offered[kind] += 1.0;
        waiting.push((
            now + BUDGET_MS[kind] as f64 / 1e3 - duration,
            duration,
            kind,
        ));
    }
    [0, 1].map(|kind| served[kind] / offered[kind])
}

/// Guards against short calls that are refused because the mean over all kinds exceeds their time
/// left, or because of long uploads that start after them.
#[test]
fn short_beside_long() {
    for (weights, load) in [([1, 1], 1.0), ([2, 1], 1.5)] {
        let [best, _] = omniscient(load);
        assert!(best >= MIN_SHARE, "omniscient: {best:.3}");
        let [short, long] = served(weights, load);
        println!("load {load}: short {short:.3} (omniscient {best:.3}), long {long:.3}");
        assert!(
            short >= MIN_SHARE,
            "short calls served at load {load}: {short:.3}"
        );
    }
}

/// Guards against serving the short calls at the expense of the target's throughput.
#[test]
fn slots_stay_used() {
    let load = 1.5;
    let shares = served([2, 1], load);
    let work = SERVICE_S[0] * shares[0] + SERVICE_S[1] * shares[1];
    let used = load * work / SERVICE_S.iter().sum::<f64>();
    println!("capacity used {used:.3}");
    assert!(used >= 0.95, "capacity used {used:.3}");
}

/// A gate with one slot and a measured service time of each kind, at the returned time.
fn measured_gate(service_ms: [u64; 2]) -> (Gate, Instant) {
    let mut now = Instant::now();
    let mut gate = Gate::new(&contract(1, 4, 1, 0), Startup::Fresh, now);
    for (kind, service_ms) in [SHORT, LONG].into_iter().zip(service_ms) {
        assert_eq!(
            gate.offer(request(kind, kind, 9000, now), now),
            Decision::Run
        );
        now += millis(service_ms);
        gate.complete(kind, Completion::Answered, now);
    }
    (gate, now)
}

/// Guards against the mean over all kinds in the decision on a single request.
#[test]
fn own_estimate_decides() {
    let (mut gate, now) = measured_gate([36, 500]);
    assert_eq!(gate.offer(request(2, SHORT, 9000, now), now), Decision::Run);
    let late = Decision::Refuse(Cause::DeadlinePassed);
    assert_eq!(gate.offer(request(3, LONG, 400, now), now), late);
    let short = request(4, SHORT, 50, now);
    assert_eq!(gate.offer(short, now), Decision::Wait);
    assert_eq!(gate.next_deadline(now), Some(now + millis(50 - 36)));
}

/// Guards against a kind that stays refused after a slow spell, because it gets no new samples.
#[test]
fn slow_spell_ends() {
    // Service time of the short kind in the spell, and number and service time of the long requests
    // that start before each short one.
    for (spell_ms, count, long_ms) in [(1000, 1, 300), (350, 2, 100)] {
        let (mut gate, mut now) = measured_gate([spell_ms, long_ms]);
        let mut last_refused = 0;
        for step in 1..=500 {
            let first = 10 * step;
            for id in first..first + count {
                let long = Request {
                    goal_at: now + millis(250),
                    ..request(id, LONG, 9000, now)
                };
                gate.offer(long, now);
            }
            let short = first + count;
            let offered_at = now + millis(long_ms * 3 / 4);
            gate.offer(request(short, SHORT, 400, offered_at), offered_at);
            for id in first..first + count {
                now += millis(long_ms);
                gate.complete(id, Completion::Answered, now);
            }
            if actions(&mut gate).contains(&Action::Start(short)) {
                now += millis(36);
                gate.complete(short, Completion::Answered, now);
            } else {
                last_refused = step;
            }
            assert!(gate.is_idle());
        }
        println!("last refused: request {last_refused} of 500");
        assert!(last_refused < 250, "request {last_refused} of 500 refused");
    }
}

/// Guards against a kind that takes longer than its callers wait and still gets more than a tenth of
/// its requests admitted.
#[test]
fn unfinishable_kind_refused() {
    let (mut gate, mut now) = measured_gate([36, 500]);
    let mut admitted = 0;
    for step in 1..=1000 {
        let (short, long) = (2 * step, 2 * step + 1);
        assert_eq!(
            gate.offer(request(short, SHORT, 400, now), now),
            Decision::Run
        );
        gate.offer(request(long, LONG, 400, now), now);
        now += millis(36);
        gate.complete(short, Completion::Answered, now);
        if actions(&mut gate) == [Action::Start(long)] {
            admitted += 1;
            now += millis(400 - 36);
            gate.cancel(long, now);
            gate.complete(long, Completion::Cancelled, now);
        }
    }
    println!("{admitted} of 1000 requests admitted");
    assert!(admitted <= 100, "{admitted} of 1000 requests admitted");
}

/// Guards against unbounded memory, and against rare kinds that displace the usual one.
#[test]
fn kinds_stay_bounded() {
    let mut profile = Profile::default();
    for kind in 1..1000 {
        profile.record(kind, millis(500));
        profile.record(0, millis(20));
    }
    assert_eq!(profile.estimate(0), millis(20));
    assert_eq!(profile.estimate(999), millis(500));
    assert_eq!(profile.estimate(1), profile.recent());
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Answered(u64),
    Cancelled(u64),
    Refused,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0u64..2_000_000).prop_map(Event::Answered),
        1 => (0u64..2_000_000).prop_map(Event::Cancelled),
        2 => Just(Event::Refused),
    ]
}

proptest! {
    #![proptest_config(config(1000))]

    /// Guards against decisions for a single kind that differ from those by the mean over all
    /// requests and the length of the queue.
    #[test]
    fn one_kind_as_mean(
        events in prop::collection::vec(event(), 0..60),
        queued in prop::collection::vec((0u32..4, 0u64..400), 0..20),
        age_ms in 0u64..300,
    ) {
        let mut profile = Profile::default();
        for event in events {
            match event {
                Event::Answered(us) => profile.record(SHORT, Duration::from_micros(us)),
                Event::Cancelled(us) => profile.record_cancelled(SHORT, Duration::from_micros(us)),
                Event::Refused => profile.record_refusal(SHORT),
            }
            prop_assert_eq!(profile.estimate(SHORT), profile.recent());
        }
        let now = Instant::now();
        let mut queue = Queue::new(20);
        for (id, (weight, deadline_ms)) in queued.iter().enumerate() {
            queue.push(fixture::request(id as u64, *weight, *deadline_ms, now), &profile, now);
        }
        let count = queue.len();
        let ahead = Ahead { count, work: profile.recent() * count as u32 };
        let later = now + millis(age_ms);
        let last = fixture::request(99, 1, 200, later);
        prop_assert_eq!(queue.ahead(last, &profile, later), ahead);
    }
}
