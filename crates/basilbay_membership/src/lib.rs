//! Which configuration and roster are in force, who reads the platform, who is told, and when a
//! daemon may trust its own view.
//!
//! The crate decides and never acts: [`node::Node`] takes what happened (a tick, a heartbeat, the
//! answer to a pull) together with the time, and queues [`action::Action`]s that the daemon carries
//! out. It holds no socket, clock or global randomness, so that tests run it over a virtual clock.
//!
//! Configuration and roster enter through [`view`], which only moves versions forward. [`reader`]
//! names the few daemons of a failure domain that read the platform, [`gossip`] chooses who is
//! told, [`pull`] keeps at most one pull in flight, [`history`] and [`diff`] answer pulls with line
//! edits, and [`pause`] withdraws trust after the process stood still. [`readiness`] is the result:
//! whether new work may be taken, and if not, why.

pub mod action;
pub mod diff;
pub mod event;
pub mod gossip;
pub mod history;
pub mod node;
pub mod pause;
pub mod pull;
pub mod reader;
pub mod readiness;
pub mod view;
