//! What the gate learns of the target's own state: its cold start and the speed of its machine.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;
use basilbay_wire::problem::Cause;

use super::{Action, Gate};
use crate::rate::Limiter;
use crate::slowdown::Status;

impl Gate {
    /// What is known of this moment. In a cold start the rate binds, and a start that waits for the
    /// end of a slowdown is lost: nothing waits for it then.
    pub(super) fn slowdown_status(&self, now: Instant) -> Status {
        match self.slowdown.status(now) {
            Status::Transient if self.rate.is_cold() => Status::Persistent,
            status => status,
        }
    }

    /// Takes what the target says of its cold start: how much longer it lasts.
    pub fn observe_cold_start(&mut self, remaining: Duration, now: Instant) {
        self.rate.observe_cold(remaining, now);
        self.process_queue(now);
    }

    /// Takes a look at the target's speed: the time that work takes, in percent of the usual.
    pub fn observe_slowdown(&mut self, percent: u32, now: Instant) {
        self.slowdown.record(percent, now);
        self.process_queue(now);
    }

    /// Takes the end of a look that [`Action::Probe`] asked for; its figure came before, or none.
    pub fn probe_finished(&mut self, succeeded: bool, now: Instant) {
        self.probe_requested = false;
        if !succeeded {
            self.slowdown.record_failed_probe(now);
        }
        self.process_queue(now);
        // What waited for the look only goes to another target.
        if self.probe_requested {
            return;
        }
        let cause = match self.slowdown_status(now) {
            Status::Transient | Status::Persistent => Cause::TargetSlowed,
            Status::Normal | Status::Unknown => Cause::NoCapacity,
        };
        let actions = &mut self.actions;
        self.queue
            .refuse_non_waiting(|id| actions.push(Action::Refuse(id, cause)));
    }

    /// Notes that another run of the target took the place of the one before.
    pub fn target_replaced(&mut self, now: Instant) {
        self.rate.mark_cold(now);
        self.warmup.target_restarted(self.next_start_index);
    }

    /// A contract that states a rate for the first time finds a target of which nothing is known.
    pub(super) fn set_rate(&mut self, contract: &Contract, now: Instant) {
        if self.rate.is_enabled() || contract.cold_rate == 0 {
            self.rate.set_contract(contract);
            return;
        }
        self.rate = Limiter::new(contract, self.found_running, now);
    }

    pub(super) fn request_probe(&mut self) {
        if !self.probe_requested {
            self.probe_requested = true;
            self.actions.push(Action::Probe);
        }
    }
}
