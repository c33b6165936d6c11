//! Inputs of the gate that describe the target: its cold start, the speed of its machine, the
//! results of probes and its restarts. Each one updates the detector or limiter concerned and then
//! processes the queue.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;
use basilbay_wire::notice::{Notice, Rate};
use basilbay_wire::problem::Cause;

use super::{Action, Closed, Gate};
use crate::notice::{Change, Tracker};
use crate::rate::Limiter;
use crate::slowdown::Status;

impl Gate {
    /// Slowdown status for admission decisions. In a cold start the rate limit is the bottleneck,
    /// and a start that is delayed until the end of a slowdown cannot be made up for, so requests
    /// do not wait for that.
    pub(super) fn slowdown_status(&self, now: Instant) -> Status {
        match self.slowdown.status(now) {
            Status::Transient if self.rate.is_cold() => Status::Persistent,
            status => status,
        }
    }

    /// Records the remaining duration of the cold start as reported by the target; zero if it is
    /// warm.
    pub fn observe_cold_start(&mut self, remaining: Duration, now: Instant) {
        self.rate.observe_cold_start(remaining, now);
        self.process_queue(now);
    }

    /// Records a measured service time of the target, in percent of its normal service time.
    pub fn observe_slowdown(&mut self, percent: u32, now: Instant) {
        self.slowdown.record(percent, now);
        self.process_queue(now);
    }

    /// Records what the target states in a response that arrived at `now` to a request or probe
    /// sent at `sent_at`, and returns what it changes.
    pub fn observe_notice(
        &mut self,
        notice: &Notice,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Change> {
        let changes = self.notice.observe(notice, sent_at, now);
        self.pacer.set_rate(self.notice.rate(), now);
        self.set_closed(Closed::TargetLeaving, self.notice.is_leaving(), now);
        self.process_queue(now);
        changes
    }

    /// Rate that the target states to accept; `None` without a limit.
    pub fn stated_rate(&self) -> Option<Rate> {
        self.notice.rate()
    }

    /// Records the end of an [`Action::Probe`]. The measurement of a successful probe must have
    /// been passed to [`Gate::observe_slowdown`] before.
    pub fn probe_finished(&mut self, succeeded: bool, now: Instant) {
        self.probe_requested = false;
        if !succeeded {
            self.slowdown.record_failed_probe(now);
        }
        self.process_queue(now);
        // Requests that waited only for the probe go to another target.
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

    /// Records that the target process was replaced by a new one.
    pub fn target_replaced(&mut self, now: Instant) {
        self.notice = Tracker::default();
        self.pacer.set_rate(None, now);
        self.set_closed(Closed::TargetLeaving, false, now);
        self.rate.mark_cold(now);
        self.warmup.target_restarted(self.next_start_index);
    }

    /// Applies the cold-start rate of a contract. When a contract first sets one, the limiter is
    /// created anew, because the recent starts of the target were not recorded until then.
    pub(super) fn set_rate(&mut self, contract: &Contract, now: Instant) {
        if self.rate.is_enabled() || contract.cold_rate == 0 {
            self.rate.set_contract(contract);
            return;
        }
        self.rate = Limiter::new(contract, self.may_have_predecessor, now);
    }

    /// Requests a probe unless the result of one is pending.
    pub(super) fn request_probe(&mut self) {
        if !self.probe_requested {
            self.probe_requested = true;
            self.actions.push(Action::Probe);
        }
    }
}
