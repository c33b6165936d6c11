//! Tracks requests that may crash their target ("queries of death").
//!
//! When a target crashes, every request that was running on it becomes a suspect. Suspicions are sent
//! by datagram to the daemons of the sibling targets, which then refuse such a request or run it
//! without another suspect beside it. [`basilbay_keys::suspect`] decides how a suspect may run and
//! when it is no longer one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_keys::suspect::{self, Disposition, Run, Suspects};
use basilbay_model::id::{InstanceId, ServiceId};
use basilbay_model::roster::State as InstanceState;
use basilbay_wire::datagram::{Body, Report, Suspicion};

use crate::call::Call;
use crate::daemon::Daemon;
use crate::response::Reply;

/// Maximum number of suspicions in a datagram, which must stay below 1,200 bytes.
const MAX_PER_DATAGRAM: usize = 8;

/// Number of times that each suspicion is sent: if the only datagram were lost, the request could crash
/// another target.
const SENDS: usize = 2;

/// Maximum number of reports in a datagram, which have a target each.
const MAX_REPORTS_PER_DATAGRAM: usize = 4;

/// Time between two requests for the siblings' suspects after the start.
const RESTORE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of siblings that are asked at a time, so that the traffic does not grow with the fleet.
const RESTORE_SIBLINGS: usize = 3;

/// Number of such requests without an answer after which the daemon gives up: all siblings may have
/// started at the same time.
const MAX_RESTORE_REQUESTS: usize = 20;

/// Suspects of the local service, and requests sent from this daemon that their target aborted.
#[derive(Debug)]
pub struct Tracker {
    suspects: Mutex<Suspects>,
    /// Requests sent from this daemon that their target aborted. A caller may retry before the siblings
    /// of the target have received the suspicion, so the retry itself is marked as suspect.
    aborted: Mutex<Suspects>,
    /// Whether a sibling has sent its suspects, or none of them has any.
    is_restored: AtomicBool,
}

impl Tracker {
    /// Creates a tracker without suspects.
    pub fn new(service: ServiceId) -> Self {
        Self {
            suspects: Mutex::new(Suspects::new(service.clone())),
            aborted: Mutex::new(Suspects::new(service)),
            is_restored: AtomicBool::new(false),
        }
    }

    /// Returns whether a request may run, and whether other suspects may run beside it.
    pub fn check(&self, daemon: &Daemon, fingerprint: u64, now: Instant) -> Disposition {
        let is_tester = self.is_tester(daemon, fingerprint);
        lock(&self.suspects).check(fingerprint, is_tester, now)
    }

    /// Returns how a request runs that is handed to the target now; `was_aborted` tells whether a target
    /// aborted it before, as the daemon that sent it knows.
    pub fn begin(&self, daemon: &Daemon, call: &Call, was_aborted: bool) -> Run {
        let (fingerprint, deadline) = (call.fingerprint, call.deadline);
        let now = Instant::now();
        let is_tester = self.is_tester(daemon, fingerprint);
        let disposition = lock(&self.suspects).begin(fingerprint, is_tester, deadline, now);
        if disposition == Disposition::Trial {
            emit!(
                catalogue::REQUEST_TRIAL,
                fingerprint = format!("{fingerprint:016x}"),
            );
        }
        Run {
            fingerprint,
            disposition,
            was_aborted,
        }
    }

    /// Ends a trial that the target did not run, so that another one may start.
    pub fn cancel_trial(&self, run: Run) {
        if run.disposition == Disposition::Trial {
            lock(&self.suspects).cancel_trial(run.fingerprint);
        }
    }

    /// Records a completed run; a suspect that it clears is cleared at the siblings as well.
    pub fn record_completion(&self, daemon: &Daemon, run: Run, now: Instant) {
        let cleared = lock(&self.suspects).record_completion(run, now);
        if run.disposition == Disposition::Trial {
            emit!(
                catalogue::REQUEST_CLEARED,
                fingerprint = format!("{:016x}", run.fingerprint),
            );
        }
        broadcast(daemon, cleared.as_slice());
    }

    /// Whether the local target runs the trials of a request.
    fn is_tester(&self, daemon: &Daemon, fingerprint: u64) -> bool {
        if lock(&self.suspects).is_empty() {
            return false;
        }
        let view = daemon.view();
        let siblings = view.roster.of_service(&daemon.settings.service);
        let live = siblings.filter(|instance| {
            instance.state == InstanceState::Live && view.config.domain_is_in(&instance.domain)
        });
        let tester = suspect::tester(fingerprint, live.map(|instance| &instance.id));
        tester == Some(&daemon.settings.id)
    }

