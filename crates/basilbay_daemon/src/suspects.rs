//! Requests that may crash the target: who is told of them, and how they may run.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_keys::suspect::{Suspects, Verdict};
use basilbay_model::id::ServiceId;
use basilbay_wire::datagram::{Body, Suspicion};

use crate::daemon::Daemon;

/// Suspicions in one datagram, which must stay below 1,200 bytes.
const PER_DATAGRAM: usize = 8;

/// Times that each suspicion is sent: a lost one may cost another target.
const REPEATS: usize = 2;

/// The suspects of the own service.
#[derive(Debug)]
pub struct Watchlist {
    suspects: Mutex<Suspects>,
}

impl Watchlist {
    /// An empty list.
    pub fn new(service: ServiceId) -> Self {
        Self {
            suspects: Mutex::new(Suspects::new(service)),
        }
    }

    /// How a request may run.
    pub fn check(&self, fingerprint: u64, now: Instant) -> Verdict {
        self.lock().check(fingerprint, now)
    }

    /// Notes that a suspect ran through, and clears it everywhere.
    pub fn completed(&self, daemon: &Daemon, fingerprint: u64, now: Instant) {
        let cleared = self.lock().completed(fingerprint, now);
        tell(daemon, cleared.as_slice());
    }

    /// Notes that the target crashed with these requests on it, and warns the siblings.
    pub fn crashed(&self, daemon: &Daemon, in_flight: &[u64], now: Instant) {
        let suspicions = self.lock().crashed(in_flight, now);
        for suspicion in &suspicions {
            emit!(
                catalogue::REQUEST_SUSPECT,
                fingerprint = format!("{:016x}", suspicion.fingerprint),
                crashes = suspicion.crashes,
            );
        }
        tell(daemon, &suspicions);
    }

    /// Takes in what siblings said.
    pub fn hear(&self, daemon: &Daemon, heard: &[Suspicion], now: Instant) {
        let mut news = Vec::new();
        {
            let mut suspects = self.lock();
            news.extend(heard.iter().filter_map(|heard| suspects.merge(heard, now)));
        }
        tell(daemon, &news);
    }

    fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn tell(daemon: &Daemon, suspicions: &[Suspicion]) {
    if suspicions.is_empty() {
        return;
    }
    let view = daemon.view();
    let siblings: Vec<SocketAddr> = view
        .roster
        .of_service(&daemon.settings.service)
        .filter(|instance| instance.id != daemon.settings.id)
        .map(|instance| instance.peer)
        .collect();
    for chunk in suspicions.chunks(PER_DATAGRAM) {
        let body = Body::Suspicions(chunk.to_vec());
        for address in siblings.iter().cycle().take(siblings.len() * REPEATS) {
            daemon
                .control
                .send(&daemon.settings.id, body.clone(), *address);
        }
    }
}
