//! Fakes of the services around basilbay, for tests, the demo and the benchmark.
//!
//! [`platform`] is the configuration service and the instance list, [`targets`] runs many targets
//! in one process and records every request that they run, and [`proxy`] forwards traffic and
//! injects network faults. Each has a `start` that returns a handle; dropping the handle stops the
//! fake. All of them listen on loopback addresses only.
//!
//! Paths that start with `/fake/` are the control interface of the fakes: tests use them to publish
//! configurations, to inject faults and to read the audit records. basilbay itself never calls
//! them.

pub mod client;
pub mod clock;
pub mod command;
pub mod platform;
pub mod proxy;
pub mod targets;
pub mod timer;
pub mod web;
