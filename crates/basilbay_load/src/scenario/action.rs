//! Actions that a scenario applies to its fleet.

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

/// An action on a fleet; members are given by their index, from 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Takes a failure domain out.
    DomainOut(DomainId),
    /// Brings a failure domain back.
    DomainIn(DomainId),
    /// Changes the behaviour of all targets.
    Targets(Change),
    /// Changes the behaviour of one target.
    Target(usize, Change),
    /// Sets the faults of the platform.
    Platform(Faults),
    /// Sets keys of the configuration, given as section, key and value.
    Config(Vec<(String, String, String)>),
    /// Marks a member as leaving in the instance list while its target drains.
    Leave(usize),
    /// Asks a daemon to stop (SIGTERM).
    Terminate(usize),
    /// Kills a daemon (SIGKILL).
    Kill(usize),
    /// Replaces a daemon with one that has a new id.
    Restart(usize),
    /// Pauses a daemon (SIGSTOP).
    Pause(usize),
    /// Resumes a daemon (SIGCONT).
    Resume(usize),
    /// Sets the faults of the network path to a daemon from all other daemons.
    Path(usize, proxy::fault::Faults),
}

/// Applies the actions of all events at their times.
pub async fn run_all(fleet: &mut Fleet, events: &[Event]) -> Result<()> {
    let start = Instant::now();
    let mut events: Vec<&Event> = events.iter().collect();
    events.sort_by_key(|event| event.at_ms);
    for event in events {
        tokio::time::sleep_until(start + Duration::from_millis(event.at_ms)).await;
        apply(fleet, &event.action)
            .await
            .with_context(|| format!("event at {} ms", event.at_ms))?;
    }
    Ok(())
}

/// Applies one action.
pub async fn apply(fleet: &mut Fleet, action: &Action) -> Result<()> {
    if let Some(index) = member_index(action) {
        let count = fleet.members.len();
        anyhow::ensure!(index < count, "no member {index}; there are {count}");
    }
    match action {
        Action::DomainOut(domain) => fleet.take_domain_out(domain).await?,
        Action::DomainIn(domain) => fleet.bring_domain_back(domain).await?,
        Action::Targets(change) => fleet.change_targets(change).await?,
        Action::Target(index, change) => fleet.change_target(*index, change).await?,
        Action::Platform(faults) => fleet.set_platform_faults(faults).await?,
        Action::Config(changes) => {
            let changes: Vec<_> = changes
                .iter()
                .map(|(section, key, value)| (&**section, &**key, &**value))
                .collect();
            fleet.update_config(&changes).await?;
        }
        Action::Leave(index) => {
            fleet.mark_leaving(*index).await?;
            let change = Change {
                drain: Some(true),
                ..Change::default()
            };
            fleet.change_target(*index, &change).await?;
        }
        Action::Terminate(index) => fleet.terminate(*index),
        Action::Kill(index) => fleet.kill(*index),
        Action::Restart(index) => fleet.restart(*index).await?,
        Action::Pause(index) => fleet.pause(*index),
        Action::Resume(index) => fleet.resume(*index),
        Action::Path(index, faults) => fleet.set_path_faults(*index, *faults).await?,
    }
    Ok(())
}

fn member_index(action: &Action) -> Option<usize> {
    match action {
        Action::Target(index, _)
        | Action::Path(index, _)
        | Action::Leave(index)
        | Action::Terminate(index)
        | Action::Kill(index)
        | Action::Restart(index)
        | Action::Pause(index)
        | Action::Resume(index) => Some(*index),
        _ => None,
    }
}
