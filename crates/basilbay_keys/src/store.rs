//! What a home daemon remembers of its keys.
//!
//! An entry is kept for each key from its claim until the retention after its end. The stored answer
//! is kept while the byte budget lasts; the oldest answers go first and their facts stay. A running
//! key is never forgotten.
//!
//! Facts are kept in a B-tree by the key's 128-bit digest. A sorted vector of 100,000 entries moves
//! hundreds of kilobytes for each insertion; `benches/keys.rs` measures both layouts, and
//! `docs/decisions/at-most-once.md` has the figures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_wire::problem::Outcome;

use crate::key::Key;
use crate::owner::OWNERSHIP_GRACE;

mod shards;

pub use shards::Shards;

/// Largest answer that is stored.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Longest time that one call of `forget` adds to the age of facts.
///
/// A daemon that was paused reads requests that arrived during the pause. They are resends within
/// the retention, so the time of the pause must not make their keys forgotten before they are
/// read. `forget` has to be called more often than this.
pub const MAX_AGE_STEP: Duration = Duration::from_secs(30);

/// Bytes counted for each header and each answer beside its text.
const OVERHEAD_BYTES: usize = 48;

/// Bounds of a memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys that are remembered.
    pub entries: usize,
    /// Bytes of stored answers.
    pub response_bytes: usize,
    /// Time for which callers may resend a key.
    pub retention: Duration,
}

/// An answer as stored for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// Body.
    pub body: Arc<[u8]>,
}

impl Response {
    /// Bytes counted against the budget.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + OVERHEAD_BYTES)
            .sum();
        headers + self.body.len() + OVERHEAD_BYTES
    }
}

/// What a request with a key gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It runs; the caller of `claim` must call `finish` in every case.
    Run,
    /// The key is running, and the request waits as listed.
    Join,
    /// The key completed with this answer.
    Replay(Arc<Response>),
    /// The key completed; its answer is not stored.
    Completed,
    /// The key may have run.
    Interrupted,
    /// The key was used with another content.
    Reused,
    /// There is no room for another key.
    Full,
}

impl Claim {
    /// What the caller may be told when basilbay answers at once.
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
    /// With this answer.
    Response(Arc<Response>),
    /// With an answer that is too large to store.
    TooLarge,
    /// After bytes were sent, without an answer.
    Unknown,
    /// No byte was sent to any target.
    NotRun,
}

#[derive(Debug)]
enum State {
    Running(Vec<u64>),
    Stored(Arc<Response>),
    Completed,
    Interrupted,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    /// Place in the order of ends; 0 while it runs.
    ended: u64,
    state: State,
}

/// Store of one shard.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    entries: BTreeMap<u128, Entry>,
    /// Ended facts in the order of their ends, with the age of the memory then.
    ends: BTreeMap<u64, (Duration, u128)>,
    /// Stored answers in the order of their ends.
    stored: BTreeMap<u64, u128>,
    response_bytes: usize,
    counter: u64,
    /// Time for which the memory has been awake; a pause counts for at most `MAX_AGE_STEP`.
    age: Duration,
    last: Option<Instant>,
}

impl Store {
    /// An empty memory.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            ends: BTreeMap::new(),
            stored: BTreeMap::new(),
            response_bytes: 0,
            counter: 0,
            age: Duration::ZERO,
            last: None,
        }
    }

    /// What is remembered of a key; a waiter is listed when the key is running.
    pub fn lookup(&mut self, key: &Key, fingerprint: u64, waiter: u64) -> Option<Claim> {
        let entry = self.entries.get_mut(&key.digest())?;
        if entry.fingerprint != fingerprint {
            return Some(Claim::Reused);
        }
        Some(match &mut entry.state {
            State::Running(waiters) => {
                waiters.push(waiter);
                Claim::Join
            }
            State::Stored(answer) => Claim::Replay(answer.clone()),
            State::Completed => Claim::Completed,
            State::Interrupted => Claim::Interrupted,
        })
    }

    /// Claims a key for a run, or says what is remembered of it.
    pub fn claim(&mut self, key: &Key, fingerprint: u64, waiter: u64, now: Instant) -> Claim {
        self.advance(now);
        if let Some(claim) = self.lookup(key, fingerprint, waiter) {
            return claim;
        }
        if self.entries.len() >= self.limits.entries {
            self.drop_expired();
        }
        if self.entries.len() >= self.limits.entries {
            return Claim::Full;
        }
        let entry = Entry {
            fingerprint,
            ended: 0,
            state: State::Running(Vec::new()),
        };
        self.entries.insert(key.digest(), entry);
        Claim::Run
    }

    /// Takes a waiter off the list, because its deadline passed or its caller is gone.
    pub fn remove_waiter(&mut self, key: &Key, waiter: u64) {
        if let Some(entry) = self.entries.get_mut(&key.digest())
            && let State::Running(waiters) = &mut entry.state
        {
            waiters.retain(|known| *known != waiter);
        }
    }

    /// Ends a run and returns the waiters to wake; a key that is not running is left alone.
    pub fn finish(&mut self, key: &Key, outcome: Finish, now: Instant) -> Vec<u64> {
        self.advance(now);
        let digest = key.digest();
        let Some(entry) = self.entries.get_mut(&digest) else {
            return Vec::new();
        };
        let State::Running(waiters) = &mut entry.state else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);
        match outcome {
            Finish::NotRun => {
                self.entries.remove(&digest);
            }
            Finish::Response(answer) => self.store(digest, answer),
            Finish::TooLarge => self.end(digest, State::Completed),
            Finish::Unknown => self.end(digest, State::Interrupted),
        }
        waiters
    }

    /// Drops facts whose retention is over; to be called about once a second.
    pub fn evict_expired(&mut self, now: Instant) {
        self.advance(now);
        self.drop_expired();
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of stored answers.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    fn advance(&mut self, now: Instant) {
        let last = *self.last.get_or_insert(now);
        self.age += now.saturating_duration_since(last).min(MAX_AGE_STEP);
        self.last = Some(now.max(last));
    }

    fn store(&mut self, digest: u128, answer: Arc<Response>) {
        let size = answer.size();
        if size > MAX_RESPONSE_BYTES.min(self.limits.response_bytes) {
            return self.end(digest, State::Completed);
        }
        self.response_bytes += size;
        self.end(digest, State::Stored(answer));
        self.stored.insert(self.counter, digest);
        while self.response_bytes > self.limits.response_bytes {
            self.evict_oldest_response();
        }
    }

    fn end(&mut self, digest: u128, state: State) {
        self.counter += 1;
        self.ends.insert(self.counter, (self.age, digest));
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.ended = self.counter;
            entry.state = state;
        }
    }

    fn evict_oldest_response(&mut self) {
        let Some((_, digest)) = self.stored.pop_first() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&digest) else {
            return;
        };
        if let State::Stored(answer) = std::mem::replace(&mut entry.state, State::Completed) {
            self.response_bytes -= answer.size();
        }
    }

    fn drop_expired(&mut self) {
        // One step more than the retention, because a pause may have added one step of age.
        let kept = self.limits.retention + OWNERSHIP_GRACE + MAX_AGE_STEP;
        while let Some(entry) = self.ends.first_entry() {
            let (at, digest) = *entry.get();
            if at + kept > self.age {
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
        if let State::Stored(answer) = entry.state {
            self.response_bytes -= answer.size();
            self.stored.remove(&entry.ended);
        }
    }
}
