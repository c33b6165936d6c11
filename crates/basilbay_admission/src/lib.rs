//! What one target is handed, and when.
//!
//! The [`gate::Gate`] is the sole way to a target. It counts the requests that run there, keeps a
//! short queue, and refuses the rest. How many requests may run is the least of four figures: the
//! slots of the contract, the adaptive [`limit`], the cold start [`ramp`], and the restriction
//! that follows from a report of the target's load endpoint ([`probe`]). The [`profile`] holds the
//! service times of the warm target, against which the limit and the ramp judge new ones.
//!
//! Nothing here reads a clock, draws a random number or performs input or output: the time is a
//! parameter, and the results are decisions and actions. docs/decisions/admission.md gives the
//! reasons.

pub mod gate;
pub mod limit;
pub mod probe;
pub mod profile;
pub mod queue;
pub mod rate;
pub mod request;
pub mod slowdown;
pub mod warmup;
pub mod window;
