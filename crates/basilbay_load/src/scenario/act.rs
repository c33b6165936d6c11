//! What a scenario does to its fleet.

use std::time::Duration;

use anyhow::Context;
use basilbay_fakes::platform::fault::Faults;
use basilbay_fakes::proxy;
use basilbay_fakes::targets::fault::Change;
use basilbay_model::id::DomainId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Event, Result};
use crate::fleet::Fleet;

/// One thing that is done; members are named by their number, from 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Act {
    /// Takes a failure domain out.
    DomainOut(DomainId),
    /// Brings a failure domain back.
    DomainIn(DomainId),
    /// Changes all targets.
    Targets(Change),
    /// Changes one target.
    Target(usize, Change),
    /// Sets the faults of the platform.
    Platform(Faults),
    /// Sets keys of the configuration: section, key, value.
    Config(Vec<(String, String, String)>),
    /// Marks a member as leaving in the instance list while its target drains.
    Leave(usize),
    /// Asks a daemon to stop (SIGTERM).
    Terminate(usize),
    /// Kills a daemon (SIGKILL).
    Kill(usize),
    /// Replaces a daemon by one with a new id.
    Restart(usize),
    /// Pauses a daemon (SIGSTOP).
    Pause(usize),
    /// Resumes a daemon (SIGCONT).
    Resume(usize),
    /// Sets the faults of the network path to a daemon from all other daemons.
    Path(usize, proxy::fault::Faults),
}

/// Does everything at its time.
pub async fn drive(fleet: &mut Fleet, events: &[Event]) -> Result<()> {
    let start = Instant::now();
    let mut events: Vec<&Event> = events.iter().collect();
    events.sort_by_key(|event| event.at_ms);
    for event in events {
        tokio::time::sleep_until(start + Duration::from_millis(event.at_ms)).await;
        perform(fleet, &event.act)
            .await
            .with_context(|| format!("at {} ms", event.at_ms))?;
    }
    Ok(())
}

/// Does one thing.
pub async fn perform(fleet: &mut Fleet, act: &Act) -> Result<()> {
    if let Some(index) = member(act) {
        let count = fleet.members.len();
        anyhow::ensure!(index < count, "no member {index}; there are {count}");
    }
    match act {
        Act::DomainOut(domain) => fleet.domain_out(domain).await?,
        Act::DomainIn(domain) => fleet.domain_in(domain).await?,
        Act::Targets(change) => fleet.change_targets(change).await?,
        Act::Target(index, change) => fleet.change_target(*index, change).await?,
        Act::Platform(faults) => fleet.platform_faults(faults).await?,
        Act::Config(changes) => {
            let changes: Vec<_> = changes
                .iter()
                .map(|(section, key, value)| (&**section, &**key, &**value))
                .collect();
            fleet.change(&changes).await?;
        }
        Act::Leave(index) => {
            fleet.list_leaving(*index).await?;
            let change = Change {
                drain: Some(true),
                ..Change::default()
            };
            fleet.change_target(*index, &change).await?;
        }
        Act::Terminate(index) => fleet.terminate(*index),
        Act::Kill(index) => fleet.kill(*index),
        Act::Restart(index) => fleet.restart(*index).await?,
        Act::Pause(index) => fleet.pause(*index),
        Act::Resume(index) => fleet.resume(*index),
        Act::Path(index, faults) => fleet.path_faults(*index, *faults).await?,
    }
    Ok(())
}

fn member(act: &Act) -> Option<usize> {
    match act {
        Act::Target(index, _)
        | Act::Path(index, _)
        | Act::Leave(index)
        | Act::Terminate(index)
        | Act::Kill(index)
        | Act::Restart(index)
        | Act::Pause(index)
        | Act::Resume(index) => Some(*index),
        _ => None,
    }
}
