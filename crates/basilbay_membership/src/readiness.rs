//! Whether a daemon may accept new requests, judged by its view of the fleet, and the reason if it
//! may not.

use std::time::Duration;

/// Time for which a new daemon waits for a peer, counted from its first roster, before it becomes
/// ready without one.
pub const PEER_WAIT: Duration = Duration::from_secs(1);

/// Time for which a new daemon waits for a newer version that a peer announced.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without contact with any peer or the platform after which a daemon is isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a message from any peer after which a daemon counts as cut off from them. Peers send
/// about 16 heartbeats a second in all to each daemon.
pub const CUT_OFF_SILENCE: Duration = Duration::from_millis(1500);

/// Age up to which the platform's list confirms that there are peers.
pub const CUT_OFF_CONFIRMATION: Duration = Duration::from_secs(4);

/// What a daemon waits for at startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// A configuration.
    Config,
    /// A roster.
    Roster,
    /// A message from a peer, for up to [`PEER_WAIT`].
    Peer,
    /// A newer version that a peer announced.
    NewerVersion,
}

impl Missing {
    /// Reason for refusing new requests.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Config => "no configuration received yet",
            Self::Roster => "no instance list received yet",
            Self::Peer => "no message from a peer received yet",
            Self::NewerVersion => "a newer version was announced and is being pulled",
        }
    }
}

/// Whether new requests may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The view is confirmed and up to date.
    Ready,
    /// The daemon is starting up.
    Starting(Missing),
    /// The process was paused and its view has not been confirmed since.
    Unconfirmed,
    /// There was no contact with a peer or the platform for [`ISOLATION_TIMEOUT`].
    Isolated,
}

impl Readiness {
    /// Whether new requests may be accepted.
    pub fn is_ready(self) -> bool {
        self == Self::Ready
    }

    /// Reason for refusing new requests; empty if ready.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Ready => "",
            Self::Starting(missing) => missing.reason(),
            Self::Unconfirmed => "the process was paused and its view is not confirmed",
            Self::Isolated => "no contact with a peer or the platform for 3 s",
        }
    }
}
