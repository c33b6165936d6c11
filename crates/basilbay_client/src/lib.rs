//! The operators' client `basilbay`.
//!
//! It reads files and asks daemons; no verb changes anything or picks a server. [`command`]
//! describes the command line and [`run`] hands it to one module for each verb. [`fleet`] does the
//! asking; everything that is shown is a pure function from data to an [`output::Output`], so that
//! it can be tested without a fleet.

pub mod check;
pub mod command;
pub mod diff;
pub mod events;
pub mod explain;
pub mod fleet;
pub mod output;
pub mod run;
pub mod status;
pub mod table;
pub mod wait;
