//! `quick`: everything that matters in under 50 seconds, with one verdict.

use std::time::Instant;

use basilbay_fakes::targets::fault::Noise;
use serde::{Deserialize, Serialize};

use crate::client::Crowd;
use crate::compare::{self, Comparison, Contest};
use crate::fleet::Fleet;
use crate::latency;
use crate::scenario::Scenario;
use crate::scenario::act::Act;
use crate::scenario::verdict::Check;
use crate::table;

/// Result of the quick run.
pub type Result<T> = anyhow::Result<T>;

/// Largest part of round robin's p99 (design, section 7).
const OF_ROUND_ROBIN: f64 = 0.5;

/// Largest part of plain two choices' p99 (design, section 7).
const OF_TWO_CHOICES: f64 = 0.8;

/// Largest added p99 in ms (design, section 7).
const ADDED_P99_MS: f64 = 0.3;

/// Slots of a worker; half of Caroni's.
const SLOTS: u32 = 9;

/// Everything that was measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Quick {
    /// Limits.
    pub checks: Vec<Check>,
    /// Policies.
    pub comparison: Comparison,
    /// Added latency.
    pub latency: latency::Report,
    /// Length in seconds.
    pub seconds: f64,
}

impl Quick {
    /// Whether all limits hold.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }

    /// The text for the screen.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{}\n\n{}\n\n",
            self.comparison.table(),
            self.latency.table()
        );
        for check in &self.checks {
            text.push_str(&check.line());
            text.push('\n');
        }
        let verdict = if self.holds() { "passed" } else { "failed" };
        text.push_str(&format!("verdict: {verdict} after {:.0} s", self.seconds));
        text
    }
}

/// The noise of a scenario that makes targets noisy.
pub fn noise(scenario: &Scenario) -> Option<Noise> {
    scenario.events.iter().find_map(|event| match &event.act {
        Act::Targets(change) => change.noise,
        _ => None,
    })
}

/// Runs everything.
pub async fn run() -> Result<Quick> {
    let start = Instant::now();
    let mut checks = Vec::new();
    eprintln!("starting and warming up");
    let domain = shortened("domain", 8.0, &[1500, 5000])?;
    let (mut fleet, mut crowd) = domain.prepare(None).await?;
    for scenario in [
        domain,
        shortened("overload", 3.0, &[])?,
        shortened("kill", 4.0, &[1000, 2500])?,
    ] {
        measure(&scenario, &mut fleet, &mut crowd, &mut checks).await?;
    }
    drop(crowd);
    fleet.stop();
    let mut noisy = Scenario::find("noisy")?;
    noisy.seconds = 2.5;
    let contest = Contest {
        noise: noise(&noisy),
        scenario: noisy,
        policies: vec!["round-robin", "two-choices", "basilbay"],
        rounds: 1,
    };
    eprintln!("policies side by side");
    let comparison = compare::run(&contest).await?;
    for (other, limit) in [
        ("round-robin", OF_ROUND_ROBIN),
        ("two-choices", OF_TWO_CHOICES),
    ] {
        let ratio = comparison.ratio(other).unwrap_or(f64::NAN);
        checks.push(Check::most(
            &format!("p99 of {other}'s, noisy at 80%"),
            ratio,
            limit,
        ));
    }
    eprintln!("added latency");
    let latency = latency::run(3.0, &[1], false).await?;
    if let Some(pair) = latency.pairs.first() {
        let added = pair.added_p99();
        checks.push(Check::most("added p99 in ms", added, ADDED_P99_MS));
    }
    Ok(Quick {
        checks,
        comparison,
        latency,
        seconds: start.elapsed().as_secs_f64(),
    })
}

/// A scenario in a shorter form, on few slots so that it needs fewer calls.
fn shortened(name: &str, seconds: f64, times: &[u64]) -> Result<Scenario> {
    let mut scenario = Scenario::find(name)?;
    scenario.slots = Some(SLOTS);
    scenario.seconds = seconds;
    for (event, at_ms) in scenario.events.iter_mut().zip(times) {
        event.at_ms = *at_ms;
    }
    Ok(scenario)
}

async fn measure(
    scenario: &Scenario,
    fleet: &mut Fleet,
    crowd: &mut Crowd,
    checks: &mut Vec<Check>,
) -> Result<()> {
    let name = &scenario.name;
    eprintln!("scenario {name}: {} s", scenario.seconds);
    let (trial, verdict) = scenario.run_on(fleet, crowd, 0).await?;
    eprintln!("{}", table::account(&trial.account));
    for mut check in verdict.checks {
        check.name = format!("{name}: {}", check.name);
        checks.push(check);
    }
    Ok(())
}
