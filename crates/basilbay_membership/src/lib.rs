//! Dissemination of configuration and roster: which versions are active, who reads the platform,
//! how versions spread among daemons, and when a daemon may rely on its own view.
//!
//! The crate makes decisions and performs no I/O. [`node::Node`] receives inputs (a tick, a
//! heartbeat, the response to a pull) together with the current time, and queues
//! [`action::Action`]s for the daemon to execute. It holds no socket, clock or global random state,
//! so tests run it on a virtual clock.
//!
//! [`view`] validates configurations and rosters and only lets versions increase. [`reader`]
//! selects the few daemons of a failure domain that read the platform, and [`bootstrap`] the few
//! that read it when all start at once. [`gossip`] selects the peers
//! to notify. [`pull`] limits pulls to one in flight per source and part. [`history`] and [`diff`]
//! answer pulls of the configuration with line edits, and [`change`] answers pulls of the roster
//! with the instances that changed. [`pause`] detects that the process was paused, after
//! which the view must be confirmed again. [`readiness`] is the result: whether new requests may be
//! accepted, and if not, why.

pub mod action;
pub mod bootstrap;
pub mod change;
pub mod diff;
pub mod event;
pub mod gossip;
pub mod history;
pub mod node;
pub mod pause;
pub mod pull;
pub mod reader;
pub mod readiness;
pub mod restoration;
pub mod view;
