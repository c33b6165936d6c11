//! The instance list, with timestamps from the list's own clock and a history of past versions.
//!
//! The history serves the lag fault, under which readers get the list of an earlier time.

use std::collections::VecDeque;
use std::net::SocketAddr;

use basilbay_model::id::{DomainId, InstanceId, RegionId, ServiceId, Version};
use basilbay_model::roster::{Instance, Roster, State, Timestamp};
use serde::{Deserialize, Serialize};

/// Result of a change to the list.
pub type Result<T> = std::result::Result<T, Error>;

/// Past versions that are retained for lagging responses; 256 versions of 630 instances take about
/// 40 MB.
const MAX_SNAPSHOTS: usize = 256;

/// Reason why a change to the list was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The instance is not in the list.
    Unknown(InstanceId),
    /// Two entries have the same id.
    Duplicate(InstanceId),
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown(id) => write!(formatter, "instance {id} is not in the list"),
            Self::Duplicate(id) => write!(
                formatter,
                "instance {id} appears more than once in the new list"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// An instance as submitted to the list, without timestamps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Id of this run of the instance.
    pub id: InstanceId,
    /// Service of the instance's target.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Region; empty in a deployment with a single region.
    #[serde(default)]
    pub region: RegionId,
    /// Address for other daemons, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Whether the instance accepts new requests.
    #[serde(default)]
    pub state: State,
    /// Time by which a new entry's `listed_at_ms` is set back; spares tests the wait until an
    /// instance may own keys.
    #[serde(default)]
    pub listed_ago_ms: u64,
}

/// A version of the list and the time from which it applied.
struct Snapshot {
    since_ms: Timestamp,
    roster: Roster,
}

/// The current list and its past versions, oldest first.
#[derive(Default)]
pub(super) struct Store {
    version: Version,
    instances: Vec<Instance>,
    snapshots: VecDeque<Snapshot>,
}

impl Store {
    /// Returns the list as it was `lag_ms` ago, or the oldest retained one if none is that old.
    pub(super) fn read(&self, now_ms: Timestamp, lag_ms: u64) -> Roster {
        let as_of_ms = now_ms.saturating_sub(lag_ms);
        let snapshot = self
            .snapshots
            .iter()
            .rev()
            .find(|snapshot| snapshot.since_ms <= as_of_ms)
            .or(self.snapshots.front());
        let mut roster = snapshot
            .map(|snapshot| snapshot.roster.clone())
            .unwrap_or_default();
        roster.as_of_ms = as_of_ms;
        roster
    }

    pub(super) fn replace(&mut self, mut entries: Vec<Entry>, now_ms: Timestamp) -> Result<()> {
        entries.sort_by(|left, right| left.id.cmp(&right.id));
        if let Some(pair) = entries.windows(2).find(|pair| pair[0].id == pair[1].id) {
            return Err(Error::Duplicate(pair[0].id.clone()));
        }
        let instances = entries
            .into_iter()
            .map(|entry| self.to_instance(entry, now_ms))
            .collect();
        self.commit(instances, now_ms);
        Ok(())
    }

    pub(super) fn mark_leaving(&mut self, id: &str, now_ms: Timestamp) -> Result<()> {
        let index = self.index(id)?;
        let mut instances = self.instances.clone();
        if let Some(instance) = instances.get_mut(index) {
            instance.state = State::Leaving;
            instance.leaving_at_ms.get_or_insert(now_ms);
        }
        self.commit(instances, now_ms);
        Ok(())
    }

    pub(super) fn remove(&mut self, id: &str, now_ms: Timestamp) -> Result<()> {
        let index = self.index(id)?;
        let mut instances = self.instances.clone();
        instances.remove(index);
        self.commit(instances, now_ms);
        Ok(())
    }

    fn index(&self, id: &str) -> Result<usize> {
        self.instances
            .binary_search_by(|instance| (*instance.id).cmp(id))
            .map_err(|_| Error::Unknown(InstanceId::from(id)))
    }

    /// Adds timestamps to an entry; an instance that is already listed keeps its own.
    fn to_instance(&self, entry: Entry, now_ms: Timestamp) -> Instance {
        let existing = self
            .index(&entry.id)
            .ok()
            .and_then(|index| self.instances.get(index));
        let listed_at_ms = existing
            .map_or(now_ms.saturating_sub(entry.listed_ago_ms), |existing| {
                existing.listed_at_ms
            });
        let leaving_since = existing.and_then(|existing| existing.leaving_at_ms);
        let leaving_at_ms = match entry.state {
            State::Live => None,
            State::Leaving => leaving_since.or(Some(now_ms)),
        };
        Instance {
            id: entry.id,
            service: entry.service,
            domain: entry.domain,
            region: entry.region,
            peer: entry.peer,
            admin: entry.admin,
            listen: entry.listen,
            state: entry.state,
            target: None,
            started_at_ms: None,
            slots: None,
            listed_at_ms,
            leaving_at_ms,
        }
    }

    /// Stores a changed list as a new version; an equal list leaves the version as it is.
    fn commit(&mut self, instances: Vec<Instance>, now_ms: Timestamp) {
        if self.version > 0 && instances == self.instances {
            return;
        }
        self.version += 1;
        self.instances = instances;
        if self.snapshots.len() == MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(Snapshot {
            since_ms: now_ms,
            roster: Roster {
                version: self.version,
                as_of_ms: now_ms,
                instances: self.instances.clone(),
            },
        });
    }
}
