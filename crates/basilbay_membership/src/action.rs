//! What a node asks the daemon to do.

use std::net::SocketAddr;
use std::sync::Arc;

use basilbay_model::config::Config;
use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::Roster;
use basilbay_wire::datagram::Body;

use crate::event::Event;

/// Number of a pull; later pulls have higher numbers.
pub type PullId = u64;

/// Where a configuration or roster comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The configuration service or the instance list.
    Platform,
    /// Another daemon.
    Peer {
        /// Its instance.
        id: InstanceId,
        /// Its peer address.
        address: SocketAddr,
    },
}

/// One pull: the daemon hands it back with the answer.
///
/// The id tells an answer to a pull that was made before a pause, which confirms nothing, from
/// one made after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// Who is asked.
    pub source: Source,
    /// Number of the pull.
    pub id: PullId,
}

/// A step that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram, with the own instance as origin.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// What it says.
        body: Body,
    },
    /// Ask for the configuration and answer at once.
    PullConfig {
        /// Whom to ask.
        pull: Pull,
        /// Version in force.
        have: Version,
    },
    /// Long-poll the configuration service for [`crate::reader::WATCH_TIMEOUT`].
    ///
    /// A new watch replaces the one outstanding, which the daemon drops.
    WatchConfig {
        /// The pull; its source is the platform.
        pull: Pull,
        /// Versions up to this one are known.
        after: Version,
    },
    /// Ask for the roster.
    PullRoster {
        /// Whom to ask.
        pull: Pull,
        /// Version in force.
        have: Version,
    },
    /// A configuration comes into force.
    ApplyConfig(Arc<Config>),
    /// A roster version comes into force.
    ApplyRoster(Arc<Roster>),
    /// An instance said itself that it leaves; the roster may still call it live.
    PeerLeaving(InstanceId),
    /// An instance that said it leaves takes part again.
    PeerReturned(InstanceId),
    /// Log an event.
    Emit(Event),
    /// The process stood still; refuse the requests that waited.
    Paused,
    /// The view is confirmed after a pause.
    Confirmed,
    /// Whether the node is cut off from all peers and from the platform.
    Isolated(bool),
}
