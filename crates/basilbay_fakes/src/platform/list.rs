//! The instance list: entries stamped by the list's own clock, with past versions for lag.

use std::collections::VecDeque;
use std::net::SocketAddr;

use basilbay_model::id::{DomainId, InstanceId, RegionId, ServiceId, Version};
use basilbay_model::roster::{Instance, Roster, State, Timestamp};
use serde::{Deserialize, Serialize};

/// Result of a change.
pub type Result<T> = std::result::Result<T, Error>;

/// Past versions that are kept for lagging answers: 256 of 630 instances are about 40 MB.
const KEPT: usize = 256;

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The list does not name the instance.
    Unknown(InstanceId),
    /// Two entries have the same id.
    Duplicate(InstanceId),
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown(id) => write!(formatter, "unknown instance {id}"),
            Self::Duplicate(id) => write!(formatter, "instance {id} is listed twice"),
        }
    }
}

impl std::error::Error for Error {}

/// An instance as handed to the list, without stamps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Id of this run.
    pub id: InstanceId,
    /// The service its target belongs to.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region; empty when there is only one.
    #[serde(default)]
    pub region: RegionId,
    /// Address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Whether it takes work.
    #[serde(default)]
    pub state: State,
    /// How long ago a new entry counts as listed; spares tests the wait for key ownership.
    #[serde(default)]
    pub listed_ago_ms: u64,
}

/// The list of one moment.
struct Snapshot {
    since_ms: Timestamp,
    roster: Roster,
}

/// The list and its past.
#[derive(Default)]
pub(super) struct Store {
    version: Version,
    instances: Vec<Instance>,
    snapshots: VecDeque<Snapshot>,
}

impl Store {
    /// The list as it was `lag_ms` ago; before the first list, the first one.
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
            .map(|entry| self.stamp(entry, now_ms))
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

    /// Keeps the stamps of an instance that is already listed.
    fn stamp(&self, entry: Entry, now_ms: Timestamp) -> Instance {
        let known = self
            .index(&entry.id)
            .ok()
            .and_then(|index| self.instances.get(index));
        let listed_at_ms = known.map_or(now_ms.saturating_sub(entry.listed_ago_ms), |known| {
            known.listed_at_ms
        });
        let leaving_since = known.and_then(|known| known.leaving_at_ms);
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
            born_ms: None,
            slots: None,
            listed_at_ms,
            leaving_at_ms,
        }
    }

    fn commit(&mut self, instances: Vec<Instance>, now_ms: Timestamp) {
        if self.version > 0 && instances == self.instances {
            return;
        }
        self.version += 1;
        self.instances = instances;
        if self.snapshots.len() == KEPT {
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
