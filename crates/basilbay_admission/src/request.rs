//! The properties of a request that decide on its admission: weight, deadline, goal, and whether it
//! may wait or must run isolated from other suspects.

use std::time::Instant;

/// Id of a request; the daemon never reuses one.
pub type RequestId = u64;

/// Position of a start in the sequence of all starts of a gate.
///
/// A request with a lower index than the first start after a change was started before the change,
/// so it carries no information about the effect of the change.
pub type StartIndex = u64;

/// A request that is offered to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Weight of its kind; the lightest kind is shed first.
    pub weight: u32,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Latest time at which a response is fully useful.
    pub goal_at: Instant,
    /// Whether the request was running on a target that crashed.
    pub suspect: bool,
    /// Whether the request may be queued; otherwise it is refused if it cannot run immediately, so
    /// that another target can run it.
    pub may_wait: bool,
}
