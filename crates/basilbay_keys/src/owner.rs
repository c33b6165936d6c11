//! Which daemon may run a key for the first time.
//!
//! The home of a key is the eligible instance with the highest rendezvous score at the issue time.
//! An entry daemon asks [`find`] where to send a key; its answer may be wrong, which costs a
//! refusal. The instance that is asked to run the key decides by [`may_run`], and two instances
//! are never both permitted.

use std::fmt;
use std::time::Duration;

use basilbay_model::id::InstanceId;
use basilbay_model::roster::Timestamp;
use basilbay_wire::problem::Outcome;

use crate::digest;
use crate::history::{History, Record};
use crate::key::{Format, Key, millis};

pub use crate::key::MAX_CLOCK_SKEW;

/// Time from a change of the roster until it changes ownership.
///
/// Everyone whose view reaches that far has then seen the change. It is `VIEW_VALIDITY` and one
/// `MAX_CLOCK_SKEW`, by which a restarted daemon may date its start too early.
pub const OWNERSHIP_GRACE: Duration = Duration::from_secs(4);

/// Age up to which a daemon's roster permits first runs.
pub const VIEW_LEASE: Duration = Duration::from_secs(3);

/// Time after the as-of time of a roster for which that roster decides ownership.
///
/// `OWNERSHIP_GRACE` less this is the time for which skipped versions are harmless.
pub const VIEW_VALIDITY: Duration = Duration::from_millis(3500);

/// Where an entry daemon sends a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// To this instance, which decides.
    Found(InstanceId),
    /// Nowhere; whether the key ran is unknown.
    Unknown(Reason),
    /// Nowhere; no instance is or was eligible, so the key has not run.
    NoOwner,
}

/// Why the outcome of a key is unknown to an entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is older than the retention.
    Expired,
    /// It has no issue time, and its home changed within the retention.
    OwnerChanged,
    /// No eligible instance is known, but the roster history does not cover the key.
    HistoryIncomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Expired => "the key is older than the retention",
            Self::OwnerChanged => "the home of the key changed within the retention",
            Self::HistoryIncomplete => "the roster history does not cover the key",
        })
    }
}

impl Lookup {
    /// What the caller may be told when the key is sent nowhere.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Found(_) => None,
            Self::Unknown(_) => Some(Outcome::Unknown),
            Self::NoOwner => Some(Outcome::NotRun),
        }
    }
}

/// Whether an instance may run a key that it does not remember.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may; no other instance ever may.
    Granted,
    /// It is not the home; this one is, as far as it knows.
    NotOwner(Option<InstanceId>),
    /// It cannot know whether the key ran here or elsewhere.
    HistoryIncomplete,
    /// It is the home and the key has not run, but its view is too old for a first run.
    StaleRoster,
    /// The key is older than the retention.
    Expired,
}

impl Permission {
    /// What the caller may be told when the key is not in the memory and is not run.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Granted => None,
            Self::StaleRoster => Some(Outcome::NotRun),
            Self::NotOwner(_) | Self::HistoryIncomplete | Self::Expired => Some(Outcome::Unknown),
        }
    }
}

/// The moments at which a key may have been issued, both ends included.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Timestamp,
    until: Timestamp,
}

impl Span {
    /// An opaque key's span reaches a grace beyond the retention: the first send and the last
    /// resend are timed by different clocks and take time to arrive, and both spans must still
    /// contain one common moment.
    fn new(key: &Key, wall: Timestamp, retention: Duration) -> Self {
        match key.format {
            Format::UuidV7(at) => Self {
                from: at,
                until: at,
            },
            Format::Opaque => Self {
                from: wall.saturating_sub(millis(retention + OWNERSHIP_GRACE)),
                until: wall,
            },
        }
    }

    fn touches(&self, record: &Record) -> bool {
        record.start() <= self.until && self.from < record.end()
    }

    fn lies_within(&self, record: &Record) -> bool {
        record.start() <= self.from && self.until < record.end()
    }
}

/// Finds where to send a key, for the entry role.
pub fn find(
    history: &History,
    service: &str,
    key: &Key,
    wall_ms: Timestamp,
    retention: Duration,
) -> Lookup {
    let wall = best_wall(history, wall_ms);
    if expired(key, wall, retention) {
        return Lookup::Unknown(Reason::Expired);
    }
    let span = Span::new(key, wall, retention);
    match highest(history, service, key, span) {
        Some(record) if span.lies_within(record) => Lookup::Found(record.id.clone()),
        Some(_) => Lookup::Unknown(Reason::OwnerChanged),
        None if service == history.service() && knows(history, span) => Lookup::NoOwner,
        None => Lookup::Unknown(Reason::HistoryIncomplete),
    }
}

/// Decides whether `me` may run a key for the first time, for the target role.
///
/// The memory has to be asked first, under the same lock; [`crate::decision::decide`] does both.
pub fn may_run(
    history: &History,
    me: &str,
    service: &str,
    key: &Key,
    wall_ms: Timestamp,
    retention: Duration,
) -> Permission {
    let wall = best_wall(history, wall_ms);
    if expired(key, wall, retention) {
        return Permission::Expired;
    }
    let span = Span::new(key, wall, retention);
    let highest = highest(history, service, key, span);
    if highest.is_none_or(|record| &*record.id != me) {
        return Permission::NotOwner(highest.map(|record| record.id.clone()));
    }
    if !knows(history, span) || !listed_throughout(history, me, span) {
        return Permission::HistoryIncomplete;
    }
    if !is_fresh(history, wall) {
        return Permission::StaleRoster;
    }
    Permission::Granted
}

/// The later of the local clock and the newest as-of time, which the list's clock has passed.
fn best_wall(history: &History, wall: Timestamp) -> Timestamp {
    wall.max(history.latest_as_of().unwrap_or(0))
}

fn expired(key: &Key, wall: Timestamp, retention: Duration) -> bool {
    match key.format {
        Format::UuidV7(at) => at.saturating_add(millis(retention)) < wall,
        Format::Opaque => false,
    }
}

/// The highest score among all records that are eligible at any moment of the span.
///
/// If this one is eligible throughout, it is the home throughout; otherwise the home changed.
fn highest<'a>(history: &'a History, service: &str, key: &Key, span: Span) -> Option<&'a Record> {
    if service != history.service() {
        return None;
    }
    history
        .records()
        .iter()
        .filter(|record| span.touches(record))
        .max_by(|left, right| rank(left, key).cmp(&rank(right, key)))
}

/// Score, then id so that equal scores have one winner.
fn rank<'a>(record: &'a Record, key: &Key) -> (u64, &'a str) {
    (digest::mix(key.hash(), record.hash), &record.id)
}

/// Whether the records contain every instance that may run a key of this span.
fn knows(history: &History, span: Span) -> bool {
    let reach = history.latest_as_of().unwrap_or(0) + millis(VIEW_VALIDITY);
    span.until < reach && history.covers(span.from, span.until)
}

/// Whether the instance has seen itself listed as everyone else must have seen it.
fn listed_throughout(history: &History, me: &str, span: Span) -> bool {
    history
        .records()
        .iter()
        .filter(|record| &*record.id == me && span.lies_within(record))
        .any(|record| {
            let back = record
                .returned_at
                .map_or(0, |at| at + millis(OWNERSHIP_GRACE));
            let seen = history.last_seen(record) + millis(VIEW_VALIDITY);
            back <= span.from && span.until < seen
        })
}

/// Whether the view is within its lease.
fn is_fresh(history: &History, wall: Timestamp) -> bool {
    history.latest_as_of().unwrap_or(0) + millis(VIEW_LEASE) > wall
}
