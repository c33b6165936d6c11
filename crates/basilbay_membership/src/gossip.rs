//! Who is told, and how much may be said.
//!
//! Each round goes to one sibling of the service, one instance of the same failure domain and two
//! of all. Every node tells [`EAGER_FANOUT`] others once when a version is new to it; whoever is missed
//! hears it from a heartbeat of the next rounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_model::roster::Roster;
use fastrand::Rng;

/// Time between two rounds of heartbeats.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Peers that are told at once when a version is new.
pub const EAGER_FANOUT: usize = 8;

/// Bytes per second that gossip may send. 16 heartbeats of about 200 bytes need 3.2 KB/s.
pub const RATE_BYTES_PER_S: u32 = 4000;

/// Bytes that may be sent at once: two eager notifications and a round.
pub const BURST_BYTES: u32 = 4800;

/// Bytes that only eager notifications may use, so that heartbeats never delay a new version.
pub const EAGER_RESERVE_BYTES: u32 = 1600;

/// IP and UDP headers of a datagram.
pub const UDP_IP_HEADER_BYTES: usize = 28;

/// The peers of one node, by what they have in common with it.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    roster: Arc<Roster>,
    siblings: Vec<usize>,
    neighbours: Vec<usize>,
    others: Vec<usize>,
}

impl Peers {
    /// Groups the instances of a roster as seen from one of them.
    pub fn new(roster: Arc<Roster>, id: &str, service: &str, domain: &str) -> Self {
        let mut circle = Self::default();
        for (index, instance) in roster.instances.iter().enumerate() {
            if &*instance.id == id {
                continue;
            }
            circle.others.push(index);
            if &*instance.service == service {
                circle.siblings.push(index);
            }
            if &*instance.domain == domain {
                circle.neighbours.push(index);
            }
        }
        circle.roster = roster;
        circle
    }

    /// Whether the roster names anybody else.
    pub fn has_peers(&self) -> bool {
        !self.others.is_empty()
    }

    /// Addresses of all others.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.others
            .iter()
            .map(|index| self.address(*index))
            .collect()
    }

    /// Receivers of one round.
    pub fn round(&self, random: &mut Rng) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        let groups = [&self.siblings, &self.neighbours, &self.others, &self.others];
        for group in groups {
            choose(group, &mut chosen, random);
        }
        chosen.iter().map(|index| self.address(*index)).collect()
    }

    /// Receivers of an eager notification.
    pub fn eager(&self, random: &mut Rng) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        for _ in 0..EAGER_FANOUT {
            choose(&self.others, &mut chosen, random);
        }
        chosen.iter().map(|index| self.address(*index)).collect()
    }

    /// Position of one random peer in the roster.
    pub fn any(&self, random: &mut Rng) -> Option<usize> {
        random.choice(&self.others).copied()
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.roster.instances[index].peer
    }
}

/// Adds a random member that is not chosen yet; a few misses are given up.
fn choose(group: &[usize], chosen: &mut Vec<usize>, random: &mut Rng) {
    for _ in 0..4 {
        let Some(index) = random.choice(group) else {
            return;
        };
        if !chosen.contains(index) {
            chosen.push(*index);
            return;
        }
    }
}

/// Bytes that may still be sent.
#[derive(Clone, Debug)]
pub struct Bucket {
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Starts full.
    pub fn new(now: Instant) -> Self {
        Self {
            level: f64::from(BURST_BYTES),
            filled_at: now,
        }
    }

    /// Takes bytes when that leaves at least `reserve`; tells whether it did.
    pub fn take(&mut self, bytes: u32, reserve: u32, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let level = self.level + elapsed.as_secs_f64() * f64::from(RATE_BYTES_PER_S);
        self.level = level.min(f64::from(BURST_BYTES));
        self.filled_at = now;
        let fits = self.level >= f64::from(bytes) + f64::from(reserve);
        if fits {
            self.level -= f64::from(bytes);
        }
        fits
    }
}
