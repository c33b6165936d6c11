//! `compare`: compares the load balancing policies on one fleet, interleaved over several rounds.
//!
//! All policies of a round get the same arrivals. A policy is switched by publishing the
//! configuration, so everything else stays the same. The bound of an ideal queue is calculated for
//! the same arrivals as a reference.

use std::time::Duration;

use basilbay_fakes::targets::fault::{Change, Noise};
use serde::{Deserialize, Serialize};

use crate::audit::classify;
use crate::audit::row::{Class, Latency};
use crate::client::record::Record;
use crate::client::{Generator, Settings};
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::{ideal, table, trial};

/// Result of a comparison.
pub type Result<T> = anyhow::Result<T>;

/// All policies, baselines first.
pub const POLICIES: [&str; 5] = [
    "round-robin",
    "random",
    "least-in-flight",
    "two-choices",
    "basilbay",
];

/// Name of the ideal queue's series.
pub const IDEAL: &str = "ideal queue";

/// Column headers; "of ideal" is the p99 as a multiple of the ideal queue's.
pub const HEADER: [&str; 9] = [
    "policy",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "p99 spread",
    "of ideal",
    "p99.9 ms",
    "weighted",
    "violations",
];

/// Wait between publishing a policy and the start of the load, for it to reach all daemons.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);

/// Setup of a comparison.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Scenario with load and deployment; its events are ignored.
    pub scenario: Scenario,
    /// Noise of the targets; `None` for none.
    pub noise: Option<Noise>,
    /// Policies to compare.
    pub policies: Vec<&'static str>,
    /// Number of rounds.
    pub rounds: u64,
}

/// Results of one policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Name of the policy, or of the ideal queue.
    pub policy: String,
    /// Latencies of each round.
    pub rounds: Vec<Latency>,
    /// Weighted goodput of each round.
    pub goodput: Vec<f64>,
    /// Number of violations in all rounds.
    pub violations: u64,
    /// Highest p99 of the sending lag over the rounds, in us.
    pub lag_p99_us: u64,
    /// Latencies of all rounds in ms, refused requests excluded; not serialized.
    #[serde(skip)]
    pub samples: Vec<f64>,
}

impl Series {
    /// Creates a series without rounds.
    pub fn new(policy: &str) -> Self {
        Self {
            policy: policy.to_owned(),
            rounds: Vec::new(),
            goodput: Vec::new(),
            violations: 0,
            lag_p99_us: 0,
            samples: Vec::new(),
        }
    }

    /// Median of one metric over the rounds, the upper one for an even number; 0 without rounds.
    pub fn median(&self, metric: impl Fn(&Latency) -> f64) -> f64 {
        let mut values: Vec<f64> = self.rounds.iter().map(metric).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    }
}

/// Result of a comparison.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Comparison {
    /// Series of the ideal queue, then of the policies.
    pub series: Vec<Series>,
    /// Planned calls per second, in the last round.
    pub rate: f64,
}

impl Comparison {
    /// The series of a policy or of the ideal queue; `None` if it was not measured.
    pub fn series(&self, policy: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.policy == policy)
    }

    /// Ratio of basilbay's median p99 to that of another series; `None` if either is missing.
    pub fn p99_ratio(&self, other: &str) -> Option<f64> {
        let basilbay = self.series("basilbay")?.median(|latency| latency.p99);
        let other = self.series(other)?.median(|latency| latency.p99);
        Some(basilbay / other)
    }

    /// Ratio of a policy's median p99 to that of the ideal queue; `None` if either is missing.
    pub fn ideal_ratio(&self, policy: &str) -> Option<f64> {
        let policy = self.series(policy)?.median(|latency| latency.p99);
        let ideal = self.series(IDEAL)?.median(|latency| latency.p99);
        Some(policy / ideal)
    }

    /// One table row per series; the spread is the range over the rounds.
    pub fn rows(&self) -> Vec<Vec<String>> {
        let series = self.series.iter();
        series
            .map(|series| row(series, self.ideal_ratio(&series.policy)))
            .collect()
    }

    /// Renders the comparison as a text table.
    pub fn table(&self) -> String {
        table::render(&HEADER, &self.rows())
    }
}

