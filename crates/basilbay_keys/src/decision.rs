//! Decision of a key's owner whether to run a request, respond from the store or refuse it. The
//! inputs are the store's entry for the key and the permission that follows from the roster.

use std::time::Instant;

use basilbay_wire::problem::Outcome;

use crate::key::Key;
use crate::owner::Permission;
use crate::store::{Claim, Shards};

/// How a daemon handles a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The store has an entry for the key, or the key was claimed for a run.
    Claim(Claim),
    /// The store has no entry for the key, and it must not run here.
    Denied(Permission),
}

impl Decision {
    /// Outcome to report if the request gets a problem response without a run; `None` if it runs,
    /// waits for a run or gets a stored response.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Claim(claim) => claim.outcome(),
            Self::Denied(permission) => permission.outcome(),
        }
    }
}

/// Looks up the key in the store, then checks permission, then claims the key, all under the lock
/// of the key's shard.
///
/// For a key with an entry, the store decides regardless of the roster. Checking permission before
/// the lookup, or without the lock, could report a key as not run although it has run, or run a key
/// a second time if its entry was evicted between the two steps.
pub fn decide(
    shards: &Shards,
    key: &Key,
    fingerprint: u64,
    waiter_id: u64,
    now: Instant,
    permission: impl FnOnce() -> Permission,
) -> Decision {
    let mut store = shards.lock(key);
    if let Some(claim) = store.lookup(key, fingerprint, waiter_id) {
        return Decision::Claim(claim);
    }
    match permission() {
        Permission::Granted => Decision::Claim(store.claim(key, fingerprint, waiter_id, now)),
        denied => Decision::Denied(denied),
    }
}
