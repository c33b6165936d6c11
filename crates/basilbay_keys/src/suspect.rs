//! Quarantine of requests that were in flight when a target crashed.
//!
//! A crash counts once for each request in flight on the target. A request with one crash runs
//! isolated, with no other suspect on the same target, and is cleared when it completes. A request
//! with two crashes is refused until [`RETENTION`] has passed; a completion no longer clears it.
//!
//! Several requests may share both of their crashes, because a hedged request runs on two targets
//! at once and because a crash report may arrive late. None of these is refused; each runs isolated
//! once more, which separates the cause from the requests that ran concurrently.
//!
//! Daemons of one service report to each other how often their own target crashed with a request in
//! flight. The counts of all targets are added up. A report carries the total of its target, so a
//! duplicate changes nothing.

use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, ServiceId};
use basilbay_wire::datagram::Suspicion;

use crate::digest;

/// Time for which a suspect is kept after its last crash or the last report of one.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of suspects; beyond it, the oldest are evicted.
pub const MAX_SUSPECTS: usize = 1024;

/// Length of the body prefix that identifies a request without a key.
pub const BODY_PREFIX_BYTES: usize = 4096;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Concurrently with any other request.
    Unrestricted,
    /// With no other suspect on the same target.
    Isolated,
    /// Must not run.
    Refused,
}

/// Target of another daemon of the service, or `None` for the local target.
type Target = Option<InstanceId>;

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    /// Number of crashes by target, sorted by target.
    crashes: Vec<(Target, u32)>,
    /// Whether the request has ever completed. If so, it is not considered the cause of crashes
    /// that a request which never completed shares with it.
    has_completed: bool,
    expires_at: Instant,
}

/// Suspect requests of one service.
#[derive(Clone, Debug)]
pub struct Suspects {
    service: ServiceId,
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
}

/// Hashes the identity of a request: its key, or the first 4 KB of its body if it has none.
pub fn fingerprint(
    service: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body_prefix: &[u8],
) -> u64 {
    let (tag, content) = match key {
        Some(key) => ("key", key.as_bytes()),
        None => ("body", truncate(body_prefix)),
    };
    digest::sha256_u64(&[
        service.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        tag.as_bytes(),
        content,
    ])
}

impl Suspects {
    /// Creates an empty set.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            entries: Vec::new(),
        }
    }

    /// Determines how a request may run.
    pub fn check(&self, fingerprint: u64, now: Instant) -> Disposition {
        let Some(entry) = self.entry(fingerprint, now) else {
            return Disposition::Unrestricted;
        };
        match entry.total_crashes() {
            0 => Disposition::Unrestricted,
            1 => Disposition::Isolated,
            _ if self.shares_crashes(entry, now) => Disposition::Isolated,
            _ => Disposition::Refused,
        }
    }

    /// Counts a crash of the local target for each fingerprint in flight, and returns the reports
    /// for the other daemons of the service.
    pub fn record_crash(&mut self, in_flight: &[u64], now: Instant) -> Vec<Suspicion> {
        self.evict_expired(now);
        let mut distinct = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        distinct
            .into_iter()
            .map(|fingerprint| {
                let local_crashes = self.entry_mut(fingerprint, now).crashes_mut(None);
                *local_crashes += 1;
                let crashes = *local_crashes;
                self.suspicion(fingerprint, crashes)
            })
            .collect()
    }

    /// Clears a suspect unless it is refused, and returns the report for the other daemons of the
    /// service; `None` if nothing was cleared.
    pub fn record_completion(&mut self, fingerprint: u64, now: Instant) -> Option<Suspicion> {
        self.evict_expired(now);
        let cleared = self.clear(fingerprint, now);
        cleared.then(|| self.suspicion(fingerprint, 0))
    }

    /// Applies a report of the daemon `origin` about its target; 0 crashes mean that the request
    /// has completed there.
    pub fn merge(&mut self, origin: &InstanceId, report: &Suspicion, now: Instant) {
        if report.service != self.service {
            return;
        }
        self.evict_expired(now);
        if report.crashes == 0 {
            self.clear(report.fingerprint, now);
            return;
        }
        let entry = self.entry_mut(report.fingerprint, now);
        let crashes = entry.crashes_mut(Some(origin.clone()));
        *crashes = report.crashes.max(*crashes);
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
        let Ok(index) = self.position(fingerprint) else {
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

    /// Whether another request, which has never completed, shares all crashes of this one.
    fn shares_crashes(&self, entry: &Entry, now: Instant) -> bool {
        self.entries.iter().any(|other| {
            other.fingerprint != entry.fingerprint
                && now < other.expires_at
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

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn entry(&self, fingerprint: u64, now: Instant) -> Option<&Entry> {
        let index = self.position(fingerprint).ok()?;
        self.entries
            .get(index)
            .filter(|entry| now < entry.expires_at)
    }

    fn entry_mut(&mut self, fingerprint: u64, now: Instant) -> &mut Entry {
        if self.position(fingerprint).is_err() && self.entries.len() >= MAX_SUSPECTS {
            self.evict_oldest();
        }
        let index = match self.position(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Entry::new(fingerprint, now));
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.expires_at = now + RETENTION;
        entry
    }

    fn evict_oldest(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].expires_at);
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn evict_expired(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.expires_at);
    }
}

impl Entry {
    fn new(fingerprint: u64, now: Instant) -> Self {
        Self {
            fingerprint,
            crashes: Vec::new(),
            has_completed: false,
            expires_at: now + RETENTION,
        }
    }

    /// Number of crashes over all targets.
    fn total_crashes(&self) -> u32 {
        self.crashes.iter().map(|(_, count)| *count).sum()
    }

    /// Number of crashes of one target, inserted as 0 if missing.
    fn crashes_mut(&mut self, target: Target) -> &mut u32 {
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

fn truncate(body: &[u8]) -> &[u8] {
    &body[..body.len().min(BODY_PREFIX_BYTES)]
}
