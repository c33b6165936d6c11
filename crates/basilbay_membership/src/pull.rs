//! Pulls in flight: at most one of each part, at the peer that told of the version first.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, Version};

use crate::action::{PullId, Source};

/// Time after which a peer's answer is given up.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that are remembered for one part as having something newer.
const MAX_CANDIDATES: usize = 4;

/// A pull that waits for its answer.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Its number.
    pub id: PullId,
    /// Who is asked.
    pub source: Source,
    /// When it is given up.
    pub until: Instant,
}

/// A peer that has a newer version.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its instance.
    pub id: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
    /// The version that it told of.
    pub version: Version,
}

/// Pulls of one part from one side (peers or platform).
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// The pull in flight.
    pub in_flight: Option<InFlight>,
    candidates: Vec<Candidate>,
}

impl Tracker {
    /// Notes that a peer has a version.
    pub fn add_candidate(&mut self, id: &InstanceId, address: SocketAddr, version: Version) {
        let known = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.id == *id);
        if let Some(candidate) = known {
            candidate.version = candidate.version.max(version);
        } else if self.candidates.len() < MAX_CANDIDATES {
            self.candidates.push(Candidate {
                id: id.clone(),
                address,
                version,
            });
        }
    }

    /// The first peer that told of something newer than the version in force.
    pub fn next(&mut self, in_force: Version) -> Option<Candidate> {
        self.candidates
            .retain(|candidate| candidate.version > in_force);
        self.candidates.first().cloned()
    }

    /// Whether something newer than the version in force is known of.
    pub fn is_behind(&self, in_force: Version) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.version > in_force)
    }

    /// Ends the pull with this id.
    pub fn end(&mut self, id: PullId) {
        self.in_flight.take_if(|in_flight| in_flight.id == id);
    }

    /// Forgets a peer that did not deliver; the next one in line is asked.
    pub fn remove_candidate(&mut self, source: &Source) {
        if let Source::Peer { id: failed, .. } = source {
            self.candidates.retain(|candidate| candidate.id != *failed);
        }
    }

    /// Takes a pull that has waited for too long.
    pub fn expired(&mut self, now: Instant) -> Option<InFlight> {
        self.in_flight.take_if(|in_flight| now >= in_flight.until)
    }
}