    /// Records that the target crashed while these requests were in flight, and informs the siblings.
    pub fn record_crash(&self, daemon: &Daemon, in_flight: &[Run], now: Instant) {
        let suspicions = lock(&self.suspects).record_crash(in_flight, now);
        for suspicion in &suspicions {
            emit!(
                catalogue::REQUEST_SUSPECT,
                fingerprint = format!("{:016x}", suspicion.fingerprint),
                crashes = suspicion.crashes,
                isolated = suspicion.isolated,
                trials = suspicion.trials,
            );
        }
        broadcast(daemon, &suspicions);
    }

    /// Merges the suspicions that a sibling sent.
    pub fn merge(&self, origin: &InstanceId, suspicions: &[Suspicion], now: Instant) {
        let mut suspects = lock(&self.suspects);
        for suspicion in suspicions {
            suspects.merge(origin, suspicion, now);
        }
    }

    /// Sends the requests that are refused to a sibling that has started. A daemon that has not received
    /// them itself does not answer, since the sibling would ask nobody else.
    pub fn send_to(&self, daemon: &Daemon, sibling: SocketAddr, now: Instant) {
        if !self.is_restored.load(Ordering::Acquire) {
            return;
        }
        let local_id = &daemon.settings.id;
        let reports = lock(&self.suspects).reports(local_id, now);
        let mut chunks: Vec<&[Report]> = reports.chunks(MAX_REPORTS_PER_DATAGRAM).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        for chunk in chunks {
            let body = Body::Suspects(chunk.to_vec());
            daemon.control.send(local_id, body, sibling);
        }
    }

    /// Merges the suspects that a sibling sent after this daemon started.
    pub fn restore(&self, daemon: &Daemon, reports: &[Report], now: Instant) {
        self.is_restored.store(true, Ordering::Release);
        lock(&self.suspects).restore(&daemon.settings.id, reports, now);
        if !reports.is_empty() {
            emit!(catalogue::SUSPECTS_RESTORED, reports = reports.len());
        }
    }

    /// Whether the target aborted this request when this daemon last sent it.
    pub fn was_aborted(&self, fingerprint: u64, now: Instant) -> bool {
        lock(&self.aborted).check(fingerprint, false, now) != Disposition::Unrestricted
    }

    /// Records the result of an attempt that this daemon sent.
    pub fn record_attempt(&self, fingerprint: u64, reply: &Reply, now: Instant) {
        let mut aborted = lock(&self.aborted);
        let run = Run::unrestricted(fingerprint);
        if reply.is_aborted() {
            aborted.record_crash(&[run], now);
        } else if matches!(reply, Reply::Response(_)) {
            aborted.record_completion(run, now);
        }
    }
}

/// Asks the siblings for their suspects until one answers. The target may have run on while its daemon
/// was restarted, and so may the callers that resend a request.
pub async fn request_restore(daemon: Arc<Daemon>) {
    let first = daemon.next_seed() as usize;
    let mut requests = 0;
    while requests < MAX_RESTORE_REQUESTS && !daemon.suspects.is_restored.load(Ordering::Acquire) {
        let siblings = siblings(&daemon);
        let start = first % siblings.len().max(1) + requests * RESTORE_SIBLINGS;
        let asked = siblings.iter().cycle().skip(start);
        for sibling in asked.take(RESTORE_SIBLINGS.min(siblings.len())) {
            let body = Body::SuspectsWanted;
            daemon.control.send(&daemon.settings.id, body, *sibling);
        }
        // Without a roster there is nobody to ask yet.
        requests += usize::from(daemon.view().roster.version > 0);
        tokio::time::sleep(RESTORE_INTERVAL).await;
    }
    daemon.suspects.is_restored.store(true, Ordering::Release);
}

fn lock(suspects: &Mutex<Suspects>) -> MutexGuard<'_, Suspects> {
    suspects.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the addresses of the daemons of all sibling instances.
fn siblings(daemon: &Daemon) -> Vec<SocketAddr> {
    let view = daemon.view();
    let service = view.roster.of_service(&daemon.settings.service);
    let others = service.filter(|instance| instance.id != daemon.settings.id);
    others.map(|instance| instance.peer).collect()
}

/// Sends suspicions to the daemons of all sibling instances.
fn broadcast(daemon: &Daemon, suspicions: &[Suspicion]) {
    if suspicions.is_empty() {
        return;
    }
    let siblings = siblings(daemon);
    for chunk in suspicions.chunks(MAX_PER_DATAGRAM) {
        let body = Body::Suspicions(chunk.to_vec());
        for address in siblings.iter().cycle().take(siblings.len() * SENDS) {
            daemon
                .control
                .send(&daemon.settings.id, body.clone(), *address);
        }
    }
}
