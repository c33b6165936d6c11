//! Small stand-ins for everything around basilbay, for tests, the demo and the benchmark.
//!
//! [`platform`] is the configuration service and the instance list, [`targets`] runs many targets
//! in one process and keeps an account of what they ran, and [`proxy`] is a network path with
//! faults. Each has a `start` that returns a handle; dropping the handle stops the stand-in. All
//! listen on loopback addresses only.
//!
//! Paths that start with `/fake/` belong to the stand-ins: tests use them to publish, to inject
//! faults and to read the accounts. The product never calls them.

pub mod client;
pub mod clock;
pub mod command;
pub mod platform;
pub mod proxy;
pub mod targets;
pub mod timer;
pub mod web;
