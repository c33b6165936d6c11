//! Requests that crash targets are isolated, then refused but for trials; requests that only ran when
//! targets crashed are cleared.

use std::time::{Duration, Instant};

use basilbay_keys::suspect::{
    self, Disposition, FIRST_TRIAL_DELAY, MAX_SUSPECTS, RETENTION, Run, Suspects,
    TRIAL_DELAY_FACTOR,
};
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

/// Index of the daemon whose target runs the trials of a request.
fn tester(fleet: &[Suspects], fingerprint: u64) -> usize {
    let ids: Vec<InstanceId> = (0..fleet.len()).map(id).collect();
    let tester = suspect::tester(fingerprint, ids.iter());
    let position = ids.iter().position(|id| Some(id) == tester);
    position.expect("the tester is one of the instances")
}

/// Dispositions of a request at all daemons.
fn dispositions(fleet: &[Suspects], fingerprint: u64, now: Instant) -> Vec<Disposition> {
    let tester = tester(fleet, fingerprint);
    let daemons = fleet.iter().enumerate();
    daemons
        .map(|(index, daemon)| daemon.check(fingerprint, index == tester, now))
        .collect()
}

/// Begins a run at a daemon.
fn begin(fleet: &mut [Suspects], at: usize, fingerprint: u64, now: Instant) -> Run {
    let is_tester = at == tester(fleet, fingerprint);
    let deadline = now + Duration::from_secs(2);
    Run {
        fingerprint,
        disposition: fleet[at].begin(fingerprint, is_tester, deadline, now),
        was_aborted: false,
    }
}

/// Crashes the target of a daemon and delivers the reports.
fn crash(fleet: &mut [Suspects], at: usize, in_flight: &[Run], now: Instant) {
    let reports = fleet[at].record_crash(in_flight, now);
    deliver(fleet, at, reports, now);
}

/// Completes a run at a daemon and delivers the report.
fn complete(fleet: &mut [Suspects], at: usize, run: Run, now: Instant) {
    let report = fleet[at].record_completion(run, now);
    deliver(fleet, at, report.into_iter().collect(), now);
}

/// Number of trials that a request resent every 250 ms to all daemons gets within `duration`, if
/// each trial crashes its target.
fn crashing_trials(fleet: &mut [Suspects], start: Instant, duration: Duration) -> usize {
    let mut count = 0;
    for step in 0..duration.as_millis() / 250 {
        let now = start + Duration::from_millis(250 * step as u64);
        for at in 0..fleet.len() {
            let run = begin(fleet, at, POISON, now);
            if run.disposition != Disposition::Refused {
                count += 1;
                crash(fleet, at, &[run], now);
            }
        }
    }
    count
}

/// Guards against refusing a request that only ran on the same target as the cause.
#[test]
fn shared_target() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let in_flight = [POISON, BYSTANDER].map(|it| begin(&mut fleet, 0, it, now));
    crash(&mut fleet, 0, &in_flight, now);
    assert_eq!(
        dispositions(&fleet, BYSTANDER, now),
        [Disposition::Isolated; 3]
    );
    let run = begin(&mut fleet, 1, BYSTANDER, now);
    complete(&mut fleet, 1, run, now);
    let run = begin(&mut fleet, 2, POISON, now);
    crash(&mut fleet, 2, &[run], now);
    assert_eq!(dispositions(&fleet, POISON, now), [Disposition::Refused; 3]);
    assert_eq!(
        dispositions(&fleet, BYSTANDER, now),
        [Disposition::Unrestricted; 3]
    );
}

/// Guards against counting two simultaneous crashes as one, which would let the request run on every
/// target at once.
#[test]
fn simultaneous_crashes() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    let runs = [0, 1].map(|at| (at, begin(&mut fleet, at, POISON, now)));
    let reports = runs.map(|(at, run)| (at, fleet[at].record_crash(&[run], now)));
    for (at, reports) in reports {
        deliver(&mut fleet, at, reports, now);
    }
    let tester = tester(&fleet, POISON);
    for (at, disposition) in dispositions(&fleet, POISON, now).into_iter().enumerate() {
        let expected = if at == tester {
            Disposition::Trial
        } else {
            Disposition::Refused
        };
        assert_eq!(disposition, expected, "daemon {at}");
    }
    let run = begin(&mut fleet, tester, POISON, now);
    assert_eq!(dispositions(&fleet, POISON, now), [Disposition::Refused; 4]);
    crash(&mut fleet, tester, &[run], now);
    assert_eq!(dispositions(&fleet, POISON, now), [Disposition::Refused; 4]);
}

