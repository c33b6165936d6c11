//! Requests that wait for a slot.
//!
//! Requests that can still meet their goal go before those that cannot, whose answer is of less use
//! whenever it comes. Of those, a calm queue serves first the one that must start earliest_first. One that has not been empty for as long as a
//! request should wait is overloaded: then the heaviest kind comes first and of each kind the
//! newest, which has the most time left, and requests that waited too long are refused while
//! their caller can still try another target.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use basilbay_wire::problem::Cause;

use crate::request::{Request, RequestId};

/// Shortest wait that counts as too long; below it a queue is a burst.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(100);

/// Service times that a request may wait under overload. At least one slot is freed in each, so the
/// queue does not run dry while requests arrive faster than they are served.
const WAIT_LIMIT_SERVICE_TIMES: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: Request,
    /// When it has waited too long, if the queue is overloaded then.
    wait_limit_at: Instant,
    /// When it must start at the latest to meet its goal.
    goal_start_at: Instant,
}

/// Waiting requests, in the order of arrival.
#[derive(Clone, Debug)]
pub struct Queue {
    bound: usize,
    waiting: Vec<Waiting>,
    /// When the queue counts as overloaded, unless it empties before.
    overloaded_at: Option<Instant>,
}

impl Queue {
    /// An empty queue for at most `bound` requests.
    pub fn new(bound: u32) -> Self {
        Self {
            bound: bound as usize,
            waiting: Vec::new(),
            overloaded_at: None,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether there is no room for one more.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.bound
    }

    /// Sets the bound; [`Queue::shed_lightest`] brings the queue down to a lower one.
    pub fn set_bound(&mut self, bound: u32) {
        self.bound = bound as usize;
    }

    /// Whether more requests wait than the bound allows.
    pub fn exceeds_bound(&self) -> bool {
        self.waiting.len() > self.bound
    }

    /// Whether a request waits.
    pub fn contains(&self, id: RequestId) -> bool {
        self.waiting.iter().any(|waiting| waiting.request.id == id)
    }

    /// Adds a request at the end.
    pub fn push(&mut self, request: Request, service_time: Duration, now: Instant) {
        let wait_limit = service_time
            .saturating_mul(WAIT_LIMIT_SERVICE_TIMES)
            .max(MIN_WAIT_LIMIT);
        let wait_limit_at = now.checked_add(wait_limit).unwrap_or(request.deadline);
        self.overloaded_at.get_or_insert(wait_limit_at);
        // The usual time is one of all kinds; a kind whose goal is shorter takes less.
        let goal = request.goal_at.saturating_duration_since(now);
        let goal_start_at = now + goal.saturating_sub(service_time.min(goal / 2));
        self.waiting.push(Waiting {
            request,
            wait_limit_at,
            goal_start_at,
        });
    }

    /// Takes the request that is to run next, passing over suspects if asked to.
    pub fn pop(&mut self, skip_suspects: bool, now: Instant) -> Option<Request> {
        let is_overloaded = self.is_overloaded(now);
        let candidates = self.waiting.iter().enumerate();
        let index = candidates
            .filter(|(_, waiting)| !(skip_suspects && waiting.request.suspect))
            .max_by_key(|(index, waiting)| {
                let meets_goal = now <= waiting.goal_start_at;
                // Of equals the newest is taken under overload, else the oldest.
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

    /// Removes a request that its caller gave up; whether it waited.
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

    /// Removes the lightest request, if it is lighter than `weight`: of several the oldest under
    /// overload, the newest otherwise, in reverse of the order in which they would run.
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

    /// Removes the requests that can no longer finish or have waited too long.
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

    /// Removes the requests that were not to wait for a slot.
    pub fn refuse_non_waiting(&mut self, mut refuse: impl FnMut(RequestId)) {
        self.waiting.retain(|waiting| {
            if !waiting.request.may_wait {
                refuse(waiting.request.id);
            }
            waiting.request.may_wait
        });
        self.clear_overload_if_empty();
    }

    /// Removes all requests.
    pub fn clear(&mut self, mut refuse: impl FnMut(RequestId)) {
        for waiting in self.waiting.drain(..) {
            refuse(waiting.request.id);
        }
        self.overloaded_at = None;
    }

    /// When [`Queue::expire`] next has something to remove.
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

    /// Whether the queue is served newest first.
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

/// The last moment at which a request can start and still finish in time.
pub fn latest_start(request: &Request, service_time: Duration) -> Instant {
    request
        .deadline
        .checked_sub(service_time)
        .unwrap_or(request.deadline)
}
