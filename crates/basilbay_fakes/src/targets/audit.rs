//! Audit records of a target: the requests that it ran and the violations of its limits.

use std::collections::VecDeque;
use std::sync::Arc;

use basilbay_model::id::InstanceId;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The request completed.
    Done,
    /// The client disconnected or the deadline passed.
    Cancelled,
    /// The target crashed.
    Crashed,
}

/// One execution of a request by a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the target.
    pub target: InstanceId,
    /// The caller's `x-request-id`; empty if the request had none.
    pub request: Arc<str>,
    /// Idempotency key; `None` if the request had none.
    pub key: Option<Arc<str>>,
    /// Path prefix of the request's kind.
    pub kind: Arc<str>,
    /// Start of the run, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the run, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// How the run ended.
    pub outcome: Outcome,
    /// Requests in flight at the start, this one included.
    pub in_flight_at_start: u32,
    /// Whether the target was cold at the start.
    pub cold: bool,
}

/// How often callers exceeded the limits of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Id of the target.
    pub target: InstanceId,
    /// Requests that arrived while all slots were in use.
    pub over_slots: u64,
    /// Requests that arrived while the target was cold and had reached its cold limit.
    pub over_cold: u64,
    /// Requests that arrived while the target was draining.
    pub while_draining: u64,
    /// Longest time from the start of draining to the arrival of such a request; 0 without one.
    pub latest_after_drain_us: u64,
    /// Connections closed because the connection limit was reached.
    pub over_connections: u64,
}

impl Violation {
    pub(super) fn new(target: &InstanceId) -> Self {
        Self {
            target: target.clone(),
            over_slots: 0,
            over_cold: 0,
            while_draining: 0,
            latest_after_drain_us: 0,
            over_connections: 0,
        }
    }
}

/// Ring buffer of runs, which have consecutive sequence numbers.
pub(super) struct Ring {
    capacity: usize,
    /// Sequence number of the oldest retained run.
    first: u64,
    runs: VecDeque<Run>,
}

impl Ring {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            first: 0,
            runs: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, run: Run) {
        if self.runs.len() == self.capacity {
            self.runs.pop_front();
            self.first += 1;
        }
        self.runs.push_back(run);
    }

    pub(super) fn clear(&mut self) {
        self.first += self.runs.len() as u64;
        self.runs.clear();
    }

    /// Returns at most `count` runs from sequence number `from` on, and the number at which to
    /// continue.
    pub(super) fn read(&self, from: u64, count: usize) -> (u64, Vec<Run>) {
        let from = from.max(self.first);
        let skipped = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let runs: Vec<Run> = self
            .runs
            .iter()
            .skip(skipped)
            .take(count)
            .cloned()
            .collect();
        (from + runs.len() as u64, runs)
    }
}
