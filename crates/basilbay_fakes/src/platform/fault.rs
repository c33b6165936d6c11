//! Faults that tests inject into the two services.

use basilbay_model::id::Version;
use serde::{Deserialize, Serialize};

/// Faults of the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Closes connections without a response, including those of pending watches.
    pub down: bool,
    /// Delay before each response.
    pub delay_ms: u64,
    /// Serves the last published configuration whose version does not exceed this one; `None`
    /// serves the last one.
    pub stale_version: Option<Version>,
}

/// Faults of the instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Closes connections without a response.
    pub down: bool,
    /// Delay before each response.
    pub delay_ms: u64,
    /// Serves the list as it was this long ago, with `as_of_ms` set accordingly; 0 serves the
    /// current list.
    pub lag_ms: u64,
}

/// Faults of both services; a field that is absent from the JSON means no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the configuration service.
    pub config: Config,
    /// Faults of the instance list.
    pub instances: List,
}
