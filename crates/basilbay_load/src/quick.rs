//! `quick`: checks the main goals in under 50 seconds, with one verdict.
//!
//! Runs shortened scenarios on one fleet, compares three policies and measures the added latency.

use std::time::{Duration, Instant};

use basilbay_fakes::targets::fault::Noise;
use serde::{Deserialize, Serialize};

use crate::client::Generator;
use crate::compare::{self, Comparison, Experiment};
use crate::fleet::Fleet;
use crate::latency;
use crate::scenario::Scenario;
use crate::scenario::action::Action;
use crate::scenario::verdict::Check;
use crate::table;

/// Result of the quick run.
pub type Result<T> = anyhow::Result<T>;

/// Maximum ratio of basilbay's p99 to that of round robin (design, section 7).
const MAX_ROUND_ROBIN_RATIO: f64 = 0.5;

/// Maximum ratio of basilbay's p99 to that of plain two choices (design, section 7).
const MAX_TWO_CHOICES_RATIO: f64 = 0.8;

/// Maximum ratio of basilbay's p99 to that of one ideal central queue; the goal is 1.3 times this
/// bound.
const MAX_IDEAL_RATIO: f64 = 1.3;

/// Time limit of all measurements, so that the verdict is printed within 50 seconds.
const TIMEOUT: Duration = Duration::from_secs(48);

/// Maximum increase of the p99 through basilbay (design, section 7).
const MAX_ADDED_P99_MS: f64 = 0.3;

/// Half of Caroni's slots, so that the same relative load needs fewer calls.
const SLOTS_PER_TARGET: u32 = 9;

/// Measurements and checks of a quick run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Checked limits.
    pub checks: Vec<Check>,
    /// Comparison of the policies; `None` if the time limit was reached before its end.
    pub comparison: Option<Comparison>,
    /// Added latency; `None` if the time limit was reached before its end.
    pub latency: Option<latency::Report>,
    /// Duration of the run, in seconds.
    pub seconds: f64,
}

impl Report {
    /// Whether all limits hold.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }

    /// Renders the result as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Some(comparison) = &self.comparison {
            text.push_str(&format!("{}\n\n", comparison.table()));
        }
        if let Some(latency) = &self.latency {
            text.push_str(&format!("{}\n\n", latency.table()));
        }
        for check in &self.checks {
            text.push_str(&check.line());
            text.push('\n');
        }
        let verdict = if self.holds() { "passed" } else { "failed" };
        text.push_str(&format!("verdict: {verdict} after {:.0} s", self.seconds));
        text
    }
}

/// First noise setting among the events of a scenario; `None` if there is none.
pub fn first_noise(scenario: &Scenario) -> Option<Noise> {
    scenario
        .events
        .iter()
        .find_map(|event| match &event.action {
            Action::Targets(change) => change.noise,
            _ => None,
        })
}

/// Runs all measurements; reaching the time limit counts as a broken limit.
pub async fn run() -> Result<Report> {
    let start = Instant::now();
    let mut report = Report {
        checks: Vec::new(),
        comparison: None,
        latency: None,
        seconds: 0.0,
    };
    // The time limit drops the fleet in use, which ends all its processes.
    let timed_out = match tokio::time::timeout(TIMEOUT, measure_all(&mut report)).await {
        Ok(done) => done.map(|()| false)?,
        Err(_) => true,
    };
    report.seconds = start.elapsed().as_secs_f64();
    if timed_out {
        let name = "seconds until everything is measured";
        let limit = TIMEOUT.as_secs_f64();
        report.checks.push(Check {
            holds: false,
            ..Check::at_most(name, report.seconds, limit)
        });
    }
    Ok(report)
}

async fn measure_all(report: &mut Report) -> Result<()> {
    eprintln!("starting the fleet and warming up");
    let domain = shorten("domain", 8.0, &[1500, 5000])?;
    let (mut fleet, mut generator) = domain.prepare(None).await?;
    for scenario in [
        domain,
        shorten("overload", 3.0, &[])?,
        shorten("kill", 4.0, &[1000, 2500])?,
    ] {
        run_scenario(&scenario, &mut fleet, &mut generator, &mut report.checks).await?;
    }
    drop(generator);
    // Kills the fleet: graceful shutdown is not measured here and takes 1.5 s.
    drop(fleet);
    eprintln!("comparing policies");
    let comparison = compare::run(&experiment()?).await?;
    report.checks.extend(ratio_checks(&comparison));
    report.comparison = Some(comparison);
    eprintln!("measuring added latency");
    let latency = latency::run(3.0, &[1], false).await?;
    if let Some(pair) = latency.pairs.first() {
        let check = Check::at_most("added p99 in ms", pair.added_p99(), MAX_ADDED_P99_MS);
        report.checks.push(check);
    }
    report.latency = Some(latency);
    Ok(())
}

fn experiment() -> Result<Experiment> {
    let mut noisy = Scenario::find("noisy")?;
    noisy.seconds = 2.5;
    Ok(Experiment {
        noise: first_noise(&noisy),
        scenario: noisy,
        policies: vec!["round-robin", "two-choices", "basilbay"],
        rounds: 1,
    })
}

/// Checks the ratios of basilbay's p99 to those of other policies and of the ideal queue.
pub fn ratio_checks(comparison: &Comparison) -> Vec<Check> {
    let limits = [
        ("round-robin", MAX_ROUND_ROBIN_RATIO),
        ("two-choices", MAX_TWO_CHOICES_RATIO),
        (compare::IDEAL, MAX_IDEAL_RATIO),
    ];
    let checks = limits.map(|(other, limit)| {
        let name = format!("p99 of {other}'s, noisy at 80%");
        Check::at_most(
            &name,
            comparison.p99_ratio(other).unwrap_or(f64::NAN),
            limit,
        )
    });
    checks.to_vec()
}

/// Loads a scenario with another duration and other event times, and with fewer slots, so that it
/// needs fewer calls.
fn shorten(name: &str, seconds: f64, times: &[u64]) -> Result<Scenario> {
    let mut scenario = Scenario::find(name)?;
    scenario.slots = Some(SLOTS_PER_TARGET);
    scenario.seconds = seconds;
    for (event, at_ms) in scenario.events.iter_mut().zip(times) {
        event.at_ms = *at_ms;
    }
    Ok(scenario)
}

async fn run_scenario(
    scenario: &Scenario,
    fleet: &mut Fleet,
    generator: &mut Generator,
    checks: &mut Vec<Check>,
) -> Result<()> {
    let name = &scenario.name;
    eprintln!("scenario {name}: {} s", scenario.seconds);
    let (trial, verdict) = scenario.run_on(fleet, generator, 0).await?;
    eprintln!("{}", table::summary(&trial.summary));
    for mut check in verdict.checks {
        check.name = format!("{name}: {}", check.name);
        checks.push(check);
    }
    Ok(())
}
