//! Changes between versions of the roster, from which pulls are answered instead of with all
//! instances.
//!
//! In a large fleet some instance starts or leaves several times a second, and each change reaches
//! every daemon. A [`Log`] therefore remembers which instances each version changed. A receiver
//! applies the changes to its own copy and compares the digest of the result; if the two copies had
//! diverged, the digests differ and it pulls all instances.

use std::sync::Arc;

use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::{Instance, Roster};
use basilbay_wire::control::Changes;
use basilbay_wire::frame;
use sha2::{Digest as _, Sha256};

use crate::view::digest_prefix;

/// Maximum number of versions in a log.
pub const MAX_VERSIONS: usize = 64;

/// Maximum number of changed instances in a log, counted once for each version that changed them.
pub const MAX_IDS: usize = 4_096;

/// Digest of the instances of a roster, without its version.
pub fn digest(instances: &[Instance]) -> u64 {
    let instances = frame::encode(&instances);
    digest_prefix(&Sha256::digest(instances).into())
}

/// Ids of the instances that each of the latest versions changed.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Oldest version to which changes are known; 0 before the first roster.
    base: Version,
    /// Sorted by version.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    version: Version,
    ids: Vec<InstanceId>,
}

impl Log {
    /// Records that `after` replaced `before`; without `before`, the log starts at `after`.
    pub fn record(&mut self, before: Option<&Roster>, after: &Roster) {
        let Some(before) = before else {
            self.base = after.version;
            self.entries.clear();
            return;
        };
        self.entries.push(Entry {
            version: after.version,
            ids: changed_ids(&before.instances, &after.instances),
        });
        while self.is_over_limits() {
            self.base = self.entries.remove(0).version;
        }
    }

    /// Changes from version `have` to `roster`, the version recorded last; `None` if the log does
    /// not reach back to `have`.
    pub fn since(&self, have: Version, roster: &Roster, digest: u64) -> Option<Changes> {
        let first = match self.entries.binary_search_by_key(&have, |it| it.version) {
            Ok(index) => index + 1,
            Err(_) if have == self.base => 0,
            Err(_) => return None,
        };
        let mut ids: Vec<&InstanceId> = self.entries[first..]
            .iter()
            .flat_map(|entry| &entry.ids)
            .collect();
        ids.sort();
        ids.dedup();
        let (mut updated, mut removed) = (Vec::new(), Vec::new());
        for id in ids {
            match roster.instance(id) {
                Some(instance) => updated.push(instance.clone()),
                None => removed.push(id.clone()),
            }
        }
        Some(Changes {
            base: have,
            updated,
            removed,
            digest,
        })
    }

    fn is_over_limits(&self) -> bool {
        let ids: usize = self.entries.iter().map(|entry| entry.ids.len()).sum();
        self.entries.len() > MAX_VERSIONS || ids > MAX_IDS
    }
}

/// Applies changes to sorted instances; `None` if the result does not have the stated digest.
pub fn apply(instances: &[Instance], changes: &Changes) -> Option<Vec<Instance>> {
    let is_kept = |instance: &&Instance| {
        let is_updated = changes
            .updated
            .binary_search_by(|updated| updated.id.cmp(&instance.id));
        is_updated.is_err() && changes.removed.binary_search(&instance.id).is_err()
    };
    let mut result: Vec<Instance> = instances.iter().filter(is_kept).cloned().collect();
    result.extend(changes.updated.iter().cloned());
    result.sort_by(|left, right| left.id.cmp(&right.id));
    (digest(&result) == changes.digest).then_some(result)
}

/// Ids of the instances that only one of two sorted lists has, or that differ.
fn changed_ids(before: &[Instance], after: &[Instance]) -> Vec<InstanceId> {
    let mut ids = Vec::new();
    let (mut before, mut after) = (before.iter().peekable(), after.iter().peekable());
    loop {
        let order = match (before.peek(), after.peek()) {
            (None, None) => return ids,
            (Some(_), None) => std::cmp::Ordering::Less,
            (None, Some(_)) => std::cmp::Ordering::Greater,
            (Some(old), Some(new)) => old.id.cmp(&new.id),
        };
        let old = order.is_le().then(|| before.next()).flatten();
        let new = order.is_ge().then(|| after.next()).flatten();
        if old != new {
            ids.extend(old.or(new).map(|instance| Arc::clone(&instance.id)));
        }
    }
}