fn row(series: &Series, ideal_ratio: Option<f64>) -> Vec<String> {
    let p99 = series.rounds.iter().map(|latency| latency.p99);
    let lowest = p99.clone().fold(f64::INFINITY, f64::min);
    let highest = p99.fold(0.0, f64::max);
    let goodput = series.goodput.iter().sum::<f64>() / series.goodput.len().max(1) as f64;
    vec![
        series.policy.clone(),
        table::ms(series.median(|latency| latency.p50)),
        table::ms(series.median(|latency| latency.p95)),
        table::ms(series.median(|latency| latency.p99)),
        format!("{lowest:.1}-{highest:.1}"),
        format!("{:.2}", ideal_ratio.unwrap_or(f64::NAN)),
        table::ms(series.median(|latency| latency.p999)),
        format!("{:.2}%", goodput * 100.0),
        series.violations.to_string(),
    ]
}

/// Runs a comparison; the order of the policies rotates from round to round.
pub async fn run(experiment: &Experiment) -> Result<Comparison> {
    let deployment = experiment.scenario.deployment(None)?;
    let mut fleet = Fleet::start(deployment.clone()).await?;
    let mut generator =
        Generator::connect(Settings::new("compare"), &fleet.caller_addresses()).await?;
    trial::warm_up(&mut fleet, &mut generator).await?;
    let mut bound = Series::new(IDEAL);
    let mut series: Vec<Series> = experiment
        .policies
        .iter()
        .map(|name| Series::new(name))
        .collect();
    let mut rate = 0.0;
    for round in 0..experiment.rounds {
        let plan = experiment.scenario.plan(&deployment, round)?;
        rate = plan.arrivals.len() as f64 / plan.duration.as_secs_f64();
        let latencies = ideal::bound(&deployment, &plan, round + 1);
        bound.rounds.push(percentiles(&latencies));
        let latencies_ms = latencies
            .iter()
            .map(|latency| latency.as_secs_f64() * 1000.0);
        bound.samples.extend(latencies_ms);
        bound.goodput.push(1.0);
        let count = series.len();
        for turn in 0..count {
            let series = &mut series[(turn + round as usize) % count];
            publish_policy(&mut fleet, &series.policy).await?;
            reset_targets(&fleet, experiment.noise).await?;
            tokio::time::sleep(PROPAGATION_TIME).await;
            generator.set_prefix(&format!("{}-{round}", series.policy));
            let trial =
                trial::run(&mut fleet, &generator, &plan, async |_: &mut Fleet| Ok(())).await?;
            let summary = trial.summary;
            eprintln!(
                "  round {} of {}: {}: p99 {:.1} ms",
                round + 1,
                experiment.rounds,
                series.policy,
                summary.all.latency.p99
            );
            if summary.breaches.total() > 0 {
                eprintln!("{}", table::breaches(&summary));
            }
            series
                .samples
                .extend(latency_samples(&plan, &trial.records));
            series.rounds.push(summary.all.latency);
            series.goodput.push(summary.all.goodput());
            series.violations += summary.breaches.total();
            series.lag_p99_us = series.lag_p99_us.max(summary.lag_us[1]);
        }
    }
    // Kills the fleet: graceful shutdown is not measured here and takes 1.5 s.
    drop(fleet);
    series.insert(0, bound);
    Ok(Comparison { series, rate })
}

/// Latencies in ms of all requests except refused ones.
fn latency_samples(plan: &Plan, records: &[Record]) -> Vec<f64> {
    let counted = records.iter().filter(|record| {
        let class = classify(record, &plan.streams[record.stream]);
        class != Class::Refused
    });
    counted
        .map(|record| record.took_us as f64 / 1000.0)
        .collect()
}

async fn publish_policy(fleet: &mut Fleet, policy: &str) -> Result<()> {
    let groups = fleet.deployment.groups.iter();
    let sections: Vec<String> = groups
        .map(|group| format!("service {}", group.service))
        .collect();
    let changes: Vec<_> = sections
        .iter()
        .map(|section| (&**section, "policy", policy))
        .collect();
    fleet.update_config(&changes).await?;
    Ok(())
}

/// Restarts the noise from each target's seed and resets the state that earlier rounds left.
async fn reset_targets(fleet: &Fleet, noise: Option<Noise>) -> Result<()> {
    let no_noise = Noise {
        factor: 1.0,
        interval_ms: 1.0,
        duration_ms: 1.0,
    };
    let change = Change {
        warm: Some(true),
        noise: Some(noise.unwrap_or(no_noise)),
        ..Change::default()
    };
    fleet.change_targets(&change).await
}

fn percentiles(sorted: &[Duration]) -> Latency {
    let at = |quantile: f64| {
        let index = (sorted.len() as f64 * quantile) as usize;
        let value = sorted.get(index.min(sorted.len().saturating_sub(1)));
        value.copied().unwrap_or_default().as_secs_f64() * 1000.0
    };
    Latency {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        p999: at(0.999),
        max: at(1.0),
    }
}
