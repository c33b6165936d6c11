//! Who reads the platform, and when.
//!
//! In each failure domain the two highest live instances by rendezvous hash are readers: they
//! long-poll the configuration and poll the roster. The choice needs no agreement: daemons with
//! differing rosters may have one reader more or less for a moment. Others read only when what they
//! hear is old, spread over [`MAX_JITTER`] so that a whole fleet does not arrive at once.

use std::time::{Duration, Instant};

use basilbay_model::id::InstanceId;
use basilbay_model::roster::{Roster, State};
use fastrand::Rng;
use sha2::{Digest as _, Sha256};

use crate::view::digest_prefix;

/// Readers in each failure domain by default: the second covers the time until the first is known to
/// be gone. Where reads have a price and there are several domains, one does: the others cover it.
pub const DEFAULT_READERS: usize = 2;

/// Time between two polls of the roster by a reader.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a watch waits at the service; short, since a watch on a dead link is noticed by its
/// end only, and a change must be in force within 4 s.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an answer of the platform is given up, beyond the wait of a watch.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of what is heard from which daemons that are not readers read by themselves.
pub const STALE_AFTER: Duration = Duration::from_secs(2);

/// Silence of all peers from which a daemon reads by itself; below [`crate::readiness::ISOLATION_TIMEOUT`]
/// by more than the jitter, so that it knows of the platform before it counts itself isolated.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Spread of the reads that daemons begin by themselves.
pub const MAX_JITTER: Duration = Duration::from_secs(1);

/// Least time between two reads of one part by a daemon that is not a reader: 630 daemons that hear
/// only the platform then make at most 1,260 reads in any second. For the roster plus jitter; together
/// below [`crate::readiness::ISOLATION_TIMEOUT`], so that a daemon which hears only the platform serves on.
pub const DIRECT_READ_INTERVAL: Duration = Duration::from_millis(1500);

/// Time that a new daemon gives its peers to bring a configuration, plus twice the jitter.
pub const CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Time by which the configuration is read later than the roster by daemons that are not readers.
///
/// When the platform stops answering, all daemons begin to read it. Both reads within the same
/// second, tried again after 250 ms, made 1,895 reads/s with 630 daemons.
pub const CONFIG_READ_DELAY: Duration = Duration::from_secs(1);

/// First and longest delay of a reader after failed reads.
const BACKOFF_READER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// First and longest delay of other daemons after failed reads.
const BACKOFF_OTHER: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(8));

/// Readers of a failure domain among the live instances, the first by rank first.
pub fn select(roster: &Roster, domain: &str, left: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let live = roster.instances.iter().filter(|instance| {
        &*instance.domain == domain
            && instance.state == State::Live
            && left.binary_search(&instance.id).is_err()
    });
    let mut ranked: Vec<(u64, &InstanceId)> = live
        .map(|instance| (rank(domain, &instance.id), &instance.id))
        .collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

fn rank(domain: &str, id: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(domain.as_bytes());
    hash.update([0]);
    hash.update(id.as_bytes());
    digest_prefix(&hash.finalize().into())
}

/// A random part of a duration.
pub fn random_fraction(whole: Duration, random: &mut Rng) -> Duration {
    whole.mul_f64(random.f64())
}

/// Delay after failed reads.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    until: Instant,
}

impl Backoff {
    /// Starts without delay.
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            until: now,
        }
    }

    /// Whether a read may be made.
    pub fn is_elapsed(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Whether the last read failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Notes a good read.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Notes a failed or stale read: the delay doubles up to its limit, of which a random half is
    /// left out.
    pub fn record_failure(&mut self, is_reader: bool, now: Instant, random: &mut Rng) {
        let (first, limit) = if is_reader {
            BACKOFF_READER
        } else {
            BACKOFF_OTHER
        };
        let full = first * 2_u32.saturating_pow(self.failures.min(8));
        let full = full.min(limit);
        self.failures = self.failures.saturating_add(1);
        self.until = now + full / 2 + random_fraction(full / 2, random);
    }
}
