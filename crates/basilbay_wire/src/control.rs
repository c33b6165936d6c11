//! Bodies of control requests between daemons, over HTTP on the peer port.

use basilbay_model::id::{Digest, Version};
use basilbay_model::roster::Roster;
use serde::{Deserialize, Serialize};

/// Path that serves the configuration: `?have=N`.
pub const CONFIG_PATH: &str = "/basilbay/v1/config";

/// Path that serves the roster: `?have=N`.
pub const ROSTER_PATH: &str = "/basilbay/v1/roster";

/// One edit of a text: `removed` lines at `line` give way to `added`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// First line that is replaced, counted from 0 in the old text.
    pub line: u32,
    /// Number of old lines that are dropped.
    pub removed: u32,
    /// Lines that take their place.
    pub added: Vec<String>,
}

/// How the configuration is carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Text {
    /// The receiver has this version already.
    #[serde(rename = "same")]
    Unchanged,
    /// The whole text.
    #[serde(rename = "whole")]
    Full(String),
    /// Edits against the version that the receiver has, in the order of lines.
    Edits(Vec<Edit>),
}

/// Answer to a pull of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Format of this message.
    pub format: u16,
    /// Version of the text; 0 when the sender has none.
    pub version: Version,
    /// SHA-256 of the whole text.
    pub digest: Digest,
    /// The text.
    pub text: Text,
}

/// Answer to a pull of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterBody {
    /// Format of this message.
    pub format: u16,
    /// The roster, with version 0 when the sender has none.
    pub roster: Roster,
}
