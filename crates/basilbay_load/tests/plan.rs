//! Generated arrivals: number, spacing and reproducibility.

use std::time::Duration;

use basilbay_load::deployment::Deployment;
use basilbay_load::plan::{Plan, Step, Stream};

fn one_stream(rate: f64) -> Vec<Stream> {
    let deployment = Deployment::builtin("caroni").expect("a built-in deployment");
    let mut streams = Stream::for_deployment(&deployment, 1.0, 0.5);
    streams.truncate(1);
    streams[0].rate = rate;
    streams
}

/// Guards against arrivals that are not a Poisson process: evenly spaced ones would hide queueing.
#[test]
fn poisson_arrivals() {
    let plan = Plan::generate(one_stream(1000.0), Duration::from_secs(20), &[], 7);
    let count = plan.arrivals.len() as f64;
    assert!((19_500.0..20_500.0).contains(&count), "{count}");
    let gaps: Vec<f64> = plan
        .arrivals
        .windows(2)
        .map(|pair| (pair[1].at - pair[0].at).as_secs_f64())
        .collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let square = gaps.iter().map(|gap| (gap - mean).powi(2));
    let deviation = (square.sum::<f64>() / gaps.len() as f64).sqrt();
    let ratio = deviation / mean;
    assert!((0.97..1.03).contains(&ratio), "{ratio}");
}

/// Guards against plans that differ for the same seed, or are equal for different seeds.
#[test]
fn repeatable_seed() {
    let arrivals =
        |seed| Plan::generate(one_stream(500.0), Duration::from_secs(1), &[], seed).arrivals;
    assert_eq!(arrivals(1), arrivals(1));
    assert_ne!(arrivals(1), arrivals(2));
}

/// Guards against load steps that are smoothed over their neighbours.
#[test]
fn step_changes() {
    let steps = [
        Step {
            for_ms: 10.0,
            factor: 0.0,
        },
        Step {
            for_ms: 10.0,
            factor: 2.0,
        },
    ];
    let plan = Plan::generate(one_stream(1000.0), Duration::from_secs(5), &steps, 3);
    let at_zero_rate = plan
        .arrivals
        .iter()
        .filter(|arrival| arrival.at.as_micros() % 20_000 < 10_000);
    assert_eq!(at_zero_rate.count(), 0);
    assert!((4_700..5_300).contains(&plan.arrivals.len()));
}

/// Guards against a capacity other than targets times slots divided by the mean service time.
#[test]
fn known_capacity() {
    let deployment = Deployment::builtin("caroni").expect("a built-in deployment");
    let mean = 0.050 * (0.4_f64 * 0.4 / 2.0).exp();
    let expected = 6.0 * 18.0 / mean;
    assert!((deployment.capacity("fitfinder") - expected).abs() < 1e-6);
    let half = deployment.with_slots(9).expect("a valid deployment");
    assert!((half.capacity("fitfinder") - expected / 2.0).abs() < 1e-6);
}
