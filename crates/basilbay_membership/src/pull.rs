//! Tracking of pulls: for each part and kind of source, at most one is in flight. Peers are queried
//! in the order in which they announced a newer version.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, Version};

use crate::action::{PullId, Source};

/// Timeout for responses of peers.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of candidates for one part.
const MAX_CANDIDATES: usize = 4;

/// A pull that has not been answered yet.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Sequence number.
    pub id: PullId,
    /// Source that is queried.
    pub source: Source,
    /// When it times out.
    pub deadline: Instant,
}

/// A peer that announced a newer version.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of its instance.
    pub id: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Announced version.
    pub version: Version,
}

/// Pulls of one part from one kind of source (peers or the platform).
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// The pull in flight; `None` if there is none.
    pub in_flight: Option<InFlight>,
    /// Peers with a newer version, in the order of their announcements.
    candidates: Vec<Candidate>,
}

impl Tracker {
    /// Records that a peer announced a version; ignores a new peer beyond `MAX_CANDIDATES`.
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

    /// Removes candidates without a version newer than the active one and returns the first
    /// remaining candidate; `None` if none is left.
    pub fn next_candidate(&mut self, active: Version) -> Option<Candidate> {
        self.candidates
            .retain(|candidate| candidate.version > active);
        self.candidates.first().cloned()
    }

    /// Whether a version newer than the active one has been announced.
    pub fn is_behind(&self, active: Version) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.version > active)
    }

    /// Clears the pull in flight if it has this id.
    pub fn complete(&mut self, id: PullId) {
        self.in_flight.take_if(|in_flight| in_flight.id == id);
    }

    /// Removes a candidate that did not deliver, so that the next one is queried.
    pub fn remove_candidate(&mut self, source: &Source) {
        if let Source::Peer { id: failed, .. } = source {
            self.candidates.retain(|candidate| candidate.id != *failed);
        }
    }

    /// Takes the pull in flight if it has timed out.
    pub fn take_expired(&mut self, now: Instant) -> Option<InFlight> {
        self.in_flight
            .take_if(|in_flight| now >= in_flight.deadline)
    }
}
