//! Faults of the two services, as set by tests.

use basilbay_model::id::Version;
use serde::{Deserialize, Serialize};

/// Faults of the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Connections are closed without an answer, waiting watches too.
    pub down: bool,
    /// Time before each answer.
    pub delay_ms: u64,
    /// Answers come from the last published version that is not above this one.
    pub stale_version: Option<Version>,
}

/// Faults of the instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Time before each answer.
    pub delay_ms: u64,
    /// Answers state the list of this long ago, and say so in `as_of_ms`.
    pub lag_ms: u64,
}

/// All faults of a platform; what is not named has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the configuration service.
    pub config: Config,
    /// Faults of the instance list.
    pub instances: List,
}
