//! Idempotency store: the state and stored responses of the keys that a daemon owns.
//!
//! Each key has an entry from its claim until the retention period after its run ended. Responses
//! are stored up to a byte limit; beyond it, the oldest responses are evicted and their entries
//! stay. The entry of a running key is never evicted.
//!
//! Entries are kept in a B-tree, indexed by the key's 128-bit digest. A sorted vector of 100,000
//! entries would move hundreds of kilobytes on each insertion; `benches/keys.rs` measures both
//! layouts, and `docs/decisions/at-most-once.md` has the figures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_wire::problem::Outcome;

use crate::key::Key;
use crate::owner::OWNERSHIP_GRACE;

mod shards;

pub use shards::Shards;

/// Maximum size of a stored response.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum time by which one call to [`Store::evict_expired`] ages the entries.
///
/// After a pause of the process, requests that arrived during the pause are still to be read. They
/// may be resends within the retention period, so the duration of the pause must not expire the
/// entries of their keys first. `evict_expired` must be called more often than this.
pub const MAX_AGE_STEP: Duration = Duration::from_secs(30);

/// Bytes counted for each header and each response in addition to its content.
const OVERHEAD_BYTES: usize = 48;

/// Limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum total size of stored responses, in bytes.
    pub response_bytes: usize,
    /// Time for which callers may resend a key.
    pub retention: Duration,
}

/// A stored response, replayed when a key is sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers in their original order.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// Body.
    pub body: Arc<[u8]>,
}

impl Response {
    /// Number of bytes counted against [`Limits::response_bytes`].
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + OVERHEAD_BYTES)
            .sum();
        headers + self.body.len() + OVERHEAD_BYTES
    }
}

/// Result of claiming a key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request runs; whoever called `claim` must call `finish` in every case.
    Run,
    /// The key is running; the request was added to its waiters.
    Join,
    /// The key completed with this response.
    Replay(Arc<Response>),
    /// The key completed; its response is not stored.
    Completed,
    /// The run ended without a response, and the key may have run.
    Interrupted,
    /// The key was used for a request with other content.
    Reused,
    /// The store is full.
    Full,
}

impl Claim {
    /// Outcome to report if the request gets a problem response without a run; `None` if it runs,
    /// waits for a run or gets a stored response.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Run | Self::Join | Self::Replay(_) => None,
            Self::Completed | Self::Interrupted => Some(Outcome::Unknown),
            Self::Reused | Self::Full => Some(Outcome::NotRun),
        }
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// With this response.
    Response(Arc<Response>),
    /// With a response that is too large to store.
    TooLarge,
    /// Without a response, after bytes were sent to a target.
    Unknown,
    /// Before any byte was sent to a target.
    NotRun,
}

#[derive(Debug)]
enum State {
    /// Holds the ids of the waiting requests.
    Running(Vec<u64>),
    Stored(Arc<Response>),
    Completed,
    Interrupted,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    /// Sequence number of its end; 0 while it runs.
    end_sequence: u64,
    state: State,
}

