//! One measured load run: sends a plan while events are applied to the fleet, then audits the
//! outcomes.

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

/// Records and audit of a trial.
#[derive(Debug)]
pub struct Trial {
    /// Streams of the plan.
    pub streams: Vec<Stream>,
    /// Requests with their outcomes.
    pub records: Vec<Record>,
    /// Run log of the targets.
    pub runs: Vec<Run>,
    /// Events that were applied to the fleet.
    pub events: Vec<Event>,
    /// Result of the audit.
    pub summary: Summary,
}

/// Wait for targets to finish runs that their callers abandoned.
const ABANDONED_RUN_WAIT: Duration = Duration::from_millis(300);

/// Load of the warm-up as a fraction of the capacity.
const WARM_UP_LOAD_FRACTION: f64 = 0.85;

/// Duration of a warm-up round, and the maximum number of such rounds.
const WARM_UP_ROUND: Duration = Duration::from_secs(1);
const MAX_WARM_UP_ROUNDS: u64 = 10;

/// The warm-up ends when fewer than one in this many requests is refused.
const WARM_UP_REFUSED_DIVISOR: u64 = 100;

/// Sends a plan while `apply_events` changes the fleet, and audits the result.
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

/// Sends load whose results are discarded until the daemons refuse almost nothing: after its start
/// a daemon limits the requests to its target and raises the limit with each response.
pub async fn warm_up(fleet: &mut Fleet, generator: &mut Generator) -> Result<()> {
    for round in 0..MAX_WARM_UP_ROUNDS {
        let streams = Stream::for_deployment(&fleet.deployment, WARM_UP_LOAD_FRACTION, 0.0);
        let plan = Plan::generate(streams, WARM_UP_ROUND, &[], round);
        generator.set_prefix(&format!("warm-up-{round}"));
        let summary = run(fleet, generator, &plan, async |_: &mut Fleet| Ok(()))
            .await?
            .summary;
        if summary.all.refused * WARM_UP_REFUSED_DIVISOR < summary.all.sent {
            break;
        }
    }
    Ok(())
}

/// Audits the records against the runs and violations of the targets.
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
