//! The roster of one service as one daemon has seen it over time.
//!
//! Ownership of a key is decided for its issue time, so a daemon must know which instances were
//! listed then, including those that have gone since. Where a daemon cannot know this, the history
//! says so: before its first roster, and in a [`Gap`] in which versions of the roster passed unseen
//! and an instance may have come and gone.
//!
//! Two views of one instance are kept apart. To other daemons an instance stays eligible as long as
//! anyone could believe it is (until the observed removal); to itself only as long as it has seen
//! itself listed. The first is a superset of the second, which is what the proof needs.

use std::time::Duration;

use basilbay_model::id::{InstanceId, ServiceId, Version};
use basilbay_model::roster::{Instance, Roster, Timestamp};

use crate::digest;
use crate::key::millis;
use crate::owner::{OWNERSHIP_GRACE, VIEW_VALIDITY};

/// Graces for which a removed instance is remembered beyond the retention: its own grace, the
/// widened window of opaque keys, and clock skew.
const RETAINED_GRACES: u64 = 3;

/// One listing of an instance; an id that is listed again with another time is another record.
#[derive(Clone, Debug)]
pub struct Record {
    /// The instance.
    pub id: InstanceId,
    /// When the list named it.
    pub listed_at: Timestamp,
    /// When the list first called it leaving.
    pub leaving_at: Option<Timestamp>,
    /// As-of time of the first roster without it.
    pub removed_at: Option<Timestamp>,
    /// As-of time of the last roster with it, once it is removed.
    pub last_seen: Timestamp,
    /// As-of time at which it came back with the same listing time.
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
            hash: digest::narrow(&[instance.id.as_bytes()]),
        }
    }

    /// First moment at which it is eligible.
    pub(crate) fn start(&self) -> Timestamp {
        self.listed_at + millis(OWNERSHIP_GRACE)
    }

    /// First moment at which it is no longer eligible.
    pub(crate) fn end(&self) -> Timestamp {
        let leaving = self.leaving_at.unwrap_or(Timestamp::MAX);
        let removed = self.removed_at.unwrap_or(Timestamp::MAX);
        leaving.min(removed).saturating_add(millis(OWNERSHIP_GRACE))
    }
}

/// A stretch in which versions of the roster passed unseen.
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
    retention: u64,
    started: Timestamp,
    first: Option<Timestamp>,
    newest: Timestamp,
    version: Version,
    /// Sorted by id and listing time.
    records: Vec<Record>,
    gaps: Vec<Gap>,
}

impl History {
    /// Starts empty, in a process that started at `started` by its own wall clock.
    ///
    /// The start time is needed because the first roster may be old: a restarted daemon that is
    /// handed a roster from before its restart must not believe that it remembers that time.
    pub fn new(service: ServiceId, retention: Duration, started: Timestamp) -> Self {
        Self {
            service,
            retention: millis(retention),
            started,
            first: None,
            newest: 0,
            version: 0,
            records: Vec::new(),
            gaps: Vec::new(),
        }
    }

    /// Takes in a roster; one that is older than what is known changes nothing.
    pub fn observe(&mut self, roster: &Roster) {
        let previous = self.latest_as_of();
        if previous.is_none() {
            self.first = Some(roster.as_of_ms);
        } else if roster.version < self.version || roster.as_of_ms < self.newest {
            return;
        } else if roster.version == self.version {
            self.newest = roster.as_of_ms;
            self.prune();
            return;
        } else {
            self.note_gap(roster);
        }
        self.remove_missing(roster);
        self.add_present(roster, previous);
        self.version = roster.version;
        self.newest = roster.as_of_ms;
        self.prune();
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// As-of time of the first roster.
    pub fn first_as_of(&self) -> Option<Timestamp> {
        self.first
    }

    /// As-of time of the newest roster; none before the first.
    pub fn latest_as_of(&self) -> Option<Timestamp> {
        self.first.map(|_| self.newest)
    }

    /// Records of present and removed instances, sorted by id and listing time.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Whether every instance that may own a key of this span is in the records, and this process
    /// has run since before the span.
    pub fn covers(&self, from: Timestamp, until: Timestamp) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let start = first.max(self.started);
        start + millis(OWNERSHIP_GRACE) <= from
            && !self.gaps.iter().any(|gap| gap.hides(from, until))
    }

    /// As-of time of the last roster with this record.
    pub(crate) fn last_seen(&self, record: &Record) -> Timestamp {
        match record.removed_at {
            Some(_) => record.last_seen,
            None => self.newest,
        }
    }

    /// Notes that versions were skipped, unless the time was too short for a skipped instance to
    /// have run anything: it needs `OWNERSHIP_GRACE` from its listing and `VIEW_VALIDITY` from its last
    /// sight of itself.
    fn note_gap(&mut self, roster: &Roster) {
        let skipped = roster.version > self.version + 1;
        let slack = millis(OWNERSHIP_GRACE - VIEW_VALIDITY);
        if skipped && roster.as_of_ms - self.newest > slack {
            self.gaps.push(Gap {
                from: self.newest,
                to: roster.as_of_ms,
            });
        }
    }

    fn remove_missing(&mut self, roster: &Roster) {
        for record in &mut self.records {
            let present = roster
                .instance(&record.id)
                .is_some_and(|instance| instance.listed_at_ms == record.listed_at);
            if !present && record.removed_at.is_none() {
                record.last_seen = self.newest;
                record.removed_at = Some(roster.as_of_ms);
            }
        }
    }

    fn add_present(&mut self, roster: &Roster, previous: Option<Timestamp>) {
        for instance in roster.of_service(&self.service) {
            let place = self.records.binary_search_by(|record| {
                (&*record.id, record.listed_at).cmp(&(&*instance.id, instance.listed_at_ms))
            });
            match place {
                Ok(index) => refresh(&mut self.records[index], instance, roster.as_of_ms),
                Err(index) => {
                    let mut record = Record::new(instance);
                    // Listed before the previous roster and yet not in it: it was away.
                    let is_back = previous.is_some_and(|at| instance.listed_at_ms <= at);
                    record.returned_at = is_back.then_some(roster.as_of_ms);
                    self.records.insert(index, record);
                }
            }
        }
    }

    fn prune(&mut self) {
        let kept = self.retention + RETAINED_GRACES * millis(OWNERSHIP_GRACE);
        let newest = self.newest;
        self.records
            .retain(|record| record.removed_at.is_none_or(|at| at + kept >= newest));
        self.gaps.retain(|gap| gap.to + kept >= newest);
    }
}

impl Gap {
    /// Whether an unseen instance may own a key of this span.
    fn hides(&self, from: Timestamp, until: Timestamp) -> bool {
        let start = self.from + millis(OWNERSHIP_GRACE);
        let end = self.to + millis(VIEW_VALIDITY);
        start <= until && from < end
    }
}

fn refresh(record: &mut Record, instance: &Instance, as_of: Timestamp) {
    if record.removed_at.take().is_some() {
        record.returned_at = Some(as_of);
    }
    // The first leaving time stays: an instance that started to leave is done with its id.
    record.leaving_at = match (record.leaving_at, instance.leaving_at_ms) {
        (Some(known), Some(told)) => Some(known.min(told)),
        (known, told) => known.or(told),
    };
}
