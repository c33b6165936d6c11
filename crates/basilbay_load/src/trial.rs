//! One measured stretch of load on a running fleet, while things are done to the fleet.

use std::time::Duration;

use basilbay_fakes::targets::audit::Run;

use crate::audit::{Input, Summary};
use crate::client::Generator;
use crate::client::record::Record;
use crate::fleet::Fleet;
use crate::fleet::event::Event;
use crate::plan::{Plan, Stream};

/// Result of a trial.
pub type Result<T> = anyhow::Result<T>;

/// What a trial brought.
#[derive(Debug)]
pub struct Trial {
    /// Streams of the plan.
    pub streams: Vec<Stream>,
    /// What callers were told.
    pub records: Vec<Record>,
    /// What the targets ran.
    pub runs: Vec<Run>,
    /// What was done to the fleet.
    pub events: Vec<Event>,
    /// The account.
    pub summary: Summary,
}

/// Longest wait for targets to end what their callers gave up.
const ABANDONED_RUN_WAIT: Duration = Duration::from_millis(300);

/// Load of the warm-up, as a part of the capacity.
const WARM_UP_LOAD_FRACTION: f64 = 0.85;

/// Length of a round of the warm-up, and how many there are at most.
const WARM_UP_ROUND: Duration = Duration::from_secs(1);
const MAX_WARM_UP_ROUNDS: u64 = 10;

/// The warm-up ends when less than one request in this many is refused.
const WARM_UP_REFUSED_DIVISOR: u64 = 100;

/// Sends a plan while `drive` changes the fleet, and draws up the account.
pub async fn run<F>(
    fleet: &mut Fleet,
    generator: &Generator,
    plan: &Plan,
    apply_events: F,
) -> Result<Trial>
where
    F: AsyncFnOnce(&mut Fleet) -> Result<()>,
{
    fleet.clear_runs().await?;
    let (records, applied) = tokio::join!(generator.run(plan), apply_events(fleet));
    applied?;
    let records = records?;
    if records.iter().any(|record| record.attempts.len() > 1) {
        tokio::time::sleep(ABANDONED_RUN_WAIT).await;
    }
    let runs = fleet.runs().await?;
    let summary = summarize(fleet, plan, &records, &runs).await?;
    Ok(Trial {
        streams: plan.streams.clone(),
        records,
        runs,
        events: fleet.events.clone(),
        summary,
    })
}

/// Sends discarded load until the daemons refuse almost nothing: after its start a daemon hands
/// little to its target and, with each answer, a little more.
pub async fn warm_up(fleet: &mut Fleet, generator: &mut Generator) -> Result<()> {
    for round in 0..MAX_WARM_UP_ROUNDS {
        let streams = Stream::for_deployment(&fleet.deployment, WARM_UP_LOAD_FRACTION, 0.0);
        let plan = Plan::generate(streams, WARM_UP_ROUND, &[], round);
        generator.rename(&format!("warm-up-{round}"));
        let summary = run(fleet, generator, &plan, async |_: &mut Fleet| Ok(()))
            .await?
            .summary;
        if summary.all.refused * WARM_UP_REFUSED_DIVISOR < summary.all.sent {
            break;
        }
    }
    Ok(())
}

/// Draws up the account.
async fn summarize(
    fleet: &Fleet,
    plan: &Plan,
    records: &[Record],
    runs: &[Run],
) -> Result<Summary> {
    let violations = fleet.violations().await?;
    let members = fleet.members.iter();
    let domains: Vec<_> = members
        .map(|member| (member.target.clone(), member.domain.clone()))
        .collect();
    Ok(Summary::new(&Input {
        streams: &plan.streams,
        records,
        runs,
        violations: &violations,
        events: &fleet.events,
        domains: &domains,
    }))
}
