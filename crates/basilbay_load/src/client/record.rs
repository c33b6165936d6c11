//! Records of requests and their outcomes as callers see them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Response of the target with this status.
    Answer(u16),
    /// The outcome header states that the request was not run; with the status.
    NotRun(u16),
    /// The outcome header states that the outcome is unknown; with the status.
    Unknown(u16),
    /// The connection failed after the request was sent.
    Broken,
    /// No response by the end of the grace period after the deadline.
    Silent,
    /// No daemon accepted a connection.
    Unreachable,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// `x-request-id` of the attempt.
    pub id: Arc<str>,
    /// Index of the daemon that received the attempt.
    pub entry: usize,
    /// Outcome as the caller saw it.
    #[serde(rename = "told")]
    pub outcome: Outcome,
}

/// One request, from its planned time to the end of its last attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the request's stream in the plan.
    pub stream: usize,
    /// Idempotency key; `None` if the request has none.
    pub key: Option<Arc<str>>,
    /// Planned time, in microseconds since the Unix epoch.
    pub due_us: u64,
    /// Time from the planned time to the start of sending.
    pub lag_us: u64,
    /// Time from the planned time to the end of the last attempt.
    pub took_us: u64,
    /// Attempts, oldest first; never empty.
    pub attempts: Vec<Attempt>,
    /// Whether the body is the complete response to this request; only meaningful for status 200.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// Whether the response was replayed from the key store.
    pub is_replayed: bool,
}

impl Record {
    /// Outcome of the whole request.
    ///
    /// An attempt of unknown outcome prevails over a resend that was not run: the first attempt may
    /// have run.
    pub fn outcome(&self) -> Outcome {
        let last = self
            .attempts
            .last()
            .map_or(Outcome::Unreachable, |last| last.outcome);
        let uncertain = self.attempts.iter().find(|attempt| {
            matches!(
                attempt.outcome,
                Outcome::Unknown(_) | Outcome::Broken | Outcome::Silent
            )
        });
        match (last, uncertain) {
            (Outcome::NotRun(_) | Outcome::Unreachable, Some(uncertain)) => uncertain.outcome,
            _ => last,
        }
    }
}
