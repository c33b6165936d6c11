//! `demo`: load on Caroni's deployment of today while a failure domain is taken out and brought
//! back.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;

use crate::client::{Generator, Settings};
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::plan::{Plan, Stream};
use crate::{table, trial};

/// Load as a fraction of the capacity; with one of four domains out it is two thirds of the
/// remaining capacity.
const LOAD_FRACTION: f64 = 0.5;

/// Fraction of the non-idempotent requests that carry a key.
const KEYED_FRACTION: f64 = 0.5;

/// Duration of the load.
const DURATION: Duration = Duration::from_secs(16);
/// Times from the start of the load at which a domain is taken out and brought back.
const OUT_AT: Duration = Duration::from_secs(4);
const IN_AT: Duration = Duration::from_secs(11);
/// Seed of the arrivals.
const SEED: u64 = 20_261_204;

/// Runs the demo.
pub async fn run() -> anyhow::Result<ExitCode> {
    let deployment = Deployment::builtin("caroni")?;
    println!("starting 14 targets and their daemons in four failure domains");
    let mut fleet = Fleet::start(deployment).await?;
    let streams = Stream::for_deployment(&fleet.deployment, LOAD_FRACTION, KEYED_FRACTION);
    let rate: f64 = streams.iter().map(|stream| stream.rate).sum();
    let plan = Plan::generate(streams, DURATION, &[], SEED);
    let mut generator =
        Generator::connect(Settings::new("demo"), &fleet.caller_addresses()).await?;
    println!("warming up");
    trial::warm_up(&mut fleet, &mut generator).await?;
    fleet.wait_for_key_ownership().await;
    generator.set_prefix("demo");
    println!("sending {rate:.0} calls/s for {} s", DURATION.as_secs());
    let trial = trial::run(&mut fleet, &generator, &plan, cycle_domain).await?;
    let summary = trial.summary;
    drop(generator);
    let killed = fleet.stop();
    println!("\n{}", table::summary(&summary));
    println!(
        "{} requests, {} runs at the targets",
        trial.records.len(),
        summary.runs
    );
    if !killed.is_empty() {
        println!("daemons killed because they did not stop in time: {killed:?}");
    }
    if summary.breaches.total() > 0 {
        println!("verdict: failed");
        return Ok(ExitCode::FAILURE);
    }
    println!("verdict: passed");
    Ok(ExitCode::SUCCESS)
}

/// Takes the first failure domain out at `OUT_AT` and brings it back at `IN_AT`.
async fn cycle_domain(fleet: &mut Fleet) -> anyhow::Result<()> {
    let domains = fleet.deployment.domains();
    let domain = domains
        .first()
        .context("the configuration has no failure domain")?
        .clone();
    tokio::time::sleep(OUT_AT).await;
    println!("  {:>2} s: domain {domain} is taken out", OUT_AT.as_secs());
    fleet.take_domain_out(&domain).await?;
    tokio::time::sleep(IN_AT - OUT_AT).await;
    println!(
        "  {:>2} s: domain {domain} is brought back",
        IN_AT.as_secs()
    );
    fleet.bring_domain_back(&domain).await
}
