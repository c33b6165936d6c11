//! What the gate learns of the target's own state: its cold start and the speed of its machine.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;
use basilbay_wire::problem::Cause;

use super::{Action, Gate};
use crate::rate::Limiter;
use crate::slowdown::Status;

impl Gate {
    /// What is known of this moment. In a cold start the rate binds, and a start that waits for the
    /// end of a spell is lost: nothing waits for it then.
    pub(super) fn moment(&self, now: Instant) -> Status {
        match self.spell.moment(now) {
            Status::Transient if self.pace.is_cold() => Status::Persistent,
            moment => moment,
        }
    }

    /// Takes what the target says of its cold start: how much longer it lasts.
    pub fn observe_cold_start(&mut self, left: Duration, now: Instant) {
        self.pace.observe(left, now);
        self.settle(now);
    }

    /// Takes a look at the target's speed: the time that work takes, in percent of the usual.
    pub fn observe_slowdown(&mut self, percent: u32, now: Instant) {
        self.spell.note(percent, now);
        self.settle(now);
    }

    /// Takes the end of a look that [`Action::Probe`] asked for; its figure came before, or none.
    pub fn probe_finished(&mut self, saw: bool, now: Instant) {
        self.look_asked = false;
        if !saw {
            self.spell.note_blind(now);
        }
        self.settle(now);
        // What waited for the look only goes to another target.
        if self.look_asked {
            return;
        }
        let cause = match self.moment(now) {
            Status::Transient | Status::Persistent => Cause::TargetSlowed,
            Status::Normal | Status::Unknown => Cause::NoCapacity,
        };
        let actions = &mut self.actions;
        self.queue
            .drop_hasty(|id| actions.push(Action::Refuse(id, cause)));
    }

    /// Notes that another run of the target took the place of the one before.
    pub fn target_replaced(&mut self, now: Instant) {
        self.pace.cool(now);
        self.ramp.returned(self.next_order);
    }

    /// A contract that states a rate for the first time finds a target of which nothing is known.
    pub(super) fn set_pace(&mut self, contract: &Contract, now: Instant) {
        if self.pace.is_set() || contract.cold_rate == 0 {
            self.pace.set_contract(contract);
            return;
        }
        self.pace = Limiter::new(contract, self.found_running, now);
    }

    pub(super) fn ask_look(&mut self) {
        if !self.look_asked {
            self.look_asked = true;
            self.actions.push(Action::Probe);
        }
    }
}
