//! Audit of hand-written records, runs and events, with one example of each violation.

use std::sync::Arc;

use basilbay_fakes::targets::audit::{Outcome as RunOutcome, Run, Violation};
use basilbay_load::audit::row::Class;
use basilbay_load::audit::{Input, Summary, classify};
use basilbay_load::client::record::{Attempt, Outcome, Record};
use basilbay_load::deployment::Deployment;
use basilbay_load::fleet::event::{Event, Kind};
use basilbay_load::plan::Stream;

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

/// Index of the stream of the kind `fit-check`, which is idempotent.
const FIT_CHECK: usize = 0;

/// Input of an audit under construction.
struct Case {
    streams: Vec<Stream>,
    records: Vec<Record>,
    runs: Vec<Run>,
    violations: Vec<Violation>,
    events: Vec<Event>,
}

impl Case {
    fn new() -> Self {
        Self {
            streams: Stream::for_deployment(
                &Deployment::builtin("caroni").expect("a built-in deployment"),
                0.5,
                0.0,
            ),
            records: Vec::new(),
            runs: Vec::new(),
            violations: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Index of the stream of the kind `booking`, which is not idempotent.
    fn booking(&self) -> usize {
        let mut streams = self.streams.iter();
        streams
            .position(|stream| &*stream.kind == "booking")
            .expect("a booking stream")
    }

    fn record(&mut self, stream: usize, outcomes: &[Outcome]) -> &mut Record {
        let number = self.records.len();
        let attempts = outcomes
            .iter()
            .enumerate()
            .map(|(attempt, outcome)| Attempt {
                id: match attempt {
                    0 => Arc::from(format!("r{number}")),
                    _ => Arc::from(format!("r{number}~{attempt}")),
                },
                entry: 0,
                outcome: *outcome,
            });
        self.records.push(Record {
            stream,
            key: None,
            due_us: SECOND,
            lag_us: 10,
            took_us: 20_000,
            attempts: attempts.collect(),
            is_complete: true,
            is_replayed: false,
        });
        self.records.last_mut().expect("an entry")
    }

    fn run(&mut self, request: &str, start_us: u64) -> &mut Run {
        self.runs.push(Run {
            target: Arc::from("t1"),
            request: Arc::from(request),
            key: None,
            kind: Arc::from("/"),
            start_us,
            end_us: start_us + 1000,
            outcome: RunOutcome::Done,
            in_flight_at_start: 1,
            cold: false,
        });
        self.runs.last_mut().expect("an entry")
    }

    fn event(&mut self, at_us: u64, kind: Kind) {
        self.events.push(Event { at_us, kind });
    }

    fn summary(&self) -> Summary {
        Summary::new(&Input {
            streams: &self.streams,
            records: &self.records,
            runs: &self.runs,
            violations: &self.violations,
            events: &self.events,
            domains: &[(Arc::from("t1"), Arc::from("d1"))],
        })
    }
}

/// Guards against false violations and wrong counts for a run without faults.
#[test]
fn clean_run() {
    let mut case = Case::new();
    let booking = case.booking();
    case.record(FIT_CHECK, &[Outcome::Answer(200)]);
    case.record(booking, &[Outcome::Answer(200)]);
    case.record(booking, &[Outcome::NotRun(503)]);
    case.run("r0", SECOND);
    case.run("r1", SECOND);
    let summary = case.summary();
    assert_eq!(summary.breaches.total(), 0);
    assert_eq!(
        (summary.all.sent, summary.all.answered, summary.all.refused),
        (3, 2, 1)
    );
    let weight = case.streams[booking].weight;
    let fit_check = case.streams[FIT_CHECK].weight;
    let goodput = f64::from(fit_check + weight) / f64::from(fit_check + 2 * weight);
    assert!((summary.all.goodput() - goodput).abs() < 1e-9);
    assert!((19.9..20.1).contains(&summary.all.latency.p50));
}

/// Guards against outcomes counted in the wrong class.
#[test]
fn each_class() {
    let mut case = Case::new();
    let booking = case.booking();
    let mut class = |stream: usize, outcomes: &[Outcome], took_us: u64, is_complete: bool| {
        let record = case.record(stream, outcomes);
        record.took_us = took_us;
        record.is_complete = is_complete;
        let record = record.clone();
        classify(&record, &case.streams[stream])
    };
    assert_eq!(
        class(FIT_CHECK, &[Outcome::Answer(200)], 300_000, true),
        Class::Late
    );
    assert_eq!(
        class(FIT_CHECK, &[Outcome::Answer(200)], 1000, false),
        Class::Foreign
    );
    assert_eq!(
        class(FIT_CHECK, &[Outcome::Answer(500)], 1000, true),
        Class::Failed
    );
    assert_eq!(
        class(FIT_CHECK, &[Outcome::Unknown(504)], 1000, true),
        Class::Late
    );
    assert_eq!(
        class(FIT_CHECK, &[Outcome::Unknown(502)], 1000, true),
        Class::Lost
    );
    assert_eq!(
        class(FIT_CHECK, &[Outcome::Silent], 1000, true),
        Class::Lost
    );
    assert_eq!(
        class(
            FIT_CHECK,
            &[Outcome::Broken, Outcome::NotRun(503)],
            1000,
            true
        ),
        Class::Refused
    );
    assert_eq!(
        class(booking, &[Outcome::Unknown(502)], 1000, true),
        Class::Unknown
    );
    assert_eq!(
        class(
            booking,
            &[Outcome::Broken, Outcome::NotRun(503)],
            1000,
            true
        ),
        Class::Unknown
    );
    assert_eq!(
        class(booking, &[Outcome::Unreachable], 1000, true),
        Class::Refused
    );
}

/// Guards against duplicate runs that are missed, by request id or by key.
#[test]
fn duplicate_runs() {
    let mut case = Case::new();
    let booking = case.booking();
    case.record(booking, &[Outcome::Answer(200)]);
    case.record(booking, &[Outcome::Unknown(502), Outcome::Answer(200)])
        .key = Some(Arc::from("k"));
    case.record(FIT_CHECK, &[Outcome::Answer(200)]);
    for request in ["r0", "r0", "r2", "r2"] {
        case.run(request, SECOND);
    }
    assert_eq!(case.summary().breaches.doubled.count, 1);
    for request in ["r1", "r1~1"] {
        case.run(request, SECOND).key = Some(Arc::from("k"));
    }
    assert_eq!(case.summary().breaches.doubled.count, 2);
}

/// Guards against an undetected false "not run", also if the run was cancelled before its end.
#[test]
fn false_not_run() {
    let mut case = Case::new();
    let booking = case.booking();
    case.record(booking, &[Outcome::NotRun(503)]);
    case.run("r0", SECOND).outcome = RunOutcome::Cancelled;
    assert_eq!(case.summary().breaches.false_not_run.count, 1);
}

/// Guards against lost requests and foreign responses that are not counted as violations.
#[test]
fn lost_and_foreign() {
    let mut case = Case::new();
    case.record(
        FIT_CHECK,
        &[Outcome::Broken, Outcome::Broken, Outcome::Broken],
    );
    case.record(FIT_CHECK, &[Outcome::Answer(200)]).is_complete = false;
    let breaches = case.summary().breaches;
    assert_eq!((breaches.lost.count, breaches.foreign.count), (1, 1));
}

/// Guards against missed runs in a domain that is out, and against a grace period that is ignored.
#[test]
fn domain_out() {
    let mut case = Case::new();
    case.event(10 * SECOND, Kind::DomainOut(Arc::from("d1")));
    case.event(20 * SECOND, Kind::DomainIn(Arc::from("d1")));
    for at in [9, 13, 15, 21] {
        case.run("x", at * SECOND);
    }
    let summary = case.summary();
    assert_eq!(summary.breaches.domain_out.count, 1);
    assert_eq!(summary.latest_after_out_ms, Some(5000.0));
}

/// Guards against missed runs on a leaving target, and against a grace period that is ignored.
#[test]
fn leaving_target() {
    let mut case = Case::new();
    case.event(10 * SECOND, Kind::Leaving(Arc::from("t1")));
    for at in [9, 11, 13] {
        case.run("x", at * SECOND);
    }
    let summary = case.summary();
    assert_eq!(summary.breaches.leaving.count, 1);
    assert_eq!(summary.latest_after_leaving_ms, Some(3000.0));
}

/// Guards against counting a target as leaving after its daemon was restarted.
#[test]
fn restarted_target() {
    let mut case = Case::new();
    case.event(10 * SECOND, Kind::Leaving(Arc::from("t1")));
    let restarted = Kind::Restarted {
        old: Arc::from("t1"),
        new: Arc::from("t1-1"),
        target: Arc::from("t1"),
    };
    case.event(13 * SECOND, restarted);
    for at in [11, 14, 20] {
        case.run("x", at * SECOND);
    }
    assert_eq!(case.summary().breaches.leaving.count, 0);
}

/// Guards against violations reported by the targets that are missing in the summary.
#[test]
fn target_limits() {
    let mut case = Case::new();
    case.violations.push(Violation {
        target: Arc::from("t1"),
        over_slots: 2,
        over_cold: 3,
        while_draining: 0,
        latest_after_drain_us: 0,
        over_connections: 4,
    });
    let breaches = case.summary().breaches;
    assert_eq!(breaches.over_slots.count, 2);
    assert_eq!(breaches.over_cold.count, 3);
    assert_eq!(breaches.over_connections.count, 4);
}
