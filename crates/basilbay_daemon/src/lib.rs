//! The daemon that runs as a sidecar proxy beside each target instance.
//!
//! This crate holds the I/O: sockets, timers and tasks. All decisions are made by crates without
//! I/O (routing, admission, keys, membership), which [`daemon::Daemon`] composes; they can
//! therefore be tested without sockets or clocks. A request passes these modules in turn:
//!
//! 1. [`server`] and [`pipeline`] accept the caller's connection and split it into requests.
//! 2. [`request`] parses and classifies the request.
//! 3. [`entry`] picks a target and sends the request to that target's daemon over a [`link`]; one
//!    such transfer between daemons is a [`hop`].
//! 4. There, [`target`] admits the request and forwards it to the target over a [`pool`]ed
//!    connection.
//!
//! A keyed request that is not idempotent passes the [`owner`] of its key before step 3.

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
pub mod hop;
pub mod link;
pub mod local;
pub mod monitoring;
pub mod owner;
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
