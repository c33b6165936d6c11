//! Report page and plots from fixed data.

use std::sync::Arc;

use basilbay_fakes::targets::audit::{Outcome as RunOutcome, Run};
use basilbay_load::audit::row::Latency;
use basilbay_load::audit::{Input, Summary};
use basilbay_load::client::record::{Attempt, Outcome, Record};
use basilbay_load::compare::{Comparison, IDEAL, POLICIES, Series};
use basilbay_load::deployment::Deployment;
use basilbay_load::fleet::event::{Event, Kind};
use basilbay_load::plan::Stream;
use basilbay_load::report::page::Page;
use basilbay_load::report::points::{self, Timeline};

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

fn comparison() -> Comparison {
    let names = std::iter::once(IDEAL).chain(POLICIES);
    let series = (1..).zip(names).map(|(factor, name)| {
        let mut series = Series::new(name);
        series.samples = (1..=1000).map(|value| f64::from(value * factor)).collect();
        series.goodput.push(1.0);
        series.rounds.push(Latency {
            p99: 10.0 * f64::from(factor),
            ..Latency::default()
        });
        series
    });
    Comparison {
        series: series.collect(),
        rate: 1000.0,
    }
}

fn record(number: u64, outcome: Outcome) -> Record {
    Record {
        stream: 0,
        key: None,
        due_us: SECOND + number * 100_000,
        lag_us: 0,
        took_us: 10_000 * (number + 1),
        attempts: vec![Attempt {
            id: Arc::from(format!("r{number}")),
            entry: 0,
            outcome,
        }],
        is_complete: true,
        is_replayed: false,
    }
}

/// Four requests within 0.4 s, the last one refused, and a domain that is out from 0.1 to 0.3 s.
fn timeline() -> Timeline {
    let streams = Stream::for_deployment(
        &Deployment::builtin("caroni").expect("a built-in deployment"),
        0.5,
        0.0,
    );
    let mut records: Vec<Record> = (0..3)
        .map(|number| record(number, Outcome::Answer(200)))
        .collect();
    records.push(record(3, Outcome::NotRun(503)));
    let runs = vec![Run {
        target: Arc::from("t1"),
        request: Arc::from("r0"),
        key: None,
        kind: Arc::from("/"),
        start_us: SECOND,
        end_us: SECOND + 125_000,
        outcome: RunOutcome::Done,
        in_flight_at_start: 1,
        cold: false,
    }];
    let event = |at_us, kind| Event { at_us, kind };
    let events = vec![
        event(SECOND + 100_000, Kind::DomainOut(Arc::from("d<1>"))),
        event(SECOND + 300_000, Kind::DomainIn(Arc::from("d<1>"))),
    ];
    let domains = vec![
        (Arc::from("t1"), Arc::from("d<1>")),
        (Arc::from("t2"), Arc::from("d2")),
    ];
    let summary = Summary::new(&Input {
        streams: &streams,
        records: &records,
        runs: &runs,
        violations: &[],
        events: &events,
        domains: &domains,
    });
    Timeline {
        streams,
        seconds: 0.5,
        records,
        runs,
        events,
        summary,
        domains,
    }
}

/// Whether all tags are closed in order and no text contains an unescaped angle bracket.
fn is_well_formed(svg: &str) -> bool {
    let mut open = Vec::new();
    for part in svg.split('<').skip(1) {
        let Some((tag, text)) = part.split_once('>') else {
            return false;
        };
        if text.contains('>') {
            return false;
        }
        let name = tag.split_whitespace().next().unwrap_or_default();
        if let Some(name) = name.strip_prefix('/') {
            if open.pop() != Some(name) {
                return false;
            }
        } else if !tag.ends_with('/') {
            open.push(name);
        }
    }
    open.is_empty()
}

/// Guards against malformed SVG, missing series and missing tick labels.
#[test]
fn complete_plots() {
    let page = Page::new("caroni", &comparison(), &timeline()).expect("a report page");
    assert_eq!(page.plots.len(), 4);
    for (name, svg) in &page.plots {
        assert!(svg.starts_with("<svg"), "{name}");
        assert!(is_well_formed(svg), "{name}: {svg}");
        assert!(page.html.contains(svg), "{name}");
    }
    let policies = &page.plots[0].1;
    for name in std::iter::once(IDEAL).chain(POLICIES) {
        assert!(policies.contains(&format!("\n{name}\n")), "{name}");
    }
    for share in ["50%", "90%", "99%", "99.9%", "99.99%"] {
        assert!(policies.contains(&format!("\n{share}\n")), "{share}");
    }
}

/// Guards against requests counted in the wrong interval, and refused requests among the latencies.
#[test]
fn interval_stats() {
    let timeline = timeline();
    let intervals = timeline.interval_stats();
    assert_eq!(intervals.len(), 2);
    assert_eq!((intervals[0].0, intervals[0].1.count), (0.125, 3));
    assert_eq!((intervals[0].1.p50, intervals[0].1.p99), (20.0, 30.0));
    assert_eq!(intervals[0].1.goodput, 1.0);
    assert_eq!((intervals[1].1.count, intervals[1].1.goodput), (0, 0.0));
    assert_eq!(
        timeline.in_flight_points("t1"),
        [(0.125, 0.5), (0.375, 0.0)]
    );
    assert_eq!(
        timeline.in_flight_points("t2"),
        [(0.125, 0.0), (0.375, 0.0)]
    );
}

/// Guards against gaps between phases, and markers that are not at the time of their event.
#[test]
fn phase_ranges() {
    let phases = timeline().phases();
    let times = phases.iter().map(|(_, time)| (time.start, time.end));
    let times: Vec<_> = times.collect();
    assert_eq!(times, [(0.0, 0.1), (0.1, 0.3), (0.3, 0.5)]);
    assert_eq!(phases[1].0, "d<1> out");
}

/// Guards against distributions that continue beyond their last sample.
#[test]
fn distribution_range() {
    let samples: Vec<f64> = (0..1000).map(f64::from).collect();
    let points = points::distribution(&samples);
    let first = points.first().expect("a point");
    let last = points.last().expect("a point");
    assert!((first.0 - points::nines(0.5)).abs() < 1e-9);
    assert_eq!(first.1, 500.0);
    assert!((last.0 - 3.0).abs() < 1e-9);
    assert_eq!(last.1, 999.0);
}

/// Guards against a ratio to the ideal queue that is inverted or taken from another series.
#[test]
fn ideal_ratio() {
    let comparison = comparison();
    assert_eq!(comparison.ideal_ratio(IDEAL), Some(1.0));
    assert_eq!(comparison.ideal_ratio("round-robin"), Some(2.0));
    assert_eq!(comparison.ideal_ratio("basilbay"), Some(6.0));
}