/// Guards against refusing a popular request because targets crashed together while they ran it: a
/// failure domain lost power.
#[test]
fn common_cause() {
    let now = Instant::now();
    let mut fleet = fleet(6);
    let runs: Vec<Run> = (0..6)
        .map(|at| begin(&mut fleet, at, BYSTANDER, now))
        .collect();
    crash(&mut fleet, 0, &[runs[0], runs[0]], now);
    crash(&mut fleet, 1, &[runs[1]], now);
    complete(&mut fleet, 4, runs[4], now);
    assert_eq!(
        dispositions(&fleet, BYSTANDER, now),
        [Disposition::Unrestricted; 6]
    );
}

/// Guards against refusing a popular request for good after all targets crashed together, so that
/// no run of it is left that could complete.
#[test]
fn loss_of_all() {
    let now = Instant::now();
    let mut fleet = fleet(6);
    for at in 0..6 {
        let run = begin(&mut fleet, at, BYSTANDER, now);
        let reports = fleet[at].record_crash(&[run], now);
        deliver(&mut fleet, at, reports, now);
    }
    let later = now + FIRST_TRIAL_DELAY;
    let tester = tester(&fleet, BYSTANDER);
    let run = begin(&mut fleet, tester, BYSTANDER, later);
    assert_eq!(run.disposition, Disposition::Trial);
    complete(&mut fleet, tester, run, later);
    assert_eq!(
        dispositions(&fleet, BYSTANDER, later),
        [Disposition::Unrestricted; 6]
    );
}

/// Guards against refusing a popular request for minutes after targets crashed one after the other,
/// so that isolated runs of it were among those that crashed: other runs still complete.
#[test]
fn staggered_crashes() {
    let now = Instant::now();
    let mut fleet = fleet(6);
    let before = begin(&mut fleet, 5, BYSTANDER, now);
    for at in 0..3 {
        let run = begin(&mut fleet, at, BYSTANDER, now);
        crash(&mut fleet, at, &[run], now);
    }
    assert_eq!(
        dispositions(&fleet, BYSTANDER, now),
        [Disposition::Refused; 6]
    );
    complete(&mut fleet, 5, before, now);
    let tester = tester(&fleet, BYSTANDER);
    let run = begin(&mut fleet, tester, BYSTANDER, now);
    assert_eq!(run.disposition, Disposition::Trial);
    complete(&mut fleet, tester, run, now);
    assert_eq!(
        dispositions(&fleet, BYSTANDER, now),
        [Disposition::Unrestricted; 6]
    );
}

/// Guards against trials that let a request crash many targets, also one whose first crashes came
/// together with the loss of other targets, and one that always has the same path and no body.
#[test]
fn bounded_trials() {
    for targets_lost in 1..=4 {
        let now = Instant::now();
        let mut fleet = fleet(6);
        let runs: Vec<_> = (0..targets_lost)
            .map(|at| (at, begin(&mut fleet, at, POISON, now)))
            .collect();
        for (at, run) in runs {
            crash(&mut fleet, at, &[run], now);
        }
        let trials = crashing_trials(&mut fleet, now, Duration::from_secs(120));
        assert!(
            trials <= 3,
            "{trials} after {targets_lost} targets were lost"
        );
    }
}

/// Guards against a request that is refused for all of the retention period although it no longer
/// crashes targets.
#[test]
fn trial_delays() {
    let start = Instant::now();
    let mut fleet = fleet(4);
    let mut now = start;
    let tester = tester(&fleet, POISON);
    let mut run = begin(&mut fleet, tester, POISON, now);
    crash(&mut fleet, tester, &[run], now);
    run = begin(&mut fleet, tester, POISON, now);
    crash(&mut fleet, tester, &[run], now);
    let mut delay = FIRST_TRIAL_DELAY;
    for _ in 0..2 {
        let early = now + delay - Duration::from_millis(1);
        assert_eq!(
            dispositions(&fleet, POISON, early),
            [Disposition::Refused; 4]
        );
        now += delay;
        run = begin(&mut fleet, tester, POISON, now);
        assert_eq!(run.disposition, Disposition::Trial);
        crash(&mut fleet, tester, &[run], now);
        delay *= TRIAL_DELAY_FACTOR;
    }
    now += delay;
    run = begin(&mut fleet, tester, POISON, now);
    complete(&mut fleet, tester, run, now);
    assert_eq!(
        dispositions(&fleet, POISON, now),
        [Disposition::Unrestricted; 4]
    );
}

