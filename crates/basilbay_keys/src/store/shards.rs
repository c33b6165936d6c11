//! The idempotency store of a daemon, sharded by key digest to reduce lock contention.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::key::Key;
use crate::store::{Claim, Finish, Limits, Store};

/// Number of shards; at most 16, since the upper 4 bits of a digest select one.
const SHARD_COUNT: usize = 16;

/// 16 stores with their own locks; the digest of a key selects its shard.
#[derive(Debug)]
pub struct Shards {
    shards: Vec<Mutex<Store>>,
}

impl Shards {
    /// Creates empty shards and divides the limits evenly among them.
    pub fn new(limits: Limits) -> Self {
        let shard_limits = Limits {
            entries: limits.entries.div_ceil(SHARD_COUNT),
            response_bytes: limits.response_bytes.div_ceil(SHARD_COUNT),
            retention: limits.retention,
        };
        let shards = (0..SHARD_COUNT)
            .map(|_| Mutex::new(Store::new(shard_limits)))
            .collect();
        Self { shards }
    }

    /// Locks the shard of a key.
    pub fn lock(&self, key: &Key) -> MutexGuard<'_, Store> {
        let index = (key.digest() >> 124) as usize % SHARD_COUNT;
        lock_shard(&self.shards[index])
    }

    /// Claims a key for a run, or returns the state of its entry.
    pub fn claim(&self, key: &Key, fingerprint: u64, waiter_id: u64, now: Instant) -> Claim {
        self.lock(key).claim(key, fingerprint, waiter_id, now)
    }

    /// Records the end of a run and returns the ids of the waiters to wake.
    pub fn finish(&self, key: &Key, finish: Finish, now: Instant) -> Vec<u64> {
        self.lock(key).finish(key, finish, now)
    }

    /// Removes a waiter whose deadline passed or whose caller disconnected.
    pub fn remove_waiter(&self, key: &Key, waiter_id: u64) {
        self.lock(key).remove_waiter(key, waiter_id);
    }

    /// Evicts entries whose retention period is over, locking one shard at a time.
    pub fn evict_expired(&self, now: Instant) {
        for shard in &self.shards {
            lock_shard(shard).evict_expired(now);
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| lock_shard(shard).len())
            .sum()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total size of stored responses, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| lock_shard(shard).response_bytes())
            .sum()
    }
}

/// Locks a shard even if it is poisoned: its entries are still in place after a panic, and
/// discarding them could run a key twice.
fn lock_shard(shard: &Mutex<Store>) -> MutexGuard<'_, Store> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
