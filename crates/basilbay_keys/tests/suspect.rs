//! Requests that crash targets are isolated, then refused; the innocent are cleared.

use std::time::{Duration, Instant};

use basilbay_keys::suspect::{self, Disposition, MAX_SUSPECTS, RETENTION, Suspects};
use basilbay_model::id::InstanceId;
use basilbay_wire::datagram::Suspicion;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SERVICE: &str = "fitfinder";
const POISON: u64 = 7;
const INNOCENT: u64 = 8;

fn fleet(count: usize) -> Vec<Suspects> {
    (0..count).map(|_| Suspects::new(SERVICE.into())).collect()
}

fn id(index: usize) -> InstanceId {
    format!("{SERVICE}-{index}").as_str().into()
}

/// Delivers messages to every daemon but their sender.
fn deliver(fleet: &mut [Suspects], from: usize, messages: Vec<Suspicion>, now: Instant) {
    for message in messages {
        for to in (0..fleet.len()).filter(|to| *to != from) {
            fleet[to].merge(&id(from), &message, now);
        }
    }
}

/// Guards against requests that are mistaken for one another.
#[test]
fn distinct_fingerprints() {
    let print = |path, key, body| suspect::fingerprint(SERVICE, "POST", path, key, body);
    let base = print("/fit", None, b"body");
    assert_eq!(base, print("/fit", None, b"body"));
    assert_ne!(base, print("/fi", None, b"tbody"));
    assert_ne!(base, print("/fit", Some("body"), b""));
    assert_eq!(
        print("/fit", Some("k"), b"1"),
        print("/fit", Some("k"), b"2")
    );
    assert_eq!(print("/", None, &[1; 4096]), print("/", None, &[1; 5000]));
}

/// Guards against refusing a request that only shared the target with the cause.
#[test]
fn shared_target() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let told = fleet[0].record_crash(&[POISON, INNOCENT], now);
    deliver(&mut fleet, 0, told, now);
    assert_eq!(fleet[2].check(INNOCENT, now), Disposition::Isolated);
    let told = fleet[1].record_completion(INNOCENT, now);
    deliver(&mut fleet, 1, told.into_iter().collect(), now);
    let told = fleet[2].record_crash(&[POISON], now);
    deliver(&mut fleet, 2, told, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
        assert_eq!(daemon.check(INNOCENT, now), Disposition::Unrestricted);
    }
}

/// Guards against two crashes at the same time that every daemon counts as one.
#[test]
fn simultaneous_crashes() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    let first = fleet[0].record_crash(&[POISON], now);
    let second = fleet[1].record_crash(&[POISON], now);
    deliver(&mut fleet, 0, first, now);
    deliver(&mut fleet, 1, second, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
    }
}

/// Guards against refusing a hedged request that shared both of its targets with a hedged poison.
#[test]
fn hedged_neighbours() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    let first = fleet[0].record_crash(&[POISON, INNOCENT], now);
    let second = fleet[1].record_crash(&[POISON, INNOCENT], now);
    deliver(&mut fleet, 0, first, now);
    deliver(&mut fleet, 1, second, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(INNOCENT, now), Disposition::Isolated);
        assert_eq!(daemon.check(POISON, now), Disposition::Isolated);
    }
    let told = fleet[2].record_completion(INNOCENT, now);
    deliver(&mut fleet, 2, told.into_iter().collect(), now);
    for daemon in &fleet {
        assert_eq!(daemon.check(INNOCENT, now), Disposition::Unrestricted);
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
    }
}

/// Guards against a cause that runs on since it always crashes with the same neighbour.
#[test]
fn third_crash() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    for at in [0, 1] {
        let told = fleet[at].record_crash(&[POISON, INNOCENT], now);
        deliver(&mut fleet, at, told, now);
    }
    let told = fleet[3].record_crash(&[POISON], now);
    deliver(&mut fleet, 3, told, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
    }
}

/// Guards against a repeated datagram that counts as a second crash.
#[test]
fn repeated_datagram() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    let told = fleet[0].record_crash(&[POISON, POISON], now);
    deliver(&mut fleet, 0, told.clone(), now);
    deliver(&mut fleet, 0, told, now);
    assert_eq!(fleet[1].check(POISON, now), Disposition::Isolated);
}

/// Guards against a clearance that clears a request with two crashes.
#[test]
fn late_clearance() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    fleet[0].record_crash(&[POISON], now);
    fleet[0].record_crash(&[POISON], now);
    assert_eq!(fleet[0].record_completion(POISON, now), None);
    let told = fleet[1].record_crash(&[POISON], now);
    let cleared = fleet[1].record_completion(POISON, now).unwrap();
    assert_eq!((told[0].crashes, cleared.crashes), (1, 0));
    fleet[0].merge(&id(1), &cleared, now);
    assert_eq!(fleet[0].check(POISON, now), Disposition::Refused);
}

/// Guards against suspicions that never end and against unbounded growth.
#[test]
fn bounded_suspects() {
    let start = Instant::now();
    let mut suspects = Suspects::new(SERVICE.into());
    suspects.record_crash(&[0], start);
    let later = start + Duration::from_secs(1);
    let many: Vec<u64> = (1..=MAX_SUSPECTS as u64).collect();
    suspects.record_crash(&many, later);
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert_eq!(suspects.check(0, later), Disposition::Unrestricted);
    assert_eq!(suspects.check(1, later), Disposition::Isolated);
    assert_eq!(
        suspects.check(1, later + RETENTION),
        Disposition::Unrestricted
    );
    suspects.record_crash(&[], later + RETENTION);
    assert!(suspects.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a poison that crashes more than two targets once messages arrive, in any
    /// order and any number of times, or that a completed neighbour frees.
    #[test]
    fn any_order(
        crashes in prop::collection::vec(0..4usize, 2..4),
        order in prop::collection::vec((any::<prop::sample::Index>(), 0..4usize), 0..40),
    ) {
        let now = Instant::now();
        let mut fleet = fleet(4);
        let mut sent = Vec::new();
        for at in crashes {
            let told = fleet[at].record_crash(&[POISON, INNOCENT], now);
            sent.extend(told.into_iter().map(|message| (at, message)));
            if let Some(cleared) = fleet[at].record_completion(INNOCENT, now) {
                sent.push((at, cleared));
            }
        }
        for (pick, to) in order {
            let (from, message) = pick.get(&sent).clone();
            if from != to {
                fleet[to].merge(&id(from), &message, now);
            }
        }
        for (from, message) in sent {
            deliver(&mut fleet, from, vec![message], now);
        }
        for daemon in &fleet {
            prop_assert_eq!(daemon.check(POISON, now), Disposition::Refused);
        }
    }
}
