//! Admission control for one target.
//!
//! All requests pass the [`gate::Gate`], which counts the running ones, keeps a short queue and
//! refuses the rest. The concurrency is bounded by the minimum of the contract's slots, the
//! adaptive [`limit`], the cold-start [`warmup`] and the restriction that follows from a report of
//! the target's load endpoint ([`probe`]). A contract may bound cold starts by a [`rate`] instead
//! of the warm-up. A target may state in its responses ([`notice`]) how many requests per second it
//! accepts, to which the [`pacer`] keeps. The [`slowdown`] detector holds requests back while other load on the machine
//! slows the target. The [`profile`] holds the service times of the warm target, with which the
//! limit and the warm-up compare those of new responses.
//!
//! Nothing here reads a clock, draws a random number or performs I/O: the time is a parameter, and
//! the results are decisions and actions. See docs/decisions/admission.md for the reasons.

pub mod gate;
pub mod limit;
pub mod notice;
pub mod pacer;
pub mod probe;
pub mod profile;
pub mod queue;
pub mod rate;
pub mod request;
pub mod slowdown;
pub mod warmup;
pub mod window;
