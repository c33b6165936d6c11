//! Gossip: selection of the peers to notify, and the rate limit of datagrams.
//!
//! Each round sends a heartbeat to one instance of the same service, one of the same failure domain
//! and two of all instances. A node that accepts a new version also notifies [`EAGER_FANOUT`] or
//! [`ROSTER_FANOUT`] random peers once; the other peers learn the version from heartbeats of later rounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_model::roster::Roster;
use fastrand::Rng;

/// Interval between two rounds of heartbeats.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Number of peers that are notified immediately of a new configuration.
pub const EAGER_FANOUT: usize = 8;

/// Number of peers that are notified immediately of a new roster; fewer than of a configuration,
/// since rosters change several times a second in a large fleet.
pub const ROSTER_FANOUT: usize = 4;

/// Sustained rate limit of gossip. 16 heartbeats of about 200 bytes per second need 3.2 KB/s.
pub const RATE_BYTES_PER_S: u32 = 4000;

/// Burst limit of gossip: two eager notifications and a round.
pub const BURST_BYTES: u32 = 4800;

/// Part of the burst that is reserved for eager notifications, so that heartbeats do not delay a
/// new version.
pub const EAGER_RESERVE_BYTES: u32 = 1600;

/// Size of the IP and UDP headers of a datagram.
pub const UDP_IP_HEADER_BYTES: usize = 28;

/// Peers of one node, grouped by shared service and failure domain. The groups hold indices into
/// the roster.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    roster: Arc<Roster>,
    same_service: Vec<usize>,
    same_domain: Vec<usize>,
    all: Vec<usize>,
}

impl Peers {
    /// Groups the instances of a roster, without the instance `id` itself.
    pub fn new(roster: Arc<Roster>, id: &str, service: &str, domain: &str) -> Self {
        let mut peers = Self::default();
        for (index, instance) in roster.instances.iter().enumerate() {
            if &*instance.id == id {
                continue;
            }
            peers.all.push(index);
            if &*instance.service == service {
                peers.same_service.push(index);
            }
            if &*instance.domain == domain {
                peers.same_domain.push(index);
            }
        }
        peers.roster = roster;
        peers
    }

    /// Whether the roster lists any other instance.
    pub fn has_peers(&self) -> bool {
        !self.all.is_empty()
    }

    /// Addresses of all peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.all.iter().map(|index| self.address(*index)).collect()
    }

    /// Selects the destinations of one round.
    pub fn select_round(&self, random: &mut Rng) -> Vec<SocketAddr> {
        let mut selected = Vec::new();
        let groups = [&self.same_service, &self.same_domain, &self.all, &self.all];
        for group in groups {
            add_random(group, &mut selected, random);
        }
        selected.iter().map(|index| self.address(*index)).collect()
    }

    /// Selects the destinations of an eager notification.
    pub fn select_eager(&self, fanout: usize, random: &mut Rng) -> Vec<SocketAddr> {
        let mut selected = Vec::new();
        for _ in 0..fanout {
            add_random(&self.all, &mut selected, random);
        }
        selected.iter().map(|index| self.address(*index)).collect()
    }

    /// Selects a random peer and returns its index in the roster; `None` without peers.
    pub fn random_index(&self, random: &mut Rng) -> Option<usize> {
        random.choice(&self.all).copied()
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.roster.instances[index].peer
    }
}

/// Adds a random member that is not selected yet; gives up after four attempts.
fn add_random(group: &[usize], selected: &mut Vec<usize>, random: &mut Rng) {
    for _ in 0..4 {
        let Some(index) = random.choice(group) else {
            return;
        };
        if !selected.contains(index) {
            selected.push(*index);
            return;
        }
    }
}

/// Token bucket that limits the bytes sent.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Bytes that may be sent.
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: f64::from(BURST_BYTES),
            refilled_at: now,
        }
    }

    /// Takes tokens for `bytes` if at least `reserve` tokens remain; returns whether it did.
    pub fn try_take(&mut self, bytes: u32, reserve: u32, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let tokens = self.tokens + elapsed.as_secs_f64() * f64::from(RATE_BYTES_PER_S);
        self.tokens = tokens.min(f64::from(BURST_BYTES));
        self.refilled_at = now;
        let is_available = self.tokens >= f64::from(bytes) + f64::from(reserve);
        if is_available {
            self.tokens -= f64::from(bytes);
        }
        is_available
    }
}
