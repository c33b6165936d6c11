//! Roster history of one service, as observed by one daemon.
//!
//! The owner of a key is determined for the key's issue time, so the history keeps the instances
//! that were listed then, including instances removed since. [`History::covers`] reports where this
//! knowledge is incomplete: before the first observed roster, and during a [`Gap`] in which roster
//! versions were skipped and an instance may have been added and removed unseen.
//!
//! Eligibility of an instance is evaluated in two ways. For other daemons it lasts as long as any
//! daemon could consider the instance eligible, that is, until the observed removal. For the
//! instance itself it lasts only as long as it has seen itself listed. The first interval contains
//! the second, as the proof in `docs/decisions/at-most-once.md` requires.

use std::time::Duration;

use basilbay_model::id::{InstanceId, ServiceId, Version};
use basilbay_model::roster::{Instance, Roster, Timestamp};

use crate::digest;
use crate::key::millis;
use crate::owner::{OWNERSHIP_GRACE, VIEW_VALIDITY};

/// Number of [`OWNERSHIP_GRACE`] periods for which a removed instance is kept beyond the retention
/// period: one for its own grace, one for the widened interval of opaque keys, one for clock skew.
const RETAINED_GRACES: u64 = 3;

/// One listing of an instance. An id that is listed again with another listing time gets a new
/// record.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id of the instance.
    pub id: InstanceId,
    /// When the instance list added it.
    pub listed_at: Timestamp,
    /// When the instance list first marked it as leaving; `None` if it has not.
    pub leaving_at: Option<Timestamp>,
    /// As-of time of the first roster without it; `None` while it is listed.
    pub removed_at: Option<Timestamp>,
    /// As-of time of the last roster with it; 0 while it is listed.
    pub last_seen: Timestamp,
    /// As-of time of the roster in which it reappeared with the same listing time; `None` if it has
    /// not.
    pub returned_at: Option<Timestamp>,
    /// Hash of the id, for rendezvous hashing.
    pub(crate) hash: u64,
}

impl Record {
    fn new(instance: &Instance) -> Self {
        Self {
            id: instance.id.clone(),
            listed_at: instance.listed_at_ms,
            leaving_at: instance.leaving_at_ms,
            removed_at: None,
            last_seen: 0,
            returned_at: None,
            hash: digest::sha256_u64(&[instance.id.as_bytes()]),
        }
    }

    /// Start of its eligibility, inclusive.
    pub(crate) fn eligible_from(&self) -> Timestamp {
        self.listed_at + millis(OWNERSHIP_GRACE)
    }

    /// End of its eligibility, exclusive.
    pub(crate) fn eligible_until(&self) -> Timestamp {
        let leaving = self.leaving_at.unwrap_or(Timestamp::MAX);
        let removed = self.removed_at.unwrap_or(Timestamp::MAX);
        leaving.min(removed).saturating_add(millis(OWNERSHIP_GRACE))
    }
}

/// An interval in which roster versions were skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// As-of time of the roster before it.
    pub from: Timestamp,
    /// As-of time of the roster after it.
    pub to: Timestamp,
}

/// The roster history of one service.
#[derive(Clone, Debug)]
pub struct History {
    service: ServiceId,
    retention_ms: u64,
    started_at: Timestamp,
    /// As-of time of the first roster; `None` before it.
    first_as_of: Option<Timestamp>,
    /// As-of time of the latest roster; 0 before the first.
    latest_as_of: Timestamp,
    /// Version of the latest roster; 0 before the first.
    version: Version,
    /// Sorted by id and listing time.
    records: Vec<Record>,
    /// Sorted by time.
    gaps: Vec<Gap>,
}

impl History {
    /// Creates an empty history for a process that started at `started_at` by its own wall clock.
    ///
    /// The start time is needed because the first roster may predate it: after a restart, the
    /// daemon holds no entries from before the restart and must not claim to cover that time.
    pub fn new(service: ServiceId, retention: Duration, started_at: Timestamp) -> Self {
        Self {
            service,
            retention_ms: millis(retention),
            started_at,
            first_as_of: None,
            latest_as_of: 0,
            version: 0,
            records: Vec::new(),
            gaps: Vec::new(),
        }
    }

