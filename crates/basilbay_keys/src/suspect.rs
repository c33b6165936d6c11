//! Requests that were in flight when a target crashed.
//!
//! Each crash counts once for each request on the target. A request with one crash runs without
//! another suspect beside it and is cleared when it completes; one with two crashes is refused
//! until the retention is over, whatever completes.
//!
//! Several requests may share both crashes: hedges put one request on two targets at once, and a
//! warning may come late. None of those is refused; each runs alone once more, which tells the
//! cause from its neighbours.
//!
//! A daemon tells its siblings how often its own target crashed with a request. The crashes of all
//! targets add up, and a repeated message adds nothing.

use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, ServiceId};
use basilbay_wire::datagram::Suspicion;

use crate::digest;

/// Time for which a suspicion is kept after its last crash.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Number of suspects that are kept; the oldest are dropped beyond it.
pub const MAX_SUSPECTS: usize = 1024;

/// Bytes of the body that identify a request without a key.
pub const BODY_PREFIX_BYTES: usize = 4096;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Beside any other.
    Unrestricted,
    /// Without another suspect on the same target.
    Isolated,
    /// Not at all.
    Refused,
}

/// A target: that of a sibling, or the own one.
type Target = Option<InstanceId>;

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    /// Crashes by target, sorted by target.
    crashes: Vec<(Target, u32)>,
    /// Whether the request once ran through; then it is no cause as long as another may be.
    has_completed: bool,
    until: Instant,
}

/// Suspects of one service.
#[derive(Clone, Debug)]
pub struct Suspects {
    service: ServiceId,
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
}

/// Identifies a request: by its key, or by the first 4 KB of its body.
pub fn fingerprint(
    service: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body_prefix: &[u8],
) -> u64 {
    let (tag, content) = match key {
        Some(key) => ("key", key.as_bytes()),
        None => ("body", head(body_prefix)),
    };
    digest::narrow(&[
        service.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        tag.as_bytes(),
        content,
    ])
}

impl Suspects {
    /// No suspects yet.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            entries: Vec::new(),
        }
    }

    /// How a request may run.
    pub fn check(&self, fingerprint: u64, now: Instant) -> Disposition {
        let Some(entry) = self.entry(fingerprint, now) else {
            return Disposition::Unrestricted;
        };
        match entry.total() {
            0 => Disposition::Unrestricted,
            1 => Disposition::Isolated,
            _ if self.has_company(entry, now) => Disposition::Isolated,
            _ => Disposition::Refused,
        }
    }

    /// Counts a crash of the own target, and returns what siblings are to be told.
    pub fn record_crash(&mut self, in_flight: &[u64], now: Instant) -> Vec<Suspicion> {
        self.drop_expired(now);
        let mut distinct = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        distinct
            .into_iter()
            .map(|fingerprint| {
                let own = self.entry_mut(fingerprint, now).count(None);
                *own += 1;
                let crashes = *own;
                self.suspicion(fingerprint, crashes)
            })
            .collect()
    }

    /// Clears a suspect that is not refused, and returns the clearance that siblings are to be told.
    pub fn record_completion(&mut self, fingerprint: u64, now: Instant) -> Option<Suspicion> {
        self.drop_expired(now);
        let cleared = self.clear(fingerprint, now);
        cleared.then(|| self.suspicion(fingerprint, 0))
    }

    /// Takes in what a sibling said of its own target.
    pub fn merge(&mut self, origin: &InstanceId, heard: &Suspicion, now: Instant) {
        if heard.service != self.service {
            return;
        }
        self.drop_expired(now);
        if heard.crashes == 0 {
            self.clear(heard.fingerprint, now);
            return;
        }
        let entry = self.entry_mut(heard.fingerprint, now);
        let known = entry.count(Some(origin.clone()));
        *known = heard.crashes.max(*known);
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn clear(&mut self, fingerprint: u64, now: Instant) -> bool {
        let is_refused = self.check(fingerprint, now) == Disposition::Refused;
        let Ok(index) = self.place(fingerprint) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if is_refused || entry.crashes.is_empty() {
            return false;
        }
        entry.crashes.clear();
        entry.has_completed = true;
        true
    }

    /// Whether another request that never ran through shares all crashes of this one.
    fn has_company(&self, entry: &Entry, now: Instant) -> bool {
        self.entries.iter().any(|other| {
            other.fingerprint != entry.fingerprint
                && now < other.until
                && !other.has_completed
                && other.crashes == entry.crashes
        })
    }

    fn suspicion(&self, fingerprint: u64, crashes: u32) -> Suspicion {
        Suspicion {
            service: self.service.clone(),
            fingerprint,
            crashes,
        }
    }

    fn place(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn entry(&self, fingerprint: u64, now: Instant) -> Option<&Entry> {
        let index = self.place(fingerprint).ok()?;
        self.entries.get(index).filter(|entry| now < entry.until)
    }

    fn entry_mut(&mut self, fingerprint: u64, now: Instant) -> &mut Entry {
        if self.place(fingerprint).is_err() && self.entries.len() >= MAX_SUSPECTS {
            self.drop_oldest();
        }
        let index = match self.place(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Entry::new(fingerprint, now));
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.until = now + RETENTION;
        entry
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].until);
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.until);
    }
}

impl Entry {
    fn new(fingerprint: u64, now: Instant) -> Self {
        Self {
            fingerprint,
            crashes: Vec::new(),
            has_completed: false,
            until: now + RETENTION,
        }
    }

    /// Crashes of all targets.
    fn total(&self) -> u32 {
        self.crashes.iter().map(|(_, count)| *count).sum()
    }

    /// The crashes of one target.
    fn count(&mut self, target: Target) -> &mut u32 {
        let found = self
            .crashes
            .binary_search_by(|(known, _)| known.cmp(&target));
        let index = found.unwrap_or_else(|index| {
            self.crashes.insert(index, (target, 0));
            index
        });
        &mut self.crashes[index].1
    }
}

fn head(body: &[u8]) -> &[u8] {
    &body[..body.len().min(BODY_PREFIX_BYTES)]
}
