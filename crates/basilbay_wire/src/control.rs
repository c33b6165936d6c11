//! Bodies of control requests between daemons, over HTTP on the peer port.
//!
//! A daemon pulls the configuration or the roster from a peer and states the version that it has;
//! the response consists of changes to that version if they are available.

use basilbay_model::id::{Digest, InstanceId, Version};
use basilbay_model::roster::{Instance, Roster};
use serde::{Deserialize, Serialize};

/// Path that serves the configuration; `?have=N` states the version that the client has, and
/// `?have=N&digest=D` also the digest of its text without the version, which allows a response with
/// edits to a version that the sender never had.
pub const CONFIG_PATH: &str = "/basilbay/v1/config";

/// Path that serves the roster; `?have=N` states the version that the client has, and
/// `?have=N&digest=D` also the digest of its instances, which allows a response with
/// [`Changes`].
pub const ROSTER_PATH: &str = "/basilbay/v1/roster";

/// Path that answers with an empty body, which shows that the daemon is there.
pub const PING_PATH: &str = "/basilbay/v1/ping";

/// One line edit of a text: replaces `removed` lines at `line` with `added`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// First replaced line, counted from 0 in the old text.
    pub line: u32,
    /// Number of replaced lines; 0 only inserts.
    pub removed: u32,
    /// Lines inserted in their place.
    pub added: Vec<String>,
}

/// Encoding of the configuration text relative to the version that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Text {
    /// The receiver already has this version.
    #[serde(rename = "same")]
    Unchanged,
    /// The full text.
    #[serde(rename = "whole")]
    Full(String),
    /// Edits against the version that the receiver has, sorted by line.
    Edits(Vec<Edit>),
}

/// Response to a configuration pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Version of the message format.
    pub format: u16,
    /// Version of the text; 0 when the sender has none.
    pub version: Version,
    /// SHA-256 of the full text.
    pub digest: Digest,
    /// The text, in full or as edits.
    pub text: Text,
}

/// Changes that turn the instances of one roster into those of a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version that the changes apply to.
    pub base: Version,
    /// Instances that were added or modified, sorted by id.
    pub updated: Vec<Instance>,
    /// Ids of instances that were removed, sorted.
    pub removed: Vec<InstanceId>,
    /// Digest of the resulting instances.
    pub digest: u64,
}

/// Response to a roster pull.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterBody {
    /// Version of the message format.
    pub format: u16,
    /// The roster; its version is 0 when the sender has none. Without instances if there are
    /// `changes`, or if the receiver has this version.
    pub roster: Roster,
    /// Changes to the version that the receiver has; `None` if the roster is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Changes>,
}
