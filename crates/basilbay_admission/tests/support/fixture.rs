//! Requests and contracts for the tests.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the items"
)]

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Gate};
use basilbay_admission::request::Request;
use basilbay_model::service::Contract;
use proptest::test_runner::Config;

/// A request whose deadline, which is also its goal, is `deadline_ms` from now.
pub fn request(id: u64, weight: u32, deadline_ms: u64, now: Instant) -> Request {
    Request {
        id,
        weight,
        deadline: now + Duration::from_millis(deadline_ms),
        goal_at: now + Duration::from_millis(deadline_ms),
        suspect: false,
        may_wait: true,
    }
}

pub fn contract(slots: u32, queue: u32, cold_slots: u32, warm_after: u32) -> Contract {
    Contract {
        slots,
        queue,
        cold_slots,
        warm_after,
        ..Contract::default()
    }
}

pub fn actions(gate: &mut Gate) -> Vec<Action> {
    gate.drain_actions().collect()
}

/// Test configuration that does not persist failed cases, because the seed is the same in all runs.
pub fn config(cases: u32) -> Config {
    Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    }
}
