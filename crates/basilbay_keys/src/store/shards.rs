//! The memory of a daemon in shards, each under its own lock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::key::Key;
use crate::store::{Claim, Finish, Limits, Store};

/// Number of shards.
const SHARDS: usize = 16;

/// Store in 16 shards by key.
#[derive(Debug)]
pub struct Shards {
    shards: Vec<Mutex<Store>>,
}

impl Shards {
    /// Empty shards that share the limits evenly.
    pub fn new(limits: Limits) -> Self {
        let each = Limits {
            entries: limits.entries.div_ceil(SHARDS),
            response_bytes: limits.response_bytes.div_ceil(SHARDS),
            retention: limits.retention,
        };
        let shards = (0..SHARDS).map(|_| Mutex::new(Store::new(each))).collect();
        Self { shards }
    }

    /// Locks the shard of a key.
    pub fn lock(&self, key: &Key) -> MutexGuard<'_, Store> {
        let index = (key.digest() >> 124) as usize % SHARDS;
        open(&self.shards[index])
    }

    /// Claims a key for a run, or says what is remembered of it.
    pub fn claim(&self, key: &Key, fingerprint: u64, waiter: u64, now: Instant) -> Claim {
        self.lock(key).claim(key, fingerprint, waiter, now)
    }

    /// Ends a run and returns the waiters to wake.
    pub fn finish(&self, key: &Key, outcome: Finish, now: Instant) -> Vec<u64> {
        self.lock(key).finish(key, outcome, now)
    }

    /// Takes a waiter off the list.
    pub fn remove_waiter(&self, key: &Key, waiter: u64) {
        self.lock(key).remove_waiter(key, waiter);
    }

    /// Drops facts whose retention is over, one shard after the other.
    pub fn evict_expired(&self, now: Instant) {
        for shard in &self.shards {
            open(shard).evict_expired(now);
        }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| open(shard).len()).sum()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of stored answers.
    pub fn response_bytes(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| open(shard).response_bytes())
            .sum()
    }
}

/// A panic under the lock leaves facts in place, and forgetting them could run a key twice.
fn open(shard: &Mutex<Store>) -> MutexGuard<'_, Store> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
