//! The operators' client `basilbay`.
//!
//! The client reads configuration files and queries daemons. All subcommands are read-only, and
//! none of them selects a target for a request. [`command`] defines the command line and [`run`]
//! dispatches it to one module per subcommand. Network access is confined to [`fleet`]; rendering
//! is a pure function from data to an [`output::Output`], so that tests need no running fleet.

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
