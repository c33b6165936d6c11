//! Requests that may crash the target: who is told of them, and how they may run.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_keys::suspect::{Disposition, Suspects};
use basilbay_model::id::{InstanceId, ServiceId};
use basilbay_wire::datagram::{Body, Suspicion};

use crate::daemon::Daemon;
use crate::response::Reply;

/// Suspicions in one datagram, which must stay below 1,200 bytes.
const PER_DATAGRAM: usize = 8;

/// Times that each suspicion is sent: a lost one may cost another target.
const REPEATS: usize = 2;

/// The suspects of the own service, and the requests of callers that a target broke off.
#[derive(Debug)]
pub struct Tracker {
    suspects: Mutex<Suspects>,
    /// Requests that were sent from here. A caller may send one again before the siblings of the
    /// target have heard the warning, so the next send carries it along.
    aborted: Mutex<Suspects>,
}

impl Tracker {
    /// An empty list.
    pub fn new(service: ServiceId) -> Self {
        Self {
            suspects: Mutex::new(Suspects::new(service.clone())),
            aborted: Mutex::new(Suspects::new(service)),
        }
    }

    /// How a request may run.
    pub fn check(&self, fingerprint: u64, now: Instant) -> Disposition {
        lock(&self.suspects).check(fingerprint, now)
    }

    /// Notes that a suspect ran through, and clears it everywhere.
    pub fn record_completion(&self, daemon: &Daemon, fingerprint: u64, now: Instant) {
        let cleared = lock(&self.suspects).record_completion(fingerprint, now);
        tell(daemon, cleared.as_slice());
    }

    /// Notes that the target crashed with these requests on it, and warns the siblings.
    pub fn record_crash(&self, daemon: &Daemon, in_flight: &[u64], now: Instant) {
        let suspicions = lock(&self.suspects).record_crash(in_flight, now);
        for suspicion in &suspicions {
            emit!(
                catalogue::REQUEST_SUSPECT,
                fingerprint = format!("{:016x}", suspicion.fingerprint),
                crashes = suspicion.crashes,
            );
        }
        tell(daemon, &suspicions);
    }

    /// Takes in what a sibling said.
    pub fn merge(&self, origin: &InstanceId, heard: &[Suspicion], now: Instant) {
        let mut suspects = lock(&self.suspects);
        for suspicion in heard {
            suspects.merge(origin, suspicion, now);
        }
    }

    /// Whether a target broke this request off when it was last sent from here.
    pub fn was_aborted(&self, fingerprint: u64, now: Instant) -> bool {
        lock(&self.aborted).check(fingerprint, now) != Disposition::Unrestricted
    }

    /// Notes how an attempt that was sent from here ended.
    pub fn record_attempt(&self, fingerprint: u64, reply: &Reply, now: Instant) {
        let mut aborted = lock(&self.aborted);
        if reply.is_aborted() {
            aborted.record_crash(&[fingerprint], now);
        } else if matches!(reply, Reply::Response(_)) {
            aborted.record_completion(fingerprint, now);
        }
    }
}

fn lock(suspects: &Mutex<Suspects>) -> MutexGuard<'_, Suspects> {
    suspects.lock().unwrap_or_else(PoisonError::into_inner)
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