    /// Records a roster; a roster older than the latest one is ignored.
    pub fn observe(&mut self, roster: &Roster) {
        let previous = self.latest_as_of();
        if previous.is_none() {
            self.first_as_of = Some(roster.as_of_ms);
        } else if roster.version < self.version || roster.as_of_ms < self.latest_as_of {
            return;
        } else if roster.version == self.version {
            self.latest_as_of = roster.as_of_ms;
            self.prune();
            return;
        } else {
            self.record_gap(roster);
        }
        self.mark_removed(roster);
        self.update_listed(roster, previous);
        self.version = roster.version;
        self.latest_as_of = roster.as_of_ms;
        self.prune();
    }

    /// Id of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// As-of time of the first roster; `None` before it.
    pub fn first_as_of(&self) -> Option<Timestamp> {
        self.first_as_of
    }

    /// As-of time of the latest roster; `None` before the first.
    pub fn latest_as_of(&self) -> Option<Timestamp> {
        self.first_as_of.map(|_| self.latest_as_of)
    }

    /// Records of listed and removed instances, sorted by id and listing time.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Whether the records include every instance that may own a key issued in this interval, and
    /// this process has been running since before the interval.
    pub fn covers(&self, from: Timestamp, until: Timestamp) -> bool {
        let Some(first_as_of) = self.first_as_of else {
            return false;
        };
        let start = first_as_of.max(self.started_at);
        start + millis(OWNERSHIP_GRACE) <= from
            && !self.gaps.iter().any(|gap| gap.may_hide_owner(from, until))
    }

    /// As-of time of the last roster with this record.
    pub(crate) fn last_seen(&self, record: &Record) -> Timestamp {
        match record.removed_at {
            Some(_) => record.last_seen,
            None => self.latest_as_of,
        }
    }

    /// Records a gap if versions were skipped, unless the interval was too short for an unseen
    /// instance to have run a key: an instance becomes eligible `OWNERSHIP_GRACE` after its listing
    /// and may run keys for `VIEW_VALIDITY` after it last saw itself listed.
    fn record_gap(&mut self, roster: &Roster) {
        let has_skipped = roster.version > self.version + 1;
        let harmless_ms = millis(OWNERSHIP_GRACE - VIEW_VALIDITY);
        if has_skipped && roster.as_of_ms - self.latest_as_of > harmless_ms {
            self.gaps.push(Gap {
                from: self.latest_as_of,
                to: roster.as_of_ms,
            });
        }
    }

    fn mark_removed(&mut self, roster: &Roster) {
        for record in &mut self.records {
            let is_listed = roster
                .instance(&record.id)
                .is_some_and(|instance| instance.listed_at_ms == record.listed_at);
            if !is_listed && record.removed_at.is_none() {
                record.last_seen = self.latest_as_of;
                record.removed_at = Some(roster.as_of_ms);
            }
        }
    }

    fn update_listed(&mut self, roster: &Roster, previous: Option<Timestamp>) {
        for instance in roster.of_service(&self.service) {
            let position = self.records.binary_search_by(|record| {
                (&*record.id, record.listed_at).cmp(&(&*instance.id, instance.listed_at_ms))
            });
            match position {
                Ok(index) => update_record(&mut self.records[index], instance, roster.as_of_ms),
                Err(index) => {
                    let mut record = Record::new(instance);
                    // Listed before the previous roster but missing from it, so it was removed and
                    // has returned.
                    let has_returned = previous.is_some_and(|at| instance.listed_at_ms <= at);
                    record.returned_at = has_returned.then_some(roster.as_of_ms);
                    self.records.insert(index, record);
                }
            }
        }
    }

    fn prune(&mut self) {
        let kept_ms = self.retention_ms + RETAINED_GRACES * millis(OWNERSHIP_GRACE);
        let latest_as_of = self.latest_as_of;
        self.records.retain(|record| {
            record
                .removed_at
                .is_none_or(|at| at + kept_ms >= latest_as_of)
        });
        self.gaps.retain(|gap| gap.to + kept_ms >= latest_as_of);
    }
}

impl Gap {
    /// Whether an unseen instance may own a key issued in this interval.
    fn may_hide_owner(&self, from: Timestamp, until: Timestamp) -> bool {
        let start = self.from + millis(OWNERSHIP_GRACE);
        let end = self.to + millis(VIEW_VALIDITY);
        start <= until && from < end
    }
}

fn update_record(record: &mut Record, instance: &Instance, as_of: Timestamp) {
    if record.removed_at.take().is_some() {
        record.returned_at = Some(as_of);
    }
    // Keep the earliest leaving time: an instance that has started to leave does not become
    // eligible again under the same id.
    record.leaving_at = match (record.leaving_at, instance.leaving_at_ms) {
        (Some(known), Some(listed)) => Some(known.min(listed)),
        (known, listed) => known.or(listed),
    };
}
