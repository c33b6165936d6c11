//! Events that a node reports, with their fields.

use basilbay_model::finding::Report;
use basilbay_model::id::{InstanceId, Version};

use crate::action::Source;

/// One of the two parts of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    Config,
    /// The roster.
    Roster,
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration is in force.
    ConfigAccepted {
        /// Its version.
        version: Version,
        /// Who gave it.
        source: Source,
    },
    /// A configuration has findings and was refused whole.
    ConfigRejected {
        /// Who gave it.
        source: Source,
        /// The findings.
        report: Report,
    },
    /// Another configuration carries the version in force.
    ConfigConflict {
        /// The version.
        version: Version,
        /// Who has the other one.
        source: Source,
    },
    /// A source offers a configuration older than the one in force.
    ConfigOlder {
        /// Version offered.
        offered: Version,
        /// Version in force.
        version: Version,
        /// Who offered it.
        source: Source,
    },
    /// A roster version is in force.
    RosterAccepted {
        /// Its version.
        version: Version,
        /// Who gave it.
        source: Source,
    },
    /// Another roster carries the version in force.
    RosterConflict {
        /// The version.
        version: Version,
        /// Who gave it.
        source: Source,
    },
    /// A source offers a roster older than the one in force.
    RosterOlder {
        /// Version offered.
        offered: Version,
        /// Version in force.
        version: Version,
        /// Who offered it.
        source: Source,
    },
    /// The platform does not answer.
    PlatformUnreachable {
        /// What was asked for.
        part: Part,
    },
    /// Edits did not lead to the announced digest; the whole text is pulled.
    EditsMismatch {
        /// Version that was pulled.
        version: Version,
        /// Who gave the edits.
        source: Source,
    },
    /// A peer did not answer a pull.
    PullFailed {
        /// What was asked for.
        part: Part,
        /// Who was asked.
        source: Source,
    },
    /// A peer said that it leaves.
    PeerLeaving {
        /// The peer.
        id: InstanceId,
    },
    /// Neither a peer nor the platform was heard for [`crate::readiness::ISOLATION_TIMEOUT`].
    Isolated,
    /// A peer or the platform is heard again.
    Rejoined,
}

impl Event {
    /// Number in the catalogue of events.
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
            Self::EditsMismatch { .. } => 600,
            Self::PullFailed { .. } => 601,
            Self::PeerLeaving { .. } => 602,
            Self::Isolated => 603,
            Self::Rejoined => 604,
        }
    }
}
