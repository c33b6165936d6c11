//! Output of a node: the I/O and the changes of state that the daemon executes.

use std::net::SocketAddr;
use std::sync::Arc;

use basilbay_model::config::Config;
use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::Roster;
use basilbay_wire::datagram::Body;

use crate::event::Event;

/// Sequence number of a pull; later pulls have higher numbers.
pub type PullId = u64;

/// Source of a configuration or roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The configuration service or the instance list.
    Platform,
    /// A daemon of another instance.
    Peer {
        /// Id of its instance.
        id: InstanceId,
        /// Its peer address.
        address: SocketAddr,
    },
}

/// Identifies a pull; the daemon passes it back with the response.
///
/// The id distinguishes a response to a pull made before a pause, which does not confirm the view,
/// from a response to a pull made after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// Source that is queried.
    pub source: Source,
    /// Sequence number of the pull.
    pub id: PullId,
}

/// An action that the daemon executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram with the local instance as origin.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Content of the datagram.
        body: Body,
    },
    /// Read the configuration without long polling.
    PullConfig {
        /// The pull and its source.
        pull: Pull,
        /// Active version; 0 if there is none or the full text is needed.
        have: Version,
        /// Digest of the active text without its version; `None` if there is none or the full text
        /// is needed.
        content: Option<u64>,
    },
    /// Long-poll the configuration service for [`crate::reader::WATCH_TIMEOUT`].
    ///
    /// A new watch replaces the outstanding one, which the daemon aborts.
    WatchConfig {
        /// The pull, whose source is the platform.
        pull: Pull,
        /// Highest known version; the response is a newer one.
        after: Version,
    },
    /// Read the roster.
    PullRoster {
        /// The pull and its source.
        pull: Pull,
        /// Active version; 0 if there is none or all instances are needed.
        have: Version,
        /// Digest of the active instances; `None` if there are none or all instances are needed.
        digest: Option<u64>,
    },
    /// Read some contacts from the platform, at a low price.
    ReadContacts,
    /// Activate a configuration.
    ApplyConfig(Arc<Config>),
    /// Activate a roster.
    ApplyRoster(Arc<Roster>),
    /// Treat an instance as leaving because it announced so itself; the roster may still list it as
    /// live.
    PeerLeaving(InstanceId),
    /// Treat an instance that announced its leaving as live again.
    PeerReturned(InstanceId),
    /// Log an event.
    Emit(Event),
    /// Refuse queued requests, because the process was paused.
    Paused,
    /// The view is confirmed after a pause.
    Confirmed,
    /// Report that isolation from all peers and from the platform has begun (`true`) or ended.
    Isolated(bool),
}
