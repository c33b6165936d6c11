//! Decides whether a request that cannot run immediately is queued.

use std::time::{Duration, Instant};

use basilbay_wire::problem::Cause;

use super::{Action, Decision, Gate};
use crate::queue;
use crate::request::Request;

impl Gate {
    pub(super) fn enqueue(&mut self, request: Request, now: Instant) -> Decision {
        let latest_start = queue::latest_start(&request, &self.profile);
        if latest_start <= now {
            self.profile.record_refusal(request.kind);
            return Decision::Refuse(Cause::DeadlinePassed);
        }
        let start_at = now + self.expected_wait(request, now);
        if latest_start <= start_at {
            if start_at < request.deadline {
                self.profile.record_refusal(request.kind);
            }
            return Decision::Refuse(Cause::NoCapacity);
        }
        if self.queue.is_full() {
            self.expire(now);
        }
        if self.queue.is_full() {
            let Some(id) = self.queue.shed_lightest(Some(request.weight), now) else {
                return Decision::Refuse(Cause::NoCapacity);
            };
            self.actions.push(Action::Refuse(id, Cause::NoCapacity));
        }
        self.queue.push(request, &self.profile, now);
        Decision::Wait
    }

    /// Expected wait for a slot, if the slots share the work ahead evenly and the rate limit of a cold
    /// start is exhausted.
    fn expected_wait(&self, request: Request, now: Instant) -> Duration {
        let ahead = self.queue.ahead(request, &self.profile, now);
        let by_slots = ahead.work / self.slots().max(1);
        by_slots.max(self.rate.expected_wait(ahead.count, now))
    }
}