/// The entries of one shard.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    entries: BTreeMap<u128, Entry>,
    /// Ended entries by sequence number, with the active time at their end.
    expiry_queue: BTreeMap<u64, (Duration, u128)>,
    /// Entries with a stored response by sequence number.
    response_queue: BTreeMap<u64, u128>,
    /// Total size of stored responses.
    response_bytes: usize,
    /// Number of ended runs.
    sequence: u64,
    /// Time for which the process has been running; a pause counts for at most [`MAX_AGE_STEP`].
    active_time: Duration,
    /// When `active_time` was last advanced; `None` before the first call.
    last_advanced_at: Option<Instant>,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            expiry_queue: BTreeMap::new(),
            response_queue: BTreeMap::new(),
            response_bytes: 0,
            sequence: 0,
            active_time: Duration::ZERO,
            last_advanced_at: None,
        }
    }

    /// Looks up a key; if it is running, adds `waiter_id` to its waiters. Returns `None` without an
    /// entry.
    pub fn lookup(&mut self, key: &Key, fingerprint: u64, waiter_id: u64) -> Option<Claim> {
        let entry = self.entries.get_mut(&key.digest())?;
        if entry.fingerprint != fingerprint {
            return Some(Claim::Reused);
        }
        Some(match &mut entry.state {
            State::Running(waiters) => {
                waiters.push(waiter_id);
                Claim::Join
            }
            State::Stored(response) => Claim::Replay(response.clone()),
            State::Completed => Claim::Completed,
            State::Interrupted => Claim::Interrupted,
        })
    }

    /// Claims a key for a run, or returns the state of its entry.
    pub fn claim(&mut self, key: &Key, fingerprint: u64, waiter_id: u64, now: Instant) -> Claim {
        self.advance(now);
        if let Some(claim) = self.lookup(key, fingerprint, waiter_id) {
            return claim;
        }
        if self.entries.len() >= self.limits.entries {
            self.remove_expired();
        }
        if self.entries.len() >= self.limits.entries {
            return Claim::Full;
        }
        let entry = Entry {
            fingerprint,
            end_sequence: 0,
            state: State::Running(Vec::new()),
        };
        self.entries.insert(key.digest(), entry);
        Claim::Run
    }

    /// Removes a waiter whose deadline passed or whose caller disconnected.
    pub fn remove_waiter(&mut self, key: &Key, waiter_id: u64) {
        if let Some(entry) = self.entries.get_mut(&key.digest())
            && let State::Running(waiters) = &mut entry.state
        {
            waiters.retain(|known| *known != waiter_id);
        }
    }

    /// Records the end of a run and returns the ids of the waiters to wake; does nothing for a key
    /// that is not running.
    pub fn finish(&mut self, key: &Key, finish: Finish, now: Instant) -> Vec<u64> {
        self.advance(now);
        let digest = key.digest();
        let Some(entry) = self.entries.get_mut(&digest) else {
            return Vec::new();
        };
        let State::Running(waiters) = &mut entry.state else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);
        match finish {
            Finish::NotRun => {
                self.entries.remove(&digest);
            }
            Finish::Response(response) => self.store_response(digest, response),
            Finish::TooLarge => self.record_end(digest, State::Completed),
            Finish::Unknown => self.record_end(digest, State::Interrupted),
        }
        waiters
    }

    /// Evicts entries whose retention period is over; to be called about once per second, and in
    /// any case more often than every [`MAX_AGE_STEP`].
    pub fn evict_expired(&mut self, now: Instant) {
        self.advance(now);
        self.remove_expired();
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of stored responses, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    fn advance(&mut self, now: Instant) {
        let last_advanced_at = *self.last_advanced_at.get_or_insert(now);
        self.active_time += now
            .saturating_duration_since(last_advanced_at)
            .min(MAX_AGE_STEP);
        self.last_advanced_at = Some(now.max(last_advanced_at));
    }

    fn store_response(&mut self, digest: u128, response: Arc<Response>) {
        let size = response.size();
        if size > MAX_RESPONSE_BYTES.min(self.limits.response_bytes) {
            return self.record_end(digest, State::Completed);
        }
        self.response_bytes += size;
        self.record_end(digest, State::Stored(response));
        self.response_queue.insert(self.sequence, digest);
        while self.response_bytes > self.limits.response_bytes {
            self.evict_oldest_response();
        }
    }

    fn record_end(&mut self, digest: u128, state: State) {
        self.sequence += 1;
        self.expiry_queue
            .insert(self.sequence, (self.active_time, digest));
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.end_sequence = self.sequence;
            entry.state = state;
        }
    }

    fn evict_oldest_response(&mut self) {
        let Some((_, digest)) = self.response_queue.pop_first() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&digest) else {
            return;
        };
        if let State::Stored(response) = std::mem::replace(&mut entry.state, State::Completed) {
            self.response_bytes -= response.size();
        }
    }

    fn remove_expired(&mut self) {
        // `MAX_AGE_STEP` is added because a pause may have aged the entry by that much.
        let kept_for = self.limits.retention + OWNERSHIP_GRACE + MAX_AGE_STEP;
        while let Some(entry) = self.expiry_queue.first_entry() {
            let (ended_at, digest) = *entry.get();
            if ended_at + kept_for > self.active_time {
                return;
            }
            entry.remove();
            self.remove_entry(digest);
        }
    }

    fn remove_entry(&mut self, digest: u128) {
        let Some(entry) = self.entries.remove(&digest) else {
            return;
        };
        if let State::Stored(response) = entry.state {
            self.response_bytes -= response.size();
            self.response_queue.remove(&entry.end_sequence);
        }
    }
}
