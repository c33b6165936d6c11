//! The own target: what the view says of it, and how the daemon takes leave of it at a stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use basilbay_admission::gate::Closed;
use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_model::domain::State as Wanted;
use basilbay_model::id::RunId;
use basilbay_model::roster::{Instance, State as Listed, Timestamp};

use crate::daemon::{Daemon, View};

/// What the view says of the own target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Name of its run; `None` while the list does not name one.
    pub run: Option<RunId>,
    /// When that run started.
    pub born_ms: Option<Timestamp>,
}

impl Daemon {
    /// Applies a view to the own target: its contract, and whether it takes work at all.
    pub(crate) fn apply_to_target(&self, view: &View) {
        let service = &self.settings.service;
        // Another service at the own address means that the list is older than this machine.
        let listed = view
            .roster
            .instance(&self.settings.id)
            .filter(|instance| instance.service == *service);
        self.update_local(listed);
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
        let is_in = service.state == Wanted::In && view.config.domain_is_in(&self.settings.domain);
        self.admission.set_closed(Closed::Out, !is_in);
        let leaves = listed.is_some_and(|instance| instance.state == Listed::Leaving);
        // Where runs have names, one that the list does not name has left, or is not there yet.
        let has_run_ids = view.roster.has_run_ids();
        let is_closed =
            leaves || (has_run_ids && listed.is_none()) || self.is_leaving.load(Ordering::Acquire);
        if is_closed || has_run_ids {
            self.admission.set_closed(Closed::Leaving, is_closed);
        }
        self.publish_load();
    }

    /// Takes what the list says of the own target; one that is not listed keeps what it had.
    fn update_local(&self, listed: Option<&Instance>) {
        let Some(listed) = listed else {
            return;
        };
        let before = self.local.load_full();
        let target = Target {
            run: listed.target.clone(),
            born_ms: listed.born_ms,
        };
        if *before == target {
            return;
        }
        if before.run.is_some() {
            emit!(catalogue::TARGET_REPLACED, before = ?before.run, run = ?target.run);
            self.admission.target_replaced();
        }
        self.local.store(Arc::new(target));
    }

    /// What the view says of the own target.
    pub fn local_target(&self) -> Arc<Target> {
        self.local.load_full()
    }

    /// Notes that the daemon was asked to stop, and when it gives up running requests.
    pub fn begin_drain(&self, deadline: Instant) {
        self.drain_deadline.get_or_init(|| deadline);
        self.is_stopping.store(true, Ordering::Release);
    }

    /// When running requests are given up.
    pub fn drain_deadline(&self) -> Instant {
        let patience = self.settings.drain_timeout;
        *self
            .drain_deadline
            .get_or_init(|| Instant::now() + patience)
    }

    /// Closes the own target for good.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
        self.admission.set_closed(Closed::Leaving, true);
    }

    /// Whether the daemon was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Whether callers should send new work here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.serving.may_serve(Instant::now())
    }
}
