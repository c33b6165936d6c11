//! Requests that crash targets are isolated, then refused; requests that only ran concurrently are
//! cleared.

use std::time::{Duration, Instant};

use basilbay_keys::suspect::{self, Disposition, MAX_SUSPECTS, RETENTION, Suspects};
use basilbay_model::id::InstanceId;
use basilbay_wire::datagram::Suspicion;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SERVICE: &str = "fitfinder";
const POISON: u64 = 7;
const BYSTANDER: u64 = 8;

fn fleet(count: usize) -> Vec<Suspects> {
    (0..count).map(|_| Suspects::new(SERVICE.into())).collect()
}

fn id(index: usize) -> InstanceId {
    format!("{SERVICE}-{index}").as_str().into()
}

/// Delivers crash reports to every daemon except their sender.
fn deliver(fleet: &mut [Suspects], from: usize, reports: Vec<Suspicion>, now: Instant) {
    for report in reports {
        for to in (0..fleet.len()).filter(|to| *to != from) {
            fleet[to].merge(&id(from), &report, now);
        }
    }
}

/// Guards against equal fingerprints of different requests.
#[test]
fn distinct_fingerprints() {
    let fingerprint = |path, key, body| suspect::fingerprint(SERVICE, "POST", path, key, body);
    let base = fingerprint("/fit", None, b"body");
    assert_eq!(base, fingerprint("/fit", None, b"body"));
    assert_ne!(base, fingerprint("/fi", None, b"tbody"));
    assert_ne!(base, fingerprint("/fit", Some("body"), b""));
    assert_eq!(
        fingerprint("/fit", Some("k"), b"1"),
        fingerprint("/fit", Some("k"), b"2")
    );
    assert_eq!(
        fingerprint("/", None, &[1; 4096]),
        fingerprint("/", None, &[1; 5000])
    );
}

/// Guards against refusing a request that only ran on the same target as the cause.
#[test]
fn shared_target() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let reports = fleet[0].record_crash(&[POISON, BYSTANDER], now);
    deliver(&mut fleet, 0, reports, now);
    assert_eq!(fleet[2].check(BYSTANDER, now), Disposition::Isolated);
    let reports = fleet[1].record_completion(BYSTANDER, now);
    deliver(&mut fleet, 1, reports.into_iter().collect(), now);
    let reports = fleet[2].record_crash(&[POISON], now);
    deliver(&mut fleet, 2, reports, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
        assert_eq!(daemon.check(BYSTANDER, now), Disposition::Unrestricted);
    }
}

/// Guards against counting two simultaneous crashes as one.
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

/// Guards against refusing a hedged request that ran on the same two targets as a hedged request
/// that crashes them.
#[test]
fn hedged_neighbours() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    let first = fleet[0].record_crash(&[POISON, BYSTANDER], now);
    let second = fleet[1].record_crash(&[POISON, BYSTANDER], now);
    deliver(&mut fleet, 0, first, now);
    deliver(&mut fleet, 1, second, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(BYSTANDER, now), Disposition::Isolated);
        assert_eq!(daemon.check(POISON, now), Disposition::Isolated);
    }
    let reports = fleet[2].record_completion(BYSTANDER, now);
    deliver(&mut fleet, 2, reports.into_iter().collect(), now);
    for daemon in &fleet {
        assert_eq!(daemon.check(BYSTANDER, now), Disposition::Unrestricted);
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
    }
}

/// Guards against never refusing the cause when its first two crashes involve the same other
/// request.
#[test]
fn third_crash() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    for index in [0, 1] {
        let reports = fleet[index].record_crash(&[POISON, BYSTANDER], now);
        deliver(&mut fleet, index, reports, now);
    }
    let reports = fleet[3].record_crash(&[POISON], now);
    deliver(&mut fleet, 3, reports, now);
    for daemon in &fleet {
        assert_eq!(daemon.check(POISON, now), Disposition::Refused);
    }
}

/// Guards against counting a duplicate datagram as a second crash.
#[test]
fn repeated_datagram() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    let reports = fleet[0].record_crash(&[POISON, POISON], now);
    deliver(&mut fleet, 0, reports.clone(), now);
    deliver(&mut fleet, 0, reports, now);
    assert_eq!(fleet[1].check(POISON, now), Disposition::Isolated);
}

/// Guards against a completion report that clears a request with two crashes.
#[test]
fn late_clearance() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    fleet[0].record_crash(&[POISON], now);
    fleet[0].record_crash(&[POISON], now);
    assert_eq!(fleet[0].record_completion(POISON, now), None);
    let reports = fleet[1].record_crash(&[POISON], now);
    let cleared = fleet[1].record_completion(POISON, now).unwrap();
    assert_eq!((reports[0].crashes, cleared.crashes), (1, 0));
    fleet[0].merge(&id(1), &cleared, now);
    assert_eq!(fleet[0].check(POISON, now), Disposition::Refused);
}

/// Guards against suspects that never expire and against unbounded growth.
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

    /// Guards against a request that is still admitted after two crashes although all reports have
    /// arrived, in any order and any number of times, or that is cleared by the completion of
    /// another request.
    #[test]
    fn any_order(
        crashes in prop::collection::vec(0..4usize, 2..4),
        order in prop::collection::vec((any::<prop::sample::Index>(), 0..4usize), 0..40),
    ) {
        let now = Instant::now();
        let mut fleet = fleet(4);
        let mut sent = Vec::new();
        for index in crashes {
            let reports = fleet[index].record_crash(&[POISON, BYSTANDER], now);
            sent.extend(reports.into_iter().map(|report| (index, report)));
            if let Some(cleared) = fleet[index].record_completion(BYSTANDER, now) {
                sent.push((index, cleared));
            }
        }
        for (pick, to) in order {
            let (from, report) = pick.get(&sent).clone();
            if from != to {
                fleet[to].merge(&id(from), &report, now);
            }
        }
        for (from, report) in sent {
            deliver(&mut fleet, from, vec![report], now);
        }
        for daemon in &fleet {
            prop_assert_eq!(daemon.check(POISON, now), Disposition::Refused);
        }
    }
}
