//! The rate that a target states to accept: how many requests the gate starts while it holds.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::request::{Request, RequestId};
use basilbay_model::service::Contract;
use basilbay_wire::notice::{Notice, RateLimit};
use basilbay_wire::problem::Cause;
use fixture::{config, request};
use proptest::prelude::*;

/// Interval between two offered requests, in milliseconds.
const STEP_MS: u64 = 10;

/// Window over which the users count the requests to a limited target.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a target may get in [`WINDOW`] while it states a rate.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

fn stated(rate: f64) -> Notice {
    Notice {
        rate_limit: RateLimit::Stated(rate),
        ..Notice::default()
    }
}

fn contract() -> Contract {
    Contract {
        slots: 16,
        queue: 50,
        ..Contract::default()
    }
}

/// A gate and a target that completes each request at once.
struct Target {
    gate: Gate,
    now: Instant,
    next_id: RequestId,
    /// Statements in the target's responses.
    notice: Notice,
    starts: Vec<Instant>,
}

impl Target {
    fn new(startup: Startup) -> Self {
        let now = Instant::now();
        Self {
            gate: Gate::new(&contract(), startup, now),
            now,
            next_id: 0,
            notice: Notice::default(),
            starts: Vec::new(),
        }
    }

    /// A warm target whose responses state a rate.
    fn limited(rate: f64) -> Self {
        let mut target = Self::new(Startup::Fresh);
        target.run(500);
        target.state(stated(rate));
        target.starts.clear();
        target
    }

    /// Changes the statements, which a probe sees at once.
    fn state(&mut self, notice: Notice) {
        self.now += Duration::from_micros(2);
        self.notice = notice;
        let sent_at = self.now - Duration::from_micros(1);
        self.gate.observe_notice(&notice, sent_at, self.now);
    }

    fn next_request(&mut self) -> Request {
        self.next_id += 1;
        request(self.next_id, 1, 200, self.now)
    }

    fn offer(&mut self, request: Request) -> Decision {
        let decision = self.gate.offer(request, self.now);
        if decision == Decision::Run {
            self.complete(request.id);
        }
        self.complete_queued();
        decision
    }

    fn complete(&mut self, id: RequestId) {
        self.starts.push(self.now);
        let (notice, now) = (self.notice, self.now);
        self.gate.observe_notice(&notice, now, now);
        self.gate.complete(id, Completion::Answered, now);
    }

    fn complete_queued(&mut self) {
        loop {
            let actions: Vec<Action> = self.gate.drain_actions().collect();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                if let Action::Start(id) = action {
                    self.complete(id);
                }
            }
        }
    }

    /// Offers a request every [`STEP_MS`] for a while.
    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.now += Duration::from_millis(STEP_MS);
            self.gate.tick(self.now);
            self.complete_queued();
            let request = self.next_request();
            self.offer(request);
        }
    }

    /// Largest number of starts in any [`WINDOW`].
    fn most_starts(&self) -> usize {
        let within = |first: &Instant| {
            let starts = self.starts.iter();
            starts
                .filter(|start| **start >= *first && **start < *first + WINDOW)
                .count()
        };
        self.starts.iter().map(within).max().unwrap_or(0)
    }
}

/// Guards against more requests to a target than the rate that it states, and against a limit
/// that is not used up.
#[test]
fn stated_rate_kept() {
    for rate in [0.5, 3.0, 9.6, 40.0] {
        let mut target = Target::limited(rate);
        target.run(12_000);
        let most = target.most_starts() as f64;
        assert!(most <= allowed(rate), "{rate}: {most} starts in 4 s");
        let total = target.starts.len() as f64;
        assert!(total >= 0.9 * 12.0 * rate, "{rate}: {total} starts in 12 s");
    }
}

/// Guards against requests to a target that accepts none.
#[test]
fn stated_rate_zero() {
    let mut target = Target::limited(0.0);
    target.run(3000);
    assert_eq!(target.starts.len(), 0);
    target.state(Notice::default());
    target.run(100);
    assert!(!target.starts.is_empty(), "the limit has ended");
}

/// Guards against a request that waits beyond a limit although another target could run it at
/// once, and against one that waits although its turn comes too late.
#[test]
fn refused_beyond_rate() {
    let mut target = Target::limited(2.0);
    target.run(1000);
    let mut movable = target.next_request();
    movable.may_wait = false;
    let cause = Cause::NoCapacity;
    assert_eq!(target.offer(movable), Decision::Refuse(cause));
    let mut late = target.next_request();
    late.deadline = target.now + Duration::from_millis(100);
    let last = Decision::Refuse(cause);
    // At 2 per second, of several requests at most one starts within 100 ms.
    let decisions = [(); 3].map(|()| {
        let request = Request {
            id: target.next_request().id,
            ..late
        };
        target.offer(request)
    });
    assert_eq!(decisions[2], last, "{decisions:?}");
}

/// Guards against a limit that still holds once the target no longer states it.
#[test]
fn stated_rate_ends() {
    let mut target = Target::limited(2.0);
    target.run(1000);
    target.state(Notice::default());
    target.starts.clear();
    target.run(1000);
    assert_eq!(target.starts.len(), 100);
}

/// Guards against a long pause after a low rate has been raised.
#[test]
fn raised_rate_applies() {
    let mut target = Target::limited(0.1);
    target.run(1000);
    target.state(stated(20.0));
    target.starts.clear();
    target.run(2000);
    let count = target.starts.len();
    assert!((36..=52).contains(&count), "{count} starts in 2 s");
}

/// Guards against a burst to a limited target from a restarted daemon that has not seen any
/// response of the target yet.
#[test]
fn restart_beside_limited_target() {
    let mut target = Target::new(Startup::Restart);
    let mut waiting = Vec::new();
    // No response arrives during the first second.
    for _ in 0..100 {
        target.now += Duration::from_millis(STEP_MS);
        target.gate.tick(target.now);
        let request = target.next_request();
        if target.gate.offer(request, target.now) == Decision::Run {
            waiting.push(request.id);
            target.starts.push(target.now);
        }
        for action in target.gate.drain_actions().collect::<Vec<_>>() {
            if let Action::Start(id) = action {
                waiting.push(id);
                target.starts.push(target.now);
            }
        }
        let now = target.now;
        for id in waiting.drain(..) {
            target.gate.complete(id, Completion::Cancelled, now);
        }
    }
    assert!(!target.starts.is_empty(), "the target is tried");
    // A predecessor may have used up what a target with the lowest rate of this test accepts.
    assert!(target.starts.len() <= 5, "{} starts", target.starts.len());
}

/// Guards against a limit of a previous run of the target that holds for the next one.
#[test]
fn limit_ends_with_run() {
    let mut target = Target::limited(0.0);
    target.run(500);
    target.gate.target_replaced(target.now);
    target.notice = Notice::default();
    target.run(500);
    assert!(!target.starts.is_empty());
}

proptest! {
    #![proptest_config(config(200))]

    /// Guards against more starts than a sequence of stated rates allows, whatever their order.
    #[test]
    fn changing_rates(rates in prop::collection::vec((0.0_f64..30.0, 1_u64..40), 1..12)) {
        let mut target = Target::limited(0.0);
        let mut budget_total = 0.0;
        for (rate, steps) in rates {
            target.state(stated(rate));
            target.run(steps * 50);
            budget_total += 1.5 * rate * (steps * 50) as f64 / 1000.0;
        }
        let total = target.starts.len() as f64;
        prop_assert!(total <= budget_total + 5.0, "{total} of {budget_total}");
    }
}
