//! Requests that were in flight when a target crashed.
//!
//! Each crash counts once for each request on the target. A request with one crash runs without
//! another suspect beside it and is cleared when it completes; one with two crashes is refused
//! until the retention is over, whatever completes.
//!
//! A daemon sends its total with each crash and never repeats what it only heard. So a daemon that
//! saw a crash itself and hears of one from a sibling knows of two, even if neither had heard the
//! other before, and it tells the others, who cannot tell two equal reports from a repetition.

use std::time::{Duration, Instant};

use basilbay_model::id::ServiceId;
use basilbay_wire::datagram::Suspicion;

use crate::digest;

/// Time for which a suspicion is kept after its last crash.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Number of suspects that are kept; the oldest are dropped beyond it.
pub const MAX_SUSPECTS: usize = 1024;

/// Crashes after which a request is refused.
pub const REFUSED_CRASHES: u32 = 2;

/// Bytes of the body that identify a request without a key.
pub const BODY_PREFIX_BYTES: usize = 4096;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Beside any other.
    Clear,
    /// Without another suspect on the same target.
    Alone,
    /// Not at all.
    Refuse,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    /// Crashes known of in all.
    crashes: u32,
    /// Crashes of this daemon's own target.
    own: u32,
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
    pub fn check(&self, fingerprint: u64, now: Instant) -> Verdict {
        let crashes = self
            .entry(fingerprint, now)
            .map_or(0, |entry| entry.crashes);
        match crashes {
            0 => Verdict::Clear,
            1 => Verdict::Alone,
            _ => Verdict::Refuse,
        }
    }

    /// Counts a crash of the own target, and returns what siblings are to be told.
    pub fn crashed(&mut self, in_flight: &[u64], now: Instant) -> Vec<Suspicion> {
        self.drop_expired(now);
        let mut distinct = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        distinct
            .into_iter()
            .map(|fingerprint| self.count_own(fingerprint, now))
            .collect()
    }

    /// Clears a suspect with one crash, and returns the clearance that siblings are to be told.
    pub fn completed(&mut self, fingerprint: u64, now: Instant) -> Option<Suspicion> {
        self.drop_expired(now);
        let cleared = self.clear(fingerprint);
        cleared.then(|| self.suspicion(fingerprint, 0))
    }

    /// Takes in what a sibling said; returns what the siblings have to be told in turn.
    pub fn merge(&mut self, heard: &Suspicion, now: Instant) -> Option<Suspicion> {
        if heard.service != self.service {
            return None;
        }
        self.drop_expired(now);
        if heard.crashes == 0 {
            self.clear(heard.fingerprint);
            return None;
        }
        let entry = self.entry_mut(heard.fingerprint, now);
        let known = entry.crashes;
        let inferred = entry.own + 1;
        let crashes = known.max(heard.crashes).max(inferred);
        if crashes == known {
            return None;
        }
        entry.crashes = crashes;
        entry.until = now + RETENTION;
        let news = crashes > heard.crashes;
        news.then(|| self.suspicion(heard.fingerprint, crashes))
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn count_own(&mut self, fingerprint: u64, now: Instant) -> Suspicion {
        let entry = self.entry_mut(fingerprint, now);
        entry.own += 1;
        entry.crashes += 1;
        entry.until = now + RETENTION;
        let crashes = entry.crashes;
        self.suspicion(fingerprint, crashes)
    }

    fn clear(&mut self, fingerprint: u64) -> bool {
        let Ok(index) = self.place(fingerprint) else {
            return false;
        };
        if self.entries[index].crashes >= REFUSED_CRASHES {
            return false;
        }
        self.entries.remove(index);
        true
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
        &mut self.entries[index]
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
            crashes: 0,
            own: 0,
            until: now + RETENTION,
        }
    }
}

fn head(body: &[u8]) -> &[u8] {
    &body[..body.len().min(BODY_PREFIX_BYTES)]
}
