//! Which targets the router picks.

#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_model::service::Policy;
use basilbay_routing::policy;
use basilbay_routing::router::{Completion, Exclusions, Router};
use basilbay_wire::load::{Load, State};
use fleet::{id, router};
use proptest::prelude::*;

fn load(sequence: u64, in_flight: u32) -> Load {
    Load {
        sequence,
        in_flight,
        limit: 18,
        latency_us: 5000,
        ..Load::default()
    }
}

/// Sends `count` requests that end immediately and returns how many each target got.
fn count_picks(router: &mut Router, targets: usize, count: u64, now: Instant) -> Vec<usize> {
    let mut counts = vec![0; targets];
    for call in 0..count {
        let picked = router
            .pick(call, &Exclusions::default(), now)
            .expect("an available target")
            .id;
        let index = router.cluster.position(&picked).expect("a known target");
        counts[index] += 1;
        router.finish(&picked, call, Completion::Refused, now);
        for target in &mut router.cluster.targets {
            target.sent_since_report = 0;
        }
    }
    counts
}

/// Guards against daemons that all pick the target with the lowest stale load.
#[test]
fn stale_load_decays() {
    let start = Instant::now();
    let mut router = router(6, 1, start);
    for index in 0..6 {
        let in_flight = if index == 3 { 0 } else { 12 };
        router.update_load(&id(index), &load(1, in_flight), start);
    }
    let fresh = count_picks(&mut router, 6, 600, start);
    let stale = count_picks(&mut router, 6, 600, start + Duration::from_secs(2));
    assert!(fresh[3] > 170, "{fresh:?}");
    assert!(stale[3] < 170, "{stale:?}");
}

/// Guards against requests that leave the local failure domain while it has headroom.
#[test]
fn local_domain_first() {
    let now = Instant::now();
    let mut router = router(8, 4, now);
    for index in 0..8 {
        router.update_load(&id(index), &load(1, 3), now);
    }
    let counts = count_picks(&mut router, 8, 400, now);
    assert_eq!(counts[0] + counts[4], 400, "{counts:?}");
}

/// Guards against requests that stay in the local failure domain when it is full, or leave it
/// abruptly.
#[test]
fn full_domain_spills() {
    let now = Instant::now();
    let mut router = router(8, 4, now);
    for index in 0..8 {
        let in_flight = if index % 4 == 0 { 18 } else { 3 };
        router.update_load(&id(index), &load(1, in_flight), now);
    }
    let counts = count_picks(&mut router, 8, 400, now);
    assert!(counts[0] + counts[4] < 40, "{counts:?}");
}

/// Guards against requests to targets that reported that they accept none.
#[test]
fn closed_targets_skipped() {
    let now = Instant::now();
    for state in [State::Leaving, State::Out, State::Down, State::Unconfirmed] {
        let mut router = router(4, 1, now);
        let closed = Load {
            state,
            ..load(1, 0)
        };
        router.update_load(&id(2), &closed, now);
        let counts = count_picks(&mut router, 4, 200, now);
        assert_eq!(counts[2], 0, "{state:?} {counts:?}");
    }
}

/// Guards against a target that stays without requests because the datagram that reopens it was
/// lost.
#[test]
fn closed_state_expires() {
    let now = Instant::now();
    let mut router = router(2, 1, now);
    let closed = Load {
        state: State::Down,
        ..load(1, 0)
    };
    router.update_load(&id(1), &closed, now);
    let later = now + Duration::from_secs(2);
    let counts = count_picks(&mut router, 2, 50, later);
    assert!(counts[1] > 0, "{counts:?}");
}

/// Guards against old load reports that overwrite newer ones when datagrams arrive out of order.
#[test]
fn reordered_load_ignored() {
    let now = Instant::now();
    let mut router = router(2, 1, now);
    router.update_load(&id(0), &load(5, 17), now);
    router.update_load(&id(0), &load(4, 0), now);
    assert_eq!(router.cluster.targets[0].load.in_flight, 17);
}

/// Guards against a straggler that still gets requests after tens of milliseconds without a
/// response.
#[test]
fn unresponsive_ejected() {
    let start = Instant::now();
    let mut router = router(6, 1, start);
    let unresponsive = router.pick(1, &Exclusions::default(), start).unwrap().id;
    let later = start + Duration::from_millis(60);
    let mut count = 0;
    for call in 2..200 {
        let picked = router.pick(call, &Exclusions::default(), later).unwrap().id;
        count += usize::from(picked == unresponsive);
        router.finish(&picked, call, Completion::Refused, later);
    }
    assert_eq!(count, 0);
}

