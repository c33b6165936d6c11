//! What the gate needs to know about a request.

use std::time::Instant;

/// Id of a request; the shell never uses one twice.
pub type RequestId = u64;

/// Position of a start in the sequence of all starts of a gate.
///
/// A request whose order is lower than that of the first start after a change was started before
/// the change and says nothing about its effect.
pub type StartIndex = u64;

/// A request that asks to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Weight of its kind; the lightest is shed first.
    pub weight: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// When an answer is of full use at the latest.
    pub goal_at: Instant,
    /// Whether the request was on a target that crashed.
    pub suspect: bool,
    /// Whether the request may wait here; otherwise it is refused when it cannot run at once, so
    /// that it can run elsewhere.
    pub may_wait: bool,
}
