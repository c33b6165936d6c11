//! What one caller was told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What one attempt brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An answer of the target with this status.
    Answer(u16),
    /// Basilbay says that it was not run.
    NotRun(u16),
    /// Basilbay says that it does not know.
    Unknown(u16),
    /// The connection broke after the request was sent.
    Broken,
    /// No answer until long after the deadline.
    Silent,
    /// No daemon took a connection.
    Unreachable,
}

/// One attempt of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Its `x-request-id`.
    pub id: Arc<str>,
    /// Index of the daemon.
    pub entry: usize,
    /// What it brought.
    #[serde(rename = "told")]
    pub outcome: Outcome,
}

/// One request of a caller, from its planned time to its last attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the stream.
    pub stream: usize,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Planned time, in microseconds since the Unix epoch.
    pub due_us: u64,
    /// From the planned time to the start of sending.
    pub lag_us: u64,
    /// From the planned time to the end.
    pub took_us: u64,
    /// Attempts, oldest first; never empty.
    pub attempts: Vec<Attempt>,
    /// Whether the body is the whole answer to this request; only meaningful for status 200.
    pub is_whole: bool,
    /// Whether the answer came from the memory of a key.
    pub is_replayed: bool,
}

impl Record {
    /// What the caller was told in the end.
    ///
    /// A caller that heard of an unknown outcome and then that a resend was not run does not know.
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
