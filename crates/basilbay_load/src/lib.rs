//! Open-loop load, fleets of real processes, scenarios and their accounts.
//!
//! [`fleet`] starts the stand-ins and the daemons on loopback, [`client`] sends requests at planned
//! times whatever the answers do, and [`audit`] compares what callers were told with what the
//! targets ran. The verbs of `basilbay-load` are compositions of these three.

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