/// Guards against ejecting so many targets that the remaining ones are overloaded.
#[test]
fn half_stays_eligible() {
    let start = Instant::now();
    let mut router = router(6, 1, start);
    for call in 0..60 {
        router.pick(call, &Exclusions::default(), start);
    }
    let later = start + Duration::from_secs(1);
    router.pick(100, &Exclusions::default(), later);
    let ejected = router.cluster.targets.iter();
    let ejected = ejected.filter(|target| target.ejection.is_active()).count();
    assert_eq!(ejected, 3);
}

/// Guards against a request that waits at a full target while another target has a free slot.
#[test]
fn offers_before_waiting() {
    let now = Instant::now();
    let mut router = router(4, 1, now);
    let mut exclusions = Exclusions::default();
    for call in 0..3 {
        let pick = router.pick(call, &exclusions, now).unwrap();
        assert!(!pick.may_wait && !exclusions.full.contains(&pick.id));
        router.finish(&pick.id, call, Completion::Refused, now);
        exclusions.full.push(pick.id);
    }
    let last = router.pick(3, &exclusions, now).unwrap();
    assert!(!last.may_wait);
    exclusions.full.push(last.id);
    let waiting = router.pick(4, &exclusions, now).unwrap();
    assert!(waiting.may_wait);
}

/// Guards against offering requests to every target in turn while the whole service is overloaded.
#[test]
fn overload_waits_early() {
    let now = Instant::now();
    let mut router = router(6, 1, now);
    for call in 0..200 {
        let pick = router.pick(call, &Exclusions::default(), now).unwrap();
        router.finish(&pick.id, call, Completion::Refused, now);
    }
    let exclusions = Exclusions {
        full: vec![id(0)],
        ..Exclusions::default()
    };
    assert!(router.pick(200, &exclusions, now).unwrap().may_wait);
}

proptest! {
    /// Guards against picking an excluded or closed target, for any sequence of updates.
    #[test]
    fn picks_are_allowed(
        seed: u64,
        name in prop::sample::select(vec![
            Policy::Basilbay, Policy::RoundRobin, Policy::Random,
            Policy::LeastInFlight, Policy::TwoChoices,
        ]),
        steps in prop::collection::vec((0_usize..9, 0_u8..8, 0_u64..200), 1..200),
    ) {
        let mut now = Instant::now();
        let mut router = router(9, 3, now);
        let mut policy = policy::build(name, seed);
        let mut exclusions = Exclusions::default();
        for (step, (index, action, gap_ms)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(gap_ms);
            let call = step as u64;
            match action {
                0 => router.update_load(&id(index), &load(call, index as u32), now),
                1 => router.cluster.mark_leaving(&id(index)),
                2 => router.cluster.targets[index].allowed ^= true,
                3 => exclusions.failed = vec![id(index)],
                6 => exclusions.full = vec![id(index)],
                4 => router.finish(&id(index), call / 2, Completion::Failed, now),
                _ => router.finish(&id(index), call / 2, Completion::Answered, now),
            }
            if let Some(picked) = router.pick(call, &exclusions, now) {
                let position = router.cluster.position(&picked.id).unwrap();
                prop_assert!(router.cluster.targets[position].accepts_requests(now));
                prop_assert!(!exclusions.failed.contains(&picked.id));
                prop_assert!(picked.may_wait || !exclusions.full.contains(&picked.id));
                let eligible = [position];
                prop_assert_eq!(policy.pick(&router.cluster, &eligible, now), position);
            } else {
                let open = router.cluster.targets.iter().filter(|target| {
                    target.accepts_requests(now) && !exclusions.failed.contains(&target.id)
                });
                prop_assert_eq!(open.count(), 0);
            }
        }
    }
}

/// Guards against requests that are offered to, or wait at, a target which accepts none yet at the
/// rate that it states, while another target has room.
#[test]
fn paced_target_avoided() {
    let now = Instant::now();
    let mut router = router(6, 3, now);
    for index in 0..5 {
        let paced = Load {
            rate_wait_us: 400_000 + 100_000 * index as u32,
            ..load(1, 0)
        };
        router.update_load(&id(index), &paced, now);
    }
    router.update_load(&id(5), &load(1, 12), now);
    assert_eq!(count_picks(&mut router, 6, 200, now)[5], 200);
    // Of targets that all accept none yet, the sampled one with the shortest wait is picked.
    let paced = Load {
        rate_wait_us: 2_000_000,
        ..load(2, 0)
    };
    router.update_load(&id(5), &paced, now);
    let counts = count_picks(&mut router, 6, 600, now);
    assert_eq!(counts.iter().sum::<usize>(), 600);
    assert!(counts[5] < 60, "{counts:?}");
    let later = now + Duration::from_millis(401);
    let counts = count_picks(&mut router, 6, 200, later);
    assert_eq!(counts[0], 200, "its time has come: {counts:?}");
}
