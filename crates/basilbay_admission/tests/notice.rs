//! Statements of the target: how long they hold, also if responses overtake each other.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Closed, Decision, Gate, Startup};
use basilbay_admission::notice::{Change, Tracker};
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use basilbay_wire::notice::{Notice, RateLimit};
use basilbay_wire::problem::Cause;
use fixture::{contract, request};

fn stated(rate: f64) -> Notice {
    Notice {
        rate_limit: RateLimit::Stated(rate),
        is_leaving: false,
    }
}

fn leaving() -> Notice {
    Notice {
        is_leaving: true,
        ..Notice::default()
    }
}

/// Guards against a limit that outlives the target's statement of it, or that changes unnoticed.
#[test]
fn rate_follows_target() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut tracker = Tracker::default();
    let changes = tracker.observe(&stated(9.6), at(0), at(10));
    let expected = Change::Rate {
        before: None,
        after: Some(9.6),
    };
    assert_eq!(changes, [expected]);
    assert_eq!(tracker.observe(&stated(9.6), at(20), at(30)), []);
    tracker.observe(&stated(0.0), at(40), at(50));
    assert_eq!(tracker.rate(), Some(0.0));
    tracker.observe(&Notice::default(), at(60), at(70));
    assert_eq!(tracker.rate(), None);
}

/// Guards against a limit that ends with a response from before it, which was overtaken.
#[test]
fn overtaken_response() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut tracker = Tracker::default();
    tracker.observe(&stated(5.0), at(10), at(20));
    tracker.observe(&leaving(), at(10), at(20));
    tracker.observe(&Notice::default(), at(5), at(30));
    assert_eq!(tracker.rate(), Some(5.0));
    assert!(tracker.is_leaving());
    tracker.observe(&Notice::default(), at(25), at(40));
    assert_eq!(tracker.rate(), None);
    assert!(!tracker.is_leaving());
}

/// Guards against a malformed limit that ends a valid one or is reported with every response.
#[test]
fn malformed_rate() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let malformed = Notice {
        rate_limit: RateLimit::Malformed,
        is_leaving: false,
    };
    let mut tracker = Tracker::default();
    tracker.observe(&stated(5.0), at(0), at(1));
    assert_eq!(
        tracker.observe(&malformed, at(2), at(3)),
        [Change::Malformed]
    );
    assert_eq!(tracker.observe(&malformed, at(4), at(5)), []);
    assert_eq!(tracker.rate(), Some(5.0));
}

/// Guards against new and queued requests that start on a target which states that it is leaving,
/// whatever the instance list says, and against a next run that inherits the statement.
#[test]
fn leaving_closes_gate() {
    let now = Instant::now();
    let contract: Contract = contract(1, 5, 1, 0);
    let mut gate = Gate::new(&contract, Startup::Fresh, now);
    let offer = |gate: &mut Gate, id| gate.offer(request(id, 1, 60_000, now), now);
    assert_eq!(offer(&mut gate, 1), Decision::Run);
    assert_eq!(offer(&mut gate, 2), Decision::Wait);
    gate.observe_notice(&leaving(), now, now);
    let refused = Action::Refuse(2, Cause::Leaving);
    assert_eq!(gate.drain_actions().collect::<Vec<_>>(), [refused]);
    // The instance list has the target as live.
    gate.set_closed(Closed::Leaving, false, now);
    assert_eq!(offer(&mut gate, 3), Decision::Refuse(Cause::Leaving));
    assert_eq!(gate.load(now).state, State::Leaving);
    gate.target_replaced(now);
    assert_eq!(gate.load(now).state, State::Warm);
}
