//! Selection of the daemons that read the platform, and the timing of reads.
//!
//! In each failure domain, the two live instances with the highest rendezvous hash are readers:
//! they long-poll the configuration and poll the roster. The selection needs no coordination; while
//! rosters differ, there may be one reader more or less for a short time. Other daemons read the
//! platform only when their information from peers is stale, with a delay of up to [`MAX_JITTER`]
//! so that the reads of a whole fleet are spread over time.

use std::time::{Duration, Instant};

use basilbay_model::id::InstanceId;
use basilbay_model::roster::{Roster, State};
use fastrand::Rng;
use sha2::{Digest as _, Sha256};

use crate::view::digest_prefix;

/// Default number of readers in each failure domain. The second one covers the time until a failure
/// of the first is detected. Where reads are billed and there are several failure domains, one
/// reader per domain suffices, because the readers of the other domains cover its failure.
pub const DEFAULT_READERS: usize = 2;

/// Interval at which a reader polls the roster.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a long poll of the configuration ends. It is short because a dead connection is
/// detected only when the long poll should have ended, and a change must be active within 4 s.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for responses of the platform, in addition to the duration of a long poll.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of the roster beyond which daemons that are not readers read the platform.
pub const STALE_AFTER: Duration = Duration::from_secs(2);

/// Time without a message from any peer after which a daemon reads the platform. It is below
/// [`crate::readiness::ISOLATION_TIMEOUT`] by more than the jitter, so that the daemon has
/// contacted the platform before it considers itself isolated.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum random delay of reads by daemons that are not readers, and of the first read at startup.
pub const MAX_JITTER: Duration = Duration::from_secs(1);

/// Minimum interval between two reads of one part by a daemon that is not a reader.
///
/// 630 daemons that reach only the platform then make at most 1,260 reads in any second. Jitter is
/// added for the roster. The sum is below [`crate::readiness::ISOLATION_TIMEOUT`], so that a daemon
/// which reaches only the platform stays ready.
pub const DIRECT_READ_INTERVAL: Duration = Duration::from_millis(1500);

/// Time that a new daemon waits for a configuration from its peers before it reads the platform;
/// twice the jitter is added.
pub const CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Like [`CONFIG_WAIT`], while the readers keep the roster fresh.
pub const CONFIG_WAIT_WITH_READERS: Duration = Duration::from_secs(5);

/// Delay of the configuration read after the roster read, for daemons that are not readers.
///
/// When the platform stops responding, all daemons start to read it. With both reads in the same
/// second and a retry after 250 ms, 630 daemons made 1,895 reads/s.
pub const CONFIG_READ_DELAY: Duration = Duration::from_secs(1);

/// Initial and maximum delay of a reader after failed reads.
const READER_BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Initial and maximum delay of other daemons after failed reads.
const NON_READER_BACKOFF: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(8));

/// Selects up to `count` readers among the live instances of a failure domain, highest rank first.
/// `leaving` must be sorted.
pub fn select(
    roster: &Roster,
    domain: &str,
    leaving: &[InstanceId],
    count: usize,
) -> Vec<InstanceId> {
    let live = roster.instances.iter().filter(|instance| {
        &*instance.domain == domain
            && instance.state == State::Live
            && leaving.binary_search(&instance.id).is_err()
    });
    let mut ranked: Vec<(u64, &InstanceId)> = live
        .map(|instance| (rank(domain, &instance.id), &instance.id))
        .collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Rank of an instance among the candidates of a group.
pub(crate) fn rank(domain: &str, id: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(domain.as_bytes());
    hasher.update([0]);
    hasher.update(id.as_bytes());
    digest_prefix(&hasher.finalize().into())
}

/// Random duration between zero and `duration`.
pub fn random_fraction(duration: Duration, random: &mut Rng) -> Duration {
    duration.mul_f64(random.f64())
}

/// Exponential backoff after failed reads.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Number of consecutive failures.
    failures: u32,
    retry_at: Instant,
}

impl Backoff {
    /// Creates a backoff without delay.
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            retry_at: now,
        }
    }

    /// Whether the delay has elapsed and a read may be made.
    pub fn is_elapsed(&self, now: Instant) -> bool {
        now >= self.retry_at
    }

    /// Whether the last read failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Resets the delay after a successful read.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Doubles the delay up to its limit after a failed or stale read. The second half of the delay
    /// is randomized.
    pub fn record_failure(&mut self, is_reader: bool, now: Instant, random: &mut Rng) {
        let (first, limit) = if is_reader {
            READER_BACKOFF
        } else {
            NON_READER_BACKOFF
        };
        let delay = first * 2_u32.saturating_pow(self.failures.min(8));
        let delay = delay.min(limit);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + delay / 2 + random_fraction(delay / 2, random);
    }
}
