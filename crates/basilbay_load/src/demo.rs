//! `demo`: Caroni's sizes of today while a failure domain goes out and comes back.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;

use crate::client::{Crowd, Settings};
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::plan::{Plan, Stream};
use crate::{table, trial};

/// Part of the capacity; with one of four domains out two thirds of the rest are used.
const LOAD: f64 = 0.5;

/// Part of the non-idempotent requests that carry a key.
const KEYED: f64 = 0.5;

const DURATION: Duration = Duration::from_secs(16);
const OUT_AT: Duration = Duration::from_secs(4);
const IN_AT: Duration = Duration::from_secs(11);
const SEED: u64 = 20_261_204;

/// Runs the demo.
pub async fn run() -> anyhow::Result<ExitCode> {
    let deployment = Deployment::named("caroni")?;
    println!("starting 14 targets and their daemons in four failure domains");
    let mut fleet = Fleet::start(deployment).await?;
    let streams = Stream::of(&fleet.deployment, LOAD, KEYED);
    let rate: f64 = streams.iter().map(|stream| stream.rate).sum();
    let plan = Plan::draw(streams, DURATION, &[], SEED);
    let mut crowd = Crowd::connect(Settings::new("demo"), &fleet.entries()).await?;
    println!("warming up");
    trial::warm_up(&mut fleet, &mut crowd).await?;
    fleet.ready_for_keys().await;
    crowd.rename("demo");
    println!("sending {rate:.0} calls/s for {} s", DURATION.as_secs());
    let trial = trial::run(&mut fleet, &crowd, &plan, drive).await?;
    let account = trial.account;
    drop(crowd);
    let killed = fleet.stop();
    println!("\n{}", table::account(&account));
    println!(
        "{} requests, {} runs at the targets",
        trial.records.len(),
        account.runs
    );
    if !killed.is_empty() {
        println!("daemons that did not stop when asked: {killed:?}");
    }
    if account.breaches.total() > 0 {
        println!("verdict: failed");
        return Ok(ExitCode::FAILURE);
    }
    println!("verdict: passed");
    Ok(ExitCode::SUCCESS)
}

async fn drive(fleet: &mut Fleet) -> anyhow::Result<()> {
    let domains = fleet.deployment.domains();
    let domain = domains.first().context("no failure domain")?.clone();
    tokio::time::sleep(OUT_AT).await;
    println!("  {:>2} s: domain {domain} is taken out", OUT_AT.as_secs());
    fleet.domain_out(&domain).await?;
    tokio::time::sleep(IN_AT - OUT_AT).await;
    println!(
        "  {:>2} s: domain {domain} is brought back",
        IN_AT.as_secs()
    );
    fleet.domain_in(&domain).await
}