/// Guards against daemons that restart in turn and each let the request crash their target again.
#[test]
fn restarted_daemons() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    for at in [0, 1] {
        let run = begin(&mut fleet, at, POISON, now);
        crash(&mut fleet, at, &[run], now);
    }
    for at in 0..4 {
        let reports = fleet[(at + 1) % 4].reports(&id((at + 1) % 4), now);
        fleet[at] = Suspects::new(SERVICE.into());
        fleet[at].restore(&id(at), &reports, now);
        assert_eq!(dispositions(&fleet, POISON, now), [Disposition::Refused; 4]);
    }
    let trials = crashing_trials(&mut fleet, now, Duration::from_secs(90));
    assert_eq!(trials, 2);
}

/// Guards against a request that takes a third target because the report of the first crash arrives later
/// than the request at the second target.
#[test]
fn late_report() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    let run = begin(&mut fleet, 0, POISON, now);
    let late = fleet[0].record_crash(&[run], now);
    let run = begin(&mut fleet, 1, POISON, now);
    let run = Run {
        was_aborted: true,
        ..run
    };
    crash(&mut fleet, 1, &[run], now);
    deliver(&mut fleet, 0, late, now);
    assert_eq!(dispositions(&fleet, POISON, now), [Disposition::Refused; 4]);
}

/// Guards against a trial whose end is never known and that keeps the request refused.
#[test]
fn lost_trial() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    for at in [0, 1] {
        let run = begin(&mut fleet, at, POISON, now);
        fleet[at].record_crash(&[run], now);
    }
    crash(&mut fleet, 0, &[], now);
    let runs = [0, 1].map(|at| fleet[at].record_crash(&[Run::unrestricted(POISON)], now));
    for (at, reports) in runs.into_iter().enumerate() {
        deliver(&mut fleet, at, reports, now);
    }
    let tester = tester(&fleet, POISON);
    for seconds in [0, 2] {
        let now = now + Duration::from_secs(seconds);
        let run = begin(&mut fleet, tester, POISON, now);
        assert_eq!(run.disposition, Disposition::Trial);
        let run = begin(&mut fleet, tester, POISON, now);
        assert_eq!(run.disposition, Disposition::Refused);
    }
    let now = now + Duration::from_secs(2);
    fleet[tester].cancel_trial(POISON);
    let run = begin(&mut fleet, tester, POISON, now);
    assert_eq!(run.disposition, Disposition::Trial);
}

/// Guards against refusing a hedged request that ran on the same two targets as a hedged request
/// that crashes them.
#[test]
fn hedged_neighbours() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    for at in [0, 1] {
        let in_flight = [POISON, BYSTANDER].map(Run::unrestricted);
        crash(&mut fleet, at, &in_flight, now);
    }
    for fingerprint in [BYSTANDER, POISON] {
        let tester = tester(&fleet, fingerprint);
        let run = begin(&mut fleet, tester, fingerprint, now);
        assert_eq!(run.disposition, Disposition::Trial);
        if fingerprint == BYSTANDER {
            complete(&mut fleet, tester, run, now);
        } else {
            crash(&mut fleet, tester, &[run], now);
        }
    }
    assert_eq!(
        dispositions(&fleet, BYSTANDER, now),
        [Disposition::Unrestricted; 4]
    );
    assert_eq!(dispositions(&fleet, POISON, now), [Disposition::Refused; 4]);
}

/// Guards against never refusing the cause when its first two crashes involve the same other
/// request.
#[test]
fn third_crash() {
    let now = Instant::now();
    let mut fleet = fleet(4);
    for at in [0, 1] {
        let in_flight = [POISON, BYSTANDER].map(Run::unrestricted);
        crash(&mut fleet, at, &in_flight, now);
    }
    let tester = tester(&fleet, POISON);
    let run = begin(&mut fleet, tester, POISON, now);
    crash(&mut fleet, tester, &[run], now);
    for daemon in &fleet {
        assert_eq!(daemon.check(POISON, false, now), Disposition::Refused);
        assert_eq!(daemon.check(POISON, true, now), Disposition::Refused);
    }
}

/// Guards against counting a duplicate datagram as a second crash.
#[test]
fn repeated_datagram() {
    let now = Instant::now();
    let mut fleet = fleet(2);
    let run = begin(&mut fleet, 0, POISON, now);
    let reports = fleet[0].record_crash(&[run, run], now);
    deliver(&mut fleet, 0, reports.clone(), now);
    deliver(&mut fleet, 0, reports, now);
    assert_eq!(fleet[1].check(POISON, false, now), Disposition::Isolated);
}

