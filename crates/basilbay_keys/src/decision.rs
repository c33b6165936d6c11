//! The decision of a home daemon about one request with a key.

use std::time::Instant;

use basilbay_wire::problem::Outcome;

use crate::key::Key;
use crate::owner::Permission;
use crate::store::{Claim, Shards};

/// What a daemon does with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The memory answers, or the key was claimed for a run.
    Claim(Claim),
    /// The key is not in the memory and must not run here.
    Denied(Permission),
}

impl Decision {
    /// What the caller may be told when basilbay answers at once.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Claim(claim) => claim.outcome(),
            Self::Denied(permission) => permission.outcome(),
        }
    }
}

/// Asks the memory, then for permission, then claims, all under the lock of the key's shard.
///
/// A key that is remembered is answered from memory whatever the view is. Asking for permission
/// before the memory, or without the lock, would report a key as not run that has run, or run a
/// key again that was forgotten between the two steps.
pub fn decide(
    shards: &Shards,
    key: &Key,
    fingerprint: u64,
    waiter: u64,
    now: Instant,
    permission: impl FnOnce() -> Permission,
) -> Decision {
    let mut memory = shards.lock(key);
    if let Some(claim) = memory.lookup(key, fingerprint, waiter) {
        return Decision::Claim(claim);
    }
    match permission() {
        Permission::Granted => Decision::Claim(memory.claim(key, fingerprint, waiter, now)),
        denied => Decision::Denied(denied),
    }
}
