//! Open-loop load generation, fleets of real processes, fault scenarios and their audits.
//!
//! [`fleet`] starts the fake platform, the fake targets and the daemons on loopback, [`client`]
//! sends requests at planned times regardless of the responses, and [`audit`] compares the outcomes
//! that callers saw with the runs that the targets logged. The subcommands of `basilbay-load`
//! combine these three.

pub mod audit;
pub mod capacity;
pub mod client;
pub mod command;
pub mod compare;
pub mod demo;
pub mod deployment;
pub mod fleet;
pub mod ideal;
pub mod latency;
pub mod plan;
pub mod quick;
pub mod report;
pub mod scenario;
pub mod soak;
pub mod table;
pub mod trial;
