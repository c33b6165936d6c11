//! What a home daemon remembers of its keys.
//!
//! A fact is kept for each key from its claim until the retention after its end. The stored answer
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

use crate::home::HOME_GRACE;
use crate::key::Key;

mod shards;

pub use shards::Shards;

/// Largest answer that is stored.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Longest time that one call of `forget` adds to the age of facts.
///
/// A daemon that was paused reads requests that arrived during the pause. They are resends within
/// the retention, so the time of the pause must not make their keys forgotten before they are
/// read. `forget` has to be called more often than this.
pub const FORGET_STEP: Duration = Duration::from_secs(30);

/// Bytes counted for each header and each answer beside its text.
const OVERHEAD_BYTES: usize = 48;

/// Bounds of a memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys that are remembered.
    pub facts: usize,
    /// Bytes of stored answers.
    pub bytes: usize,
    /// Time for which callers may resend a key.
    pub retention: Duration,
}

/// An answer as stored for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// Body.
    pub body: Arc<[u8]>,
}

impl Answer {
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
    Replay(Arc<Answer>),
    /// The key completed; its answer is not stored.
    Completed,
    /// The key may have run.
    Broken,
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
            Self::Completed | Self::Broken => Some(Outcome::Unknown),
            Self::Reused | Self::Full => Some(Outcome::NotRun),
        }
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// With this answer.
    Answer(Arc<Answer>),
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
    Stored(Arc<Answer>),
    Completed,
    Broken,
}

#[derive(Debug)]
struct Fact {
    fingerprint: u64,
    /// Place in the order of ends; 0 while it runs.
    ended: u64,
    state: State,
}

/// Memory of one shard.
#[derive(Debug)]
pub struct Memory {
    limits: Limits,
    facts: BTreeMap<u128, Fact>,
    /// Ended facts in the order of their ends, with the age of the memory then.
    ends: BTreeMap<u64, (Duration, u128)>,
    /// Stored answers in the order of their ends.
    stored: BTreeMap<u64, u128>,
    bytes: usize,
    counter: u64,
    /// Time for which the memory has been awake; a pause counts for at most `FORGET_STEP`.
    age: Duration,
    last: Option<Instant>,
}

impl Memory {
    /// An empty memory.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            facts: BTreeMap::new(),
            ends: BTreeMap::new(),
            stored: BTreeMap::new(),
            bytes: 0,
            counter: 0,
            age: Duration::ZERO,
            last: None,
        }
    }

    /// What is remembered of a key; a waiter is listed when the key is running.
    pub fn recall(&mut self, key: &Key, fingerprint: u64, waiter: u64) -> Option<Claim> {
        let fact = self.facts.get_mut(&key.digest())?;
        if fact.fingerprint != fingerprint {
            return Some(Claim::Reused);
        }
        Some(match &mut fact.state {
            State::Running(waiters) => {
                waiters.push(waiter);
                Claim::Join
            }
            State::Stored(answer) => Claim::Replay(answer.clone()),
            State::Completed => Claim::Completed,
            State::Broken => Claim::Broken,
        })
    }

    /// Claims a key for a run, or says what is remembered of it.
    pub fn claim(&mut self, key: &Key, fingerprint: u64, waiter: u64, now: Instant) -> Claim {
        self.advance(now);
        if let Some(claim) = self.recall(key, fingerprint, waiter) {
            return claim;
        }
        if self.facts.len() >= self.limits.facts {
            self.drop_expired();
        }
        if self.facts.len() >= self.limits.facts {
            return Claim::Full;
        }
        let fact = Fact {
            fingerprint,
            ended: 0,
            state: State::Running(Vec::new()),
        };
        self.facts.insert(key.digest(), fact);
        Claim::Run
    }

    /// Takes a waiter off the list, because its deadline passed or its caller is gone.
    pub fn leave(&mut self, key: &Key, waiter: u64) {
        if let Some(fact) = self.facts.get_mut(&key.digest())
            && let State::Running(waiters) = &mut fact.state
        {
            waiters.retain(|known| *known != waiter);
        }
    }

    /// Ends a run and returns the waiters to wake; a key that is not running is left alone.
    pub fn finish(&mut self, key: &Key, outcome: Finish, now: Instant) -> Vec<u64> {
        self.advance(now);
        let digest = key.digest();
        let Some(fact) = self.facts.get_mut(&digest) else {
            return Vec::new();
        };
        let State::Running(waiters) = &mut fact.state else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);
        match outcome {
            Finish::NotRun => {
                self.facts.remove(&digest);
            }
            Finish::Answer(answer) => self.store(digest, answer),
            Finish::TooLarge => self.end(digest, State::Completed),
            Finish::Unknown => self.end(digest, State::Broken),
        }
        waiters
    }

    /// Drops facts whose retention is over; to be called about once a second.
    pub fn forget(&mut self, now: Instant) {
        self.advance(now);
        self.drop_expired();
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Bytes of stored answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn advance(&mut self, now: Instant) {
        let last = *self.last.get_or_insert(now);
        self.age += now.saturating_duration_since(last).min(FORGET_STEP);
        self.last = Some(now.max(last));
    }

    fn store(&mut self, digest: u128, answer: Arc<Answer>) {
        let size = answer.size();
        if size > MAX_ANSWER_BYTES.min(self.limits.bytes) {
            return self.end(digest, State::Completed);
        }
        self.bytes += size;
        self.end(digest, State::Stored(answer));
        self.stored.insert(self.counter, digest);
        while self.bytes > self.limits.bytes {
            self.drop_oldest_answer();
        }
    }

    fn end(&mut self, digest: u128, state: State) {
        self.counter += 1;
        self.ends.insert(self.counter, (self.age, digest));
        if let Some(fact) = self.facts.get_mut(&digest) {
            fact.ended = self.counter;
            fact.state = state;
        }
    }

    fn drop_oldest_answer(&mut self) {
        let Some((_, digest)) = self.stored.pop_first() else {
            return;
        };
        let Some(fact) = self.facts.get_mut(&digest) else {
            return;
        };
        if let State::Stored(answer) = std::mem::replace(&mut fact.state, State::Completed) {
            self.bytes -= answer.size();
        }
    }

    fn drop_expired(&mut self) {
        // One step more than the retention, because a pause may have added one step of age.
        let kept = self.limits.retention + HOME_GRACE + FORGET_STEP;
        while let Some(entry) = self.ends.first_entry() {
            let (at, digest) = *entry.get();
            if at + kept > self.age {
                return;
            }
            entry.remove();
            self.drop_fact(digest);
        }
    }

    fn drop_fact(&mut self, digest: u128) {
        let Some(fact) = self.facts.remove(&digest) else {
            return;
        };
        if let State::Stored(answer) = fact.state {
            self.bytes -= answer.size();
            self.stored.remove(&fact.ended);
        }
    }
}
