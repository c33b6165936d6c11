//! Queue of requests that wait for a slot.
//!
//! Requests that can still meet their goal go before those that cannot: a response after the goal
//! is less useful, and a further delay hardly matters. Among those that can, the one that must
//! start soonest goes first. A queue that has not been empty for longer than the wait limit is
//! overloaded and switches to adaptive LIFO: the heaviest kind goes first and, within a kind, the
//! newest request, which has the most time left. Requests beyond the wait limit are then refused
//! while their caller can still try another target.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use basilbay_wire::problem::Cause;

use crate::request::{Request, RequestId};

/// Minimum wait limit; a queue that empties sooner was a short burst and not overload.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(100);

/// Wait limit under overload, in service times. At least one slot is freed in each service time, so
/// the queue does not run empty while requests arrive faster than they are served.
const WAIT_LIMIT_SERVICE_TIMES: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: Request,
    /// When the wait limit is exceeded; applies only if the queue is overloaded by then.
    wait_limit_at: Instant,
    /// Latest start at which the request meets its goal.
    goal_start_at: Instant,
}

/// Queued requests in the order of arrival.
#[derive(Clone, Debug)]
pub struct Queue {
    bound: usize,
    waiting: Vec<Waiting>,
    /// When the queue becomes overloaded unless it empties before; `None` while it is empty.
    overloaded_at: Option<Instant>,
}

impl Queue {
    /// Creates an empty queue for at most `bound` requests.
    pub fn new(bound: u32) -> Self {
        Self {
            bound: bound as usize,
            waiting: Vec::new(),
            overloaded_at: None,
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the bound is reached.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.bound
    }

    /// Sets the bound; [`Queue::shed_lightest`] shrinks the queue to a lower one.
    pub fn set_bound(&mut self, bound: u32) {
        self.bound = bound as usize;
    }

    /// Whether the queue holds more requests than its bound.
    pub fn exceeds_bound(&self) -> bool {
        self.waiting.len() > self.bound
    }

    /// Whether a request is queued.
    pub fn contains(&self, id: RequestId) -> bool {
        self.waiting.iter().any(|waiting| waiting.request.id == id)
    }

    /// Appends a request; `service_time` is the recent mean of the target.
    pub fn push(&mut self, request: Request, service_time: Duration, now: Instant) {
        let wait_limit = service_time
            .saturating_mul(WAIT_LIMIT_SERVICE_TIMES)
            .max(MIN_WAIT_LIMIT);
        let wait_limit_at = now.checked_add(wait_limit).unwrap_or(request.deadline);
        self.overloaded_at.get_or_insert(wait_limit_at);
        // The service time is a mean over all kinds; a kind with a shorter goal takes less.
        let goal = request.goal_at.saturating_duration_since(now);
        let goal_start_at = now + goal.saturating_sub(service_time.min(goal / 2));
        self.waiting.push(Waiting {
            request,
            wait_limit_at,
            goal_start_at,
        });
    }

    /// Removes the request that runs next; `None` if the queue is empty, or holds only suspects and
    /// `skip_suspects` is set.
    pub fn pop(&mut self, skip_suspects: bool, now: Instant) -> Option<Request> {
        let is_overloaded = self.is_overloaded(now);
        let candidates = self.waiting.iter().enumerate();
        let index = candidates
            .filter(|(_, waiting)| !(skip_suspects && waiting.request.suspect))
            .max_by_key(|(index, waiting)| {
                let meets_goal = now <= waiting.goal_start_at;
                // Ties go to the newest request under overload, otherwise to the oldest.
                match is_overloaded {
                    true => (meets_goal, waiting.request.weight, None, *index),
                    false => {
                        let earliest_first = Some(Reverse(waiting.goal_start_at));
                        (meets_goal, 0, earliest_first, usize::MAX - index)
                    }
                }
            })?
            .0;
        Some(self.remove_at(index))
    }

    /// Removes a cancelled request; returns whether it was queued.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let index = self
            .waiting
            .iter()
            .position(|waiting| waiting.request.id == id);
        if let Some(index) = index {
            self.remove_at(index);
        }
        index.is_some()
    }

    /// Removes the lightest request if it is lighter than `weight`, or in any case for `None`. Of
    /// several, the oldest is removed under overload, otherwise the newest, which is the reverse of
    /// the order in which they run.
    pub fn shed_lightest(&mut self, weight: Option<u32>, now: Instant) -> Option<RequestId> {
        let lightest = self.waiting.iter().map(|waiting| waiting.request.weight);
        let lightest = lightest.min()?;
        if weight.is_some_and(|weight| lightest >= weight) {
            return None;
        }
        let is_lightest = |waiting: &Waiting| waiting.request.weight == lightest;
        let index = if self.is_overloaded(now) {
            self.waiting.iter().position(is_lightest)?
        } else {
            self.waiting.iter().rposition(is_lightest)?
        };
        Some(self.remove_at(index).id)
    }

    /// Removes requests that cannot finish in time or have exceeded the wait limit, and passes each
    /// id to `refuse` with the cause.
    pub fn expire(
        &mut self,
        service_time: Duration,
        now: Instant,
        mut refuse: impl FnMut(RequestId, Cause),
    ) {
        let overloaded = self.is_overloaded(now);
        self.waiting.retain(|waiting| {
            let cause = if latest_start(&waiting.request, service_time) <= now {
                Cause::DeadlinePassed
            } else if overloaded && waiting.wait_limit_at <= now {
                Cause::NoCapacity
            } else {
                return true;
            };
            refuse(waiting.request.id, cause);
            false
        });
        self.clear_overload_if_empty();
    }

    /// Removes the requests that must not wait for a slot and passes each id to `refuse`.
    pub fn refuse_non_waiting(&mut self, mut refuse: impl FnMut(RequestId)) {
        self.waiting.retain(|waiting| {
            if !waiting.request.may_wait {
                refuse(waiting.request.id);
            }
            waiting.request.may_wait
        });
        self.clear_overload_if_empty();
    }

    /// Removes all requests and passes each id to `refuse`.
    pub fn clear(&mut self, mut refuse: impl FnMut(RequestId)) {
        for waiting in self.waiting.drain(..) {
            refuse(waiting.request.id);
        }
        self.overloaded_at = None;
    }

    /// When [`Queue::expire`] next has a request to remove; `None` for an empty queue.
    pub fn next_deadline(&self, service_time: Duration) -> Option<Instant> {
        let overloaded_at = self.overloaded_at?;
        self.waiting
            .iter()
            .map(|waiting| {
                let wait_limit_at = waiting.wait_limit_at.max(overloaded_at);
                latest_start(&waiting.request, service_time).min(wait_limit_at)
            })
            .min()
    }

    /// Whether the queue is overloaded and served in LIFO order.
    pub fn is_overloaded(&self, now: Instant) -> bool {
        self.overloaded_at.is_some_and(|at| at <= now)
    }

    fn remove_at(&mut self, index: usize) -> Request {
        let request = self.waiting.remove(index).request;
        self.clear_overload_if_empty();
        request
    }

    fn clear_overload_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.overloaded_at = None;
        }
    }
}

/// Latest start at which a request can finish before its deadline.
pub fn latest_start(request: &Request, service_time: Duration) -> Instant {
    request
        .deadline
        .checked_sub(service_time)
        .unwrap_or(request.deadline)
}
