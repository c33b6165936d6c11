//! Ownership of keys: determines from the roster history which daemon may run a key for the first
//! time.
//!
//! The owner of a key is the eligible instance with the highest rendezvous score at the key's issue
//! time. An entry daemon calls [`find`] to choose where to send a key; a wrong result costs only a
//! refusal. The instance that receives the key calls [`may_run`], which never grants permission to
//! two instances.

use std::fmt;
use std::time::Duration;

use basilbay_model::id::InstanceId;
use basilbay_model::roster::Timestamp;
use basilbay_wire::problem::Outcome;

use crate::digest;
use crate::history::{History, Record};
use crate::key::{Format, Key, millis};

pub use crate::key::MAX_CLOCK_SKEW;

/// Delay from a roster change until it takes effect on ownership.
///
/// After this time, every daemon with a valid view has observed the change. The value is
/// `VIEW_VALIDITY` plus `MAX_CLOCK_SKEW`, by which a restarted daemon may date its start too early.
pub const OWNERSHIP_GRACE: Duration = Duration::from_secs(4);

/// Maximum age of a daemon's roster for permitting first runs.
pub const VIEW_LEASE: Duration = Duration::from_secs(3);

/// Time after the as-of time of a roster for which that roster determines ownership.
///
/// `OWNERSHIP_GRACE` minus this value is the longest interval in which skipped roster versions are
/// harmless.
pub const VIEW_VALIDITY: Duration = Duration::from_millis(3500);

/// Result of looking up the owner of a key in an entry daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Holds the presumed owner, which decides with [`may_run`] whether to run the key.
    Found(InstanceId),
    /// The owner cannot be determined, and the key may have run.
    Unknown(Reason),
    /// No instance is or was eligible, so the key has not run.
    NoOwner,
}

/// Reason why an entry daemon cannot determine the owner of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The key is older than the retention period.
    Expired,
    /// The key has no issue time, and its owner changed within the retention period.
    OwnerChanged,
    /// No eligible instance is known, but the roster history does not cover the key.
    HistoryIncomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Expired => "the key is older than the retention period",
            Self::OwnerChanged => "the owner of the key changed within the retention period",
            Self::HistoryIncomplete => "the roster history does not cover the key",
        })
    }
}

impl Lookup {
    /// Outcome to report if the key is not forwarded; `None` if it is.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Found(_) => None,
            Self::Unknown(_) => Some(Outcome::Unknown),
            Self::NoOwner => Some(Outcome::NotRun),
        }
    }
}

/// Whether an instance may run a key that has no entry in its store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The instance may run the key; no other instance ever may.
    Granted,
    /// Another instance is the owner; holds its id if one is known.
    NotOwner(Option<InstanceId>),
    /// The roster history does not show whether the key ran here or elsewhere.
    HistoryIncomplete,
    /// The instance is the owner and the key has not run, but its roster is older than
    /// [`VIEW_LEASE`].
    StaleRoster,
    /// The key is older than the retention period.
    Expired,
}

impl Permission {
    /// Outcome to report for a key that has no entry in the store and is not run; `None` if it may
    /// run.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Granted => None,
            Self::StaleRoster => Some(Outcome::NotRun),
            Self::NotOwner(_) | Self::HistoryIncomplete | Self::Expired => Some(Outcome::Unknown),
        }
    }
}

/// Interval in which a key may have been issued, both ends inclusive.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: Timestamp,
    until: Timestamp,
}

impl Interval {
    /// Computes the interval of a key received at `wall_ms`.
    ///
    /// The interval of an opaque key exceeds the retention period by `OWNERSHIP_GRACE`: the first
    /// send and the last resend are timed by different clocks and take time to arrive, and the two
    /// intervals must still overlap.
    fn new(key: &Key, wall_ms: Timestamp, retention: Duration) -> Self {
        match key.format {
            Format::UuidV7(at) => Self {
                from: at,
                until: at,
            },
            Format::Opaque => Self {
                from: wall_ms.saturating_sub(millis(retention + OWNERSHIP_GRACE)),
                until: wall_ms,
            },
        }
    }

    fn overlaps(&self, record: &Record) -> bool {
        record.eligible_from() <= self.until && self.from < record.eligible_until()
    }

    fn is_within(&self, record: &Record) -> bool {
        record.eligible_from() <= self.from && self.until < record.eligible_until()
    }
}

