//! The local target: the one that runs on the daemon's own instance.
//!
//! Applies each new configuration and roster to admission control and the connection pool, and holds
//! the state of the graceful stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use http::HeaderMap;

use basilbay_admission::gate::Closed;
use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_model::domain::State as DomainState;
use basilbay_model::id::RunId;
use basilbay_model::roster::{Instance, State as InstanceState, Timestamp};
use basilbay_wire::dialect::Dialect;

use crate::daemon::{Daemon, View};

/// The local target as the roster describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Id of the target's current run; `None` if the roster names none.
    pub run: Option<RunId>,
    /// Start time of that run, in Unix milliseconds; `None` if the roster states none.
    pub started_at_ms: Option<Timestamp>,
}

impl Target {
    /// Whether the run that sent a response is the listed one, by the header that names it; `None` if
    /// either is unknown.
    pub(crate) fn has_sent(&self, headers: &HeaderMap, dialect: &Dialect) -> Option<bool> {
        let responding = headers.get(&dialect.responding_run)?;
        let run = self.run.as_ref()?;
        Some(responding.as_bytes() == run.as_bytes())
    }
}

impl Daemon {
    /// Applies a view to the local target: its contract, and whether it accepts requests.
    pub(crate) fn apply_to_target(&self, view: &View) {
        let service = &self.settings.service;
        // A roster that has another service under this instance id is older than this instance.
        let listed = view
            .roster
            .instance(&self.settings.id)
            .filter(|instance| instance.service == *service);
        self.update_local_target(listed);
        let Some(service) = view.config.service(service) else {
            self.admission.set_closed(Closed::Out, true);
            return;
        };
        let mut contract = service.contract.clone();
        if let Some(slots) = listed.and_then(|instance| instance.slots) {
            contract.slots = slots;
        }
        self.pool.set_max_connections(contract.connections as usize);
        self.admission.set_contract(&contract);
        let is_in =
            service.state == DomainState::In && view.config.domain_is_in(&self.settings.domain);
        self.admission.set_closed(Closed::Out, !is_in);
        let is_leaving = listed.is_some_and(|instance| instance.state == InstanceState::Leaving);
        // In a roster with run ids, a target that is not listed has left or has not joined yet.
        let has_run_ids = view.roster.has_run_ids();
        let is_closed = is_leaving
            || (has_run_ids && listed.is_none())
            || self.is_leaving.load(Ordering::Acquire);
        if is_closed || has_run_ids {
            self.admission.set_closed(Closed::Leaving, is_closed);
        }
        self.publish_load();
    }

    /// Updates the local target from its roster entry; does nothing without an entry.
    fn update_local_target(&self, listed: Option<&Instance>) {
        let Some(listed) = listed else {
            return;
        };
        let previous = self.local.load_full();
        let target = Target {
            run: listed.target.clone(),
            started_at_ms: listed.started_at_ms,
        };
        if *previous == target {
            return;
        }
        if previous.run.is_some() {
            emit!(catalogue::TARGET_REPLACED, before = ?previous.run, run = ?target.run);
            self.admission.target_replaced();
        }
        self.local.store(Arc::new(target));
        self.admission.set_closed(Closed::Misdirected, false);
    }

    /// Records whether a response to a request or probe came from the run that the roster named when it
    /// was sent. Any other run refuses all requests, so none are admitted until the roster names another
    /// run or the expected one responds again.
    pub(crate) fn observe_run(&self, expected: &Target, is_expected: bool) {
        // The roster may have changed while the response was awaited.
        if *self.local.load_full() != *expected {
            return;
        }
        let was_closed = self.admission.set_closed(Closed::Misdirected, !is_expected);
        if was_closed == is_expected {
            if !is_expected {
                emit!(catalogue::TARGET_MISDIRECTED, run = ?expected.run);
            }
            self.update_local_load();
            self.publish_load();
        }
    }

    /// Records what the local target states in the head of a response to a request or probe sent at
    /// `sent_at`; callers' daemons are told of a change at once.
    pub(crate) fn observe_notice(&self, headers: &HeaderMap, sent_at: Instant) {
        let notice = self.dialect.notice(headers);
        if self.admission.observe_notice(&notice, sent_at) {
            self.update_local_load();
            self.publish_load();
        }
    }

    /// Returns the local target as the roster describes it.
    pub fn local_target(&self) -> Arc<Target> {
        self.local.load_full()
    }

    /// Starts the graceful stop; requests that still run at `deadline` are aborted.
    pub fn begin_drain(&self, deadline: Instant) {
        self.drain_deadline.get_or_init(|| deadline);
        self.is_stopping.store(true, Ordering::Release);
    }

    /// When requests that still run are aborted. Without a graceful stop in progress, the drain timeout
    /// starts now.
    pub fn drain_deadline(&self) -> Instant {
        let timeout = self.settings.drain_timeout;
        *self.drain_deadline.get_or_init(|| Instant::now() + timeout)
    }

    /// Accepts no more requests that may still run at the drain deadline, where they are aborted.
    pub fn end_linger(&self) {
        self.has_lingered.store(true, Ordering::Release);
    }

    /// Latest deadline of requests that are accepted; `None` while all are.
    pub fn latest_deadline(&self) -> Option<Instant> {
        let has_lingered = self.has_lingered.load(Ordering::Acquire);
        has_lingered.then(|| self.drain_deadline())
    }

    /// Closes the local target for the rest of the process: it accepts no further requests.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
        self.admission.set_closed(Closed::Leaving, true);
    }

    /// Whether the daemon was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Whether callers should send new requests here.
    pub fn is_ready(&self) -> bool {
        let now = Instant::now();
        !self.is_stopping() && self.serving.may_serve(now) && !self.control.node().is_cut_off(now)
    }
}
