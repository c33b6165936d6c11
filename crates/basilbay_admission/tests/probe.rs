//! Probes use a bounded share of the target's time, and their reports only lower the limit.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Completion, Gate, Startup};
use basilbay_admission::probe::{Budget, Report};
use basilbay_model::service::Contract;
use fixture::{config, request};
use proptest::prelude::*;

fn contract(probe_permille: u32, cost_us: u64) -> Contract {
    Contract {
        probe_permille,
        probe_cost: Duration::from_micros(cost_us),
        warm_after: 0,
        ..Contract::default()
    }
}

fn report(in_flight: u32, capacity: u32, ready: bool) -> Report {
    Report {
        in_flight,
        capacity,
        ready,
    }
}

/// Guards against probes with a share of 0.
#[test]
fn zero_share() {
    let now = Instant::now();
    let mut budget = Budget::new(&contract(0, 0), now);
    assert_eq!(budget.next_at(), None);
    assert!(!budget.try_take(now + Duration::from_secs(3600)));
}

/// Guards against more than one cheap probe per second, and against an overflow of the cost.
#[test]
fn interval_bounded() {
    let now = Instant::now();
    let low_cost = Budget::new(&contract(1000, 1), now);
    assert_eq!(low_cost.next_at(), Some(now + Duration::from_secs(1)));
    let high_cost = Budget::new(&contract(10, 60_000), now);
    assert_eq!(high_cost.next_at(), Some(now + Duration::from_secs(6)));
    let mut overflowing = Budget::new(&contract(1, u64::MAX), now);
    assert!(!overflowing.try_take(now + Duration::from_secs(3600)));
}

proptest! {
    #![proptest_config(config(256))]

    /// Guards against bursts of probes at any time, for arbitrary costs and shares.
    #[test]
    fn time_share_bounded(
        cost in 0u64..200_000,
        permille in 1u32..1000,
        waits in prop::collection::vec(0u64..5_000, 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut budget = Budget::new(&contract(permille, cost), now);
        let mut sent = 0u128;
        for wait in waits {
            now += Duration::from_millis(wait);
            sent += u128::from(budget.try_take(now));
            let elapsed = (now - start).as_micros();
            prop_assert!(sent * u128::from(cost) * 1000 <= elapsed * u128::from(permille));
            prop_assert!(sent * 1_000_000 <= elapsed);
        }
    }

    /// Guards against a report that raises the limit or lowers it by more than half.
    #[test]
    fn report_only_lowers(in_flight in 0u32..1000, capacity in 0u32..1000, ready: bool) {
        let now = Instant::now();
        let mut gate = Gate::new(&contract(10, 1), Startup::Fresh, now);
        let own = gate.limit();
        gate.observe_report(report(in_flight, capacity, ready), now);
        prop_assert!(gate.limit() <= own);
        prop_assert!(gate.limit() >= own / 2);
    }
}

/// Guards against reported requests of other clients that are ignored, or limit the gate forever.
#[test]
fn foreign_requests() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(10, 1), Startup::Fresh, now);
    gate.observe_report(report(5, 0, true), now);
    assert_eq!(gate.limit(), 13);
    gate.tick(now + Duration::from_secs(3));
    assert_eq!(gate.limit(), 18);
}

/// Guards against a restriction by a report that merely lags behind the gate's own requests.
#[test]
fn lagging_report() {
    let now = Instant::now();
    let mut gate = Gate::new(&contract(10, 1), Startup::Fresh, now);
    for id in 0..4 {
        gate.offer(request(id, 1, 1000, now), now);
    }
    for id in 0..4 {
        gate.complete(id, Completion::Answered, now);
    }
    gate.observe_report(report(4, 0, true), now);
    assert_eq!(gate.limit(), 18);
}

/// Guards against a misleading report that stays in effect although the service times are normal.
#[test]
fn responses_refute_report() {
    let mut now = Instant::now();
    let mut gate = Gate::new(&contract(10, 1), Startup::Fresh, now);
    for id in 0..100 {
        if id == 80 {
            gate.observe_report(report(0, 0, false), now);
            assert_eq!(gate.limit(), 9);
        }
        gate.offer(request(id, 1, 1000, now), now);
        now += Duration::from_millis(10);
        gate.complete(id, Completion::Answered, now);
    }
    assert_eq!(gate.limit(), 18);
}