/// Looks up the owner of a key, in the entry role.
pub fn find(
    history: &History,
    service: &str,
    key: &Key,
    wall_ms: Timestamp,
    retention: Duration,
) -> Lookup {
    let wall_ms = estimate_wall_ms(history, wall_ms);
    if is_expired(key, wall_ms, retention) {
        return Lookup::Unknown(Reason::Expired);
    }
    let interval = Interval::new(key, wall_ms, retention);
    match highest_ranked(history, service, key, interval) {
        Some(record) if interval.is_within(record) => Lookup::Found(record.id.clone()),
        Some(_) => Lookup::Unknown(Reason::OwnerChanged),
        None if service == history.service() && history_covers(history, interval) => {
            Lookup::NoOwner
        }
        None => Lookup::Unknown(Reason::HistoryIncomplete),
    }
}

/// Decides whether the instance `own_id` may run a key for the first time, in the target role.
///
/// The store must be consulted first, under the same lock; [`crate::decision::decide`] does both.
pub fn may_run(
    history: &History,
    own_id: &str,
    service: &str,
    key: &Key,
    wall_ms: Timestamp,
    retention: Duration,
) -> Permission {
    let wall_ms = estimate_wall_ms(history, wall_ms);
    if is_expired(key, wall_ms, retention) {
        return Permission::Expired;
    }
    let interval = Interval::new(key, wall_ms, retention);
    let highest = highest_ranked(history, service, key, interval);
    if highest.is_none_or(|record| &*record.id != own_id) {
        return Permission::NotOwner(highest.map(|record| record.id.clone()));
    }
    if !history_covers(history, interval) || !listed_throughout(history, own_id, interval) {
        return Permission::HistoryIncomplete;
    }
    if !is_fresh(history, wall_ms) {
        return Permission::StaleRoster;
    }
    Permission::Granted
}

/// Estimates the instance list's clock: the later of the local clock and the latest as-of time,
/// which that clock is known to have passed.
fn estimate_wall_ms(history: &History, wall_ms: Timestamp) -> Timestamp {
    wall_ms.max(history.latest_as_of().unwrap_or(0))
}

fn is_expired(key: &Key, wall_ms: Timestamp, retention: Duration) -> bool {
    match key.format {
        Format::UuidV7(at) => at.saturating_add(millis(retention)) < wall_ms,
        Format::Opaque => false,
    }
}

/// Finds the highest-ranked record that is eligible at any time in the interval.
///
/// If it is eligible throughout the interval, it is the owner throughout; otherwise the owner
/// changed.
fn highest_ranked<'a>(
    history: &'a History,
    service: &str,
    key: &Key,
    interval: Interval,
) -> Option<&'a Record> {
    if service != history.service() {
        return None;
    }
    history
        .records()
        .iter()
        .filter(|record| interval.overlaps(record))
        .max_by(|left, right| rank(left, key).cmp(&rank(right, key)))
}

/// Rendezvous score, with the id as tie-breaker.
fn rank<'a>(record: &'a Record, key: &Key) -> (u64, &'a str) {
    (
        digest::rendezvous_score(key.hash(), record.hash),
        &record.id,
    )
}

/// Whether the records include every instance that may run a key issued in the interval.
fn history_covers(history: &History, interval: Interval) -> bool {
    let valid_until = history.latest_as_of().unwrap_or(0) + millis(VIEW_VALIDITY);
    interval.until < valid_until && history.covers(interval.from, interval.until)
}

/// Whether the instance has seen itself listed for the whole interval, so that every other daemon
/// considers it eligible.
fn listed_throughout(history: &History, own_id: &str, interval: Interval) -> bool {
    history
        .records()
        .iter()
        .filter(|record| &*record.id == own_id && interval.is_within(record))
        .any(|record| {
            let reinstated_at = record
                .returned_at
                .map_or(0, |at| at + millis(OWNERSHIP_GRACE));
            let seen_until = history.last_seen(record) + millis(VIEW_VALIDITY);
            reinstated_at <= interval.from && interval.until < seen_until
        })
}

/// Whether the latest roster is within [`VIEW_LEASE`].
fn is_fresh(history: &History, wall_ms: Timestamp) -> bool {
    history.latest_as_of().unwrap_or(0) + millis(VIEW_LEASE) > wall_ms
}
