//! The daemon beside each target instance.
//!
//! A thin shell: sockets, timers and tasks. Every decision is made by the pure crates, which
//! [`daemon::Daemon`] composes. A request enters through [`server`] and
//! [`pipeline`]; [`request`] reads it;
//! [`entry`] picks a target's daemon and sends a hop there over a [`link`]; on that side
//! [`target`] admits it and hands it to the target over a [`pool`].

pub mod access_log;
pub mod admin;
pub mod admission;
pub mod attempt;
pub mod body;
pub mod call;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod framing;
pub mod health;
pub mod home;
pub mod hop;
pub mod link;
pub mod local;
pub mod monitoring;
pub mod pipeline;
pub mod platform;
pub mod pool;
pub mod program;
pub mod reload;
pub mod report;
pub mod request;
pub mod response;
pub mod server;
pub mod serving;
pub mod settings;
pub mod source;
pub mod stop;
pub mod suspects;
pub mod target;
pub mod trace;
pub mod traffic;
