//! `report`: an HTML page with plots of the policies under noise, and of a failure domain that is
//! taken out and brought back.
//!
//! [`points`] converts records and runs to points, [`plot`] draws them as SVG, and [`page`]
//! combines plots and tables. None of these three needs a running fleet.

pub mod page;
pub mod plot;
pub mod points;

use std::path::Path;
use std::sync::Arc;

use anyhow::Context;

use crate::compare::{self, Experiment, POLICIES};
use crate::quick;
use crate::scenario::Scenario;
use page::Page;
use points::Timeline;

/// Result of writing a report.
pub type Result<T> = anyhow::Result<T>;

/// File name of the page.
pub const PAGE_FILE: &str = "report.html";

/// Slots in the domain scenario; half of Caroni's, so that it needs fewer calls.
const SLOTS_PER_TARGET: u32 = 9;

/// Duration of the load of each policy; all five and the domain scenario must fit into two minutes.
const COMPARE_SECONDS: f64 = 6.0;

/// Runs the scenarios, writes the page and its plots, and returns the number of violations.
pub async fn run(deployment: &str, folder: &Path) -> Result<u64> {
    std::fs::create_dir_all(folder)
        .with_context(|| format!("cannot create {}", folder.display()))?;
    let timeline = run_domain_scenario(deployment).await?;
    let mut noisy = Scenario::find("noisy")?;
    noisy.deployment = Arc::from(deployment);
    noisy.seconds = COMPARE_SECONDS;
    let experiment = Experiment {
        noise: quick::first_noise(&noisy),
        scenario: noisy,
        policies: POLICIES.to_vec(),
        rounds: 1,
    };
    eprintln!("comparing policies");
    let comparison = compare::run(&experiment).await?;
    let page = Page::new(deployment, &comparison, &timeline)?;
    for (name, svg) in &page.plots {
        write(&folder.join(name), svg)?;
    }
    write(&folder.join(PAGE_FILE), &page.html)?;
    let policies = comparison.series.iter().map(|series| series.violations);
    Ok(policies.sum::<u64>() + timeline.summary.breaches.total())
}

fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
}

/// Runs the scenario in which a failure domain is taken out and brought back.
async fn run_domain_scenario(deployment: &str) -> Result<Timeline> {
    let name = match deployment {
        "ozolini" => "domain-ozolini",
        _ => "domain",
    };
    let mut scenario = Scenario::find(name)?;
    scenario.slots = Some(SLOTS_PER_TARGET);
    eprintln!("scenario {name}: {} s", scenario.seconds);
    let (mut fleet, mut generator) = scenario.prepare(None).await?;
    let plan = scenario.plan(&fleet.deployment, 0)?;
    let (trial, _) = scenario.run_on(&mut fleet, &mut generator, 0).await?;
    let members = fleet.members.iter();
    let domains = members.map(|member| (member.target.clone(), member.domain.clone()));
    let timeline = Timeline {
        streams: plan.streams,
        seconds: scenario.seconds,
        records: trial.records,
        runs: trial.runs,
        events: trial.events,
        summary: trial.summary,
        domains: domains.collect(),
    };
    drop(generator);
    fleet.stop();
    Ok(timeline)
}
