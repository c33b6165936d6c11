//! What a target ran and which limits its callers broke.

use std::collections::VecDeque;
use std::sync::Arc;

use basilbay_model::id::InstanceId;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It completed.
    Done,
    /// The client disconnected or the deadline passed.
    Cancelled,
    /// The target crashed.
    Crashed,
}

/// One run of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The target.
    pub target: InstanceId,
    /// The caller's `x-request-id`; empty without one.
    pub request: Arc<str>,
    /// The idempotency key.
    pub key: Option<Arc<str>>,
    /// Path prefix of the kind.
    pub kind: Arc<str>,
    /// Start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Requests in flight at the start, this one included.
    pub in_flight_at_start: u32,
    /// Whether the target was cold at the start.
    pub cold: bool,
}

/// Limits of one target that its callers broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The target.
    pub target: InstanceId,
    /// Requests that came while all slots were in use.
    pub over_slots: u64,
    /// Requests that came while the cold target bore no more.
    pub over_cold: u64,
    /// Requests that came while the target drained.
    pub while_draining: u64,
    /// Longest time from the start of draining to a request that came then.
    pub latest_after_drain_us: u64,
    /// Connections above the limit.
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

/// A bounded ring of runs; each has a sequence number.
pub(super) struct Ring {
    kept: usize,
    first: u64,
    runs: VecDeque<Run>,
}

impl Ring {
    pub(super) fn new(kept: usize) -> Self {
        Self {
            kept,
            first: 0,
            runs: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, run: Run) {
        if self.runs.len() == self.kept {
            self.runs.pop_front();
            self.first += 1;
        }
        self.runs.push_back(run);
    }

    pub(super) fn clear(&mut self) {
        self.first += self.runs.len() as u64;
        self.runs.clear();
    }

    /// At most `count` runs from a sequence number on, and the number to continue with.
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
