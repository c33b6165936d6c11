//! Events that a node reports to the log. Names of variants and fields appear in log lines.

use basilbay_model::finding::Report;
use basilbay_model::id::{InstanceId, Serial, Version};

use crate::action::Source;

/// One of the two parts of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    Config,
    /// The roster.
    Roster,
}

/// A logged event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration became active.
    ConfigAccepted {
        /// Its version.
        version: Version,
        /// Source of the configuration.
        source: Source,
    },
    /// A configuration has findings and was rejected as a whole.
    ConfigRejected {
        /// Source of the configuration.
        source: Source,
        /// The findings.
        report: Report,
    },
    /// A different configuration has the active version.
    ConfigConflict {
        /// The version.
        version: Version,
        /// Source of the other configuration.
        source: Source,
    },
    /// A source offers a configuration that is older than the active one.
    ConfigOlder {
        /// Version offered.
        offered: Version,
        /// Active version.
        version: Version,
        /// Source of the older version.
        source: Source,
    },
    /// A source offers content from before the active configuration, of a platform that came back
    /// from an older copy.
    ConfigSuperseded {
        /// Serial offered.
        offered: Serial,
        /// Active serial.
        serial: Serial,
        /// Source of the older content.
        source: Source,
    },
    /// A roster became active.
    RosterAccepted {
        /// Its version.
        version: Version,
        /// Source of the roster.
        source: Source,
    },
    /// A different roster has the active version.
    RosterConflict {
        /// The version.
        version: Version,
        /// Source of the other roster.
        source: Source,
    },
    /// A source offers a roster that is older than the active one.
    RosterOlder {
        /// Version offered.
        offered: Version,
        /// Active version.
        version: Version,
        /// Source of the older version.
        source: Source,
    },
    /// The platform does not respond.
    PlatformUnreachable {
        /// Requested part.
        part: Part,
    },
    /// The result of edits does not match the announced digest; the full text is pulled.
    EditsMismatch {
        /// Version to be pulled.
        version: Version,
        /// Source of the edits.
        source: Source,
    },
    /// A peer did not respond to a pull.
    PullFailed {
        /// Requested part.
        part: Part,
        /// Source that was queried.
        source: Source,
    },
    /// A peer announced that it is leaving.
    PeerLeaving {
        /// Id of the peer.
        id: InstanceId,
    },
    /// There was no contact with a peer or the platform for
    /// [`crate::readiness::ISOLATION_TIMEOUT`].
    Isolated,
    /// Contact with a peer or the platform is restored.
    Rejoined,
}

impl Event {
    /// Number in the event catalogue.
    pub fn number(&self) -> u16 {
        match self {
            Self::ConfigAccepted { .. } => 200,
            Self::ConfigRejected { .. } => 201,
            Self::ConfigConflict { .. } => 202,
            Self::ConfigOlder { .. } => 203,
            Self::RosterAccepted { .. } => 204,
            Self::PlatformUnreachable { .. } => 205,
            Self::RosterConflict { .. } => 206,
            Self::RosterOlder { .. } => 207,
            Self::ConfigSuperseded { .. } => 209,
            Self::EditsMismatch { .. } => 600,
            Self::PullFailed { .. } => 601,
            Self::PeerLeaving { .. } => 602,
            Self::Isolated => 603,
            Self::Rejoined => 604,
        }
    }
}
