//! Limits of the quick run, checked on fixed values.

use basilbay_load::audit::row::Latency;
use basilbay_load::compare::{Comparison, IDEAL, Series};
use basilbay_load::quick::ratio_checks;

fn comparison(basilbay_p99: f64) -> Comparison {
    let p99_ms = [
        (IDEAL, 10.0),
        ("round-robin", 30.0),
        ("two-choices", 20.0),
        ("basilbay", basilbay_p99),
    ];
    let series = p99_ms.map(|(name, p99)| {
        let mut series = Series::new(name);
        series.rounds.push(Latency {
            p99,
            ..Latency::default()
        });
        series
    });
    Comparison {
        series: series.to_vec(),
        rate: 1.0,
    }
}

fn holds(comparison: &Comparison) -> Vec<bool> {
    let checks = ratio_checks(comparison);
    checks.iter().map(|check| check.holds).collect()
}

/// Guards against limits that differ from the goals, and against a missing series that passes.
#[test]
fn ratio_limits() {
    assert_eq!(holds(&comparison(13.0)), [true, true, true]);
    assert_eq!(holds(&comparison(13.1)), [true, true, false]);
    assert_eq!(holds(&comparison(15.9)), [false, true, false]);
    assert_eq!(holds(&comparison(16.1)), [false, false, false]);
    let mut missing = comparison(13.0);
    missing.series.pop();
    assert_eq!(holds(&missing), [false, false, false]);
}