/// Guards against the completion of an ordinary run that clears a request with a crash of an isolated
/// run, in whichever order the reports arrive.
#[test]
fn late_clearance() {
    let now = Instant::now();
    let mut fleet = fleet(3);
    let before = begin(&mut fleet, 1, POISON, now);
    for _ in 0..2 {
        let run = begin(&mut fleet, 0, POISON, now);
        let reports = fleet[0].record_crash(&[run], now);
        deliver(&mut fleet, 0, reports, now);
    }
    let completed = fleet[1].record_completion(before, now).unwrap();
    assert_eq!((completed.crashes, completed.is_trial), (0, false));
    fleet[0].merge(&id(1), &completed, now);
    assert_eq!(fleet[0].check(POISON, false, now), Disposition::Refused);
    assert_eq!(fleet[1].check(POISON, false, now), Disposition::Refused);
    assert_eq!(fleet[1].record_completion(before, now), None);
    assert_eq!(fleet[0].check(POISON, true, now), Disposition::Trial);
}

/// Guards against suspects that never expire and against unbounded growth.
#[test]
fn bounded_suspects() {
    let run = Run::unrestricted;
    let start = Instant::now();
    let mut suspects = Suspects::new(SERVICE.into());
    suspects.record_crash(&[run(0)], start);
    let later = start + Duration::from_secs(1);
    let many: Vec<Run> = (1..=MAX_SUSPECTS as u64).map(run).collect();
    suspects.record_crash(&many, later);
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert_eq!(suspects.check(0, false, later), Disposition::Unrestricted);
    assert_eq!(suspects.check(1, false, later), Disposition::Isolated);
    assert_eq!(
        suspects.check(1, false, later + RETENTION),
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
    /// another request. All of its runs crash, those of the bystander complete elsewhere.
    #[test]
    fn any_order(
        crashes in prop::collection::vec(0..4usize, 2..4),
        order in prop::collection::vec((any::<prop::sample::Index>(), 0..4usize), 0..40),
    ) {
        let now = Instant::now();
        let mut fleet = fleet(4);
        let mut sent = Vec::new();
        for index in crashes {
            let in_flight = [POISON, BYSTANDER].map(|it| begin(&mut fleet, index, it, now));
            let reports = fleet[index].record_crash(&in_flight, now);
            sent.extend(reports.into_iter().map(|report| (index, report)));
            if let Some(cleared) = fleet[index].record_completion(in_flight[1], now) {
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
        let tester = tester(&fleet, POISON);
        for (at, daemon) in fleet.iter().enumerate() {
            if at != tester {
                prop_assert_eq!(daemon.check(POISON, false, now), Disposition::Refused);
            }
        }
        prop_assert!(crashing_trials(&mut fleet, now, Duration::from_secs(30)) <= 3);
    }

    /// Guards against a popular request that stays refused after targets crashed for other reasons, at
    /// any times, while most of its runs complete.
    #[test]
    fn innocent_request(crashes in prop::collection::vec((0..6usize, 0..400u64), 1..12)) {
        let start = Instant::now();
        let mut fleet = fleet(6);
        let mut running: Vec<(usize, Run, Instant)> = Vec::new();
        for step in 0..2_000u64 {
            let now = start + Duration::from_millis(10 * step);
            for (at, _) in crashes.iter().filter(|(_, crash_step)| *crash_step == step) {
                let on_target = |(target, ..): &(usize, Run, Instant)| target == at;
                let in_flight: Vec<Run> =
                    running.iter().filter(|it| on_target(it)).map(|it| it.1).collect();
                running.retain(|it| !on_target(it));
                crash(&mut fleet, *at, &in_flight, now);
            }
            let ended: Vec<_> = running.extract_if(.., |it| now >= it.2).collect();
            for (at, run, _) in ended {
                complete(&mut fleet, at, run, now);
            }
            let at = (step % 6) as usize;
            let run = begin(&mut fleet, at, BYSTANDER, now);
            if run.disposition != Disposition::Refused {
                running.push((at, run, now + Duration::from_millis(200)));
            }
        }
        let end = start + Duration::from_secs(20);
        prop_assert_eq!(dispositions(&fleet, BYSTANDER, end), [Disposition::Unrestricted; 6]);
    }
}
