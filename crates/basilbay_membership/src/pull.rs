//! Pulls in flight: at most one of each part, at the peer that told of the version first.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, Version};

use crate::action::{Source, Ticket};

/// Time after which a peer's answer is given up.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that are remembered for one part as having something newer.
const MAX_TELLERS: usize = 4;

/// A pull that waits for its answer.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Its number.
    pub ticket: Ticket,
    /// Who is asked.
    pub source: Source,
    /// When it is given up.
    pub until: Instant,
}

/// A peer that has a newer version.
#[derive(Clone, Debug)]
pub struct Teller {
    /// Its instance.
    pub id: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
    /// The version that it told of.
    pub version: Version,
}

/// Pulls of one part from one side (peers or platform).
#[derive(Clone, Debug, Default)]
pub struct Lane {
    /// The pull in flight.
    pub flight: Option<Flight>,
    tellers: Vec<Teller>,
}

impl Lane {
    /// Notes that a peer has a version.
    pub fn tell(&mut self, id: &InstanceId, address: SocketAddr, version: Version) {
        let known = self.tellers.iter_mut().find(|teller| teller.id == *id);
        if let Some(teller) = known {
            teller.version = teller.version.max(version);
        } else if self.tellers.len() < MAX_TELLERS {
            self.tellers.push(Teller {
                id: id.clone(),
                address,
                version,
            });
        }
    }

    /// The first peer that told of something newer than the version in force.
    pub fn next(&mut self, in_force: Version) -> Option<Teller> {
        self.tellers.retain(|teller| teller.version > in_force);
        self.tellers.first().cloned()
    }

    /// Whether something newer than the version in force is known of.
    pub fn is_behind(&self, in_force: Version) -> bool {
        self.tellers.iter().any(|teller| teller.version > in_force)
    }

    /// Ends the flight with this ticket.
    pub fn end(&mut self, ticket: Ticket) {
        self.flight.take_if(|flight| flight.ticket == ticket);
    }

    /// Forgets a peer that did not deliver; the next one in line is asked.
    pub fn drop_teller(&mut self, source: &Source) {
        if let Source::Peer { id: failed, .. } = source {
            self.tellers.retain(|teller| teller.id != *failed);
        }
    }

    /// Takes a flight that has waited for too long.
    pub fn expired(&mut self, now: Instant) -> Option<Flight> {
        self.flight.take_if(|flight| now >= flight.until)
    }
}
