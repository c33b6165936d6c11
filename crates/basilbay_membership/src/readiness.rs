//! Whether a daemon may take new work on its own view.

use std::time::Duration;

/// Time without a peer, from the first roster on, after which a new daemon serves on what it has.
pub const PEER_WAIT: Duration = Duration::from_secs(1);

/// Time that a new daemon waits for a newer version which a peer announced.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence of all peers and of the platform after which a daemon is isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// What a daemon waits for at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// It has no configuration.
    Config,
    /// It has no roster.
    Roster,
    /// It has heard no peer and waited for less than [`PEER_WAIT`].
    Peer,
    /// A peer announced a newer version that is not here yet.
    NewerVersion,
}

impl Missing {
    /// Why new work is refused.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Config => "no configuration yet",
            Self::Roster => "no instance list yet",
            Self::Peer => "no peer heard yet",
            Self::NewerVersion => "a newer version was announced and is being pulled",
        }
    }
}

/// Whether new work may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The view is good.
    Ready,
    /// The daemon has just started.
    Starting(Missing),
    /// The process stood still and nobody has confirmed its view since.
    Unconfirmed,
    /// Neither a peer nor the platform was heard for [`ISOLATION_TIMEOUT`].
    Isolated,
}

impl Readiness {
    /// Whether new work may be taken.
    pub fn is_ready(self) -> bool {
        self == Self::Ready
    }

    /// Why new work is refused; empty when it is not.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Ready => "",
            Self::Starting(lack) => lack.reason(),
            Self::Unconfirmed => "the process was paused and its view is not confirmed",
            Self::Isolated => "no peer and no platform heard for 3 s",
        }
    }
}
