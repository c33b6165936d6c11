//! Whether a daemon may take new work on its own view.

use std::time::Duration;

/// Time without a peer, from the first roster on, after which a new daemon serves on what it has.
pub const START_WAIT: Duration = Duration::from_secs(1);

/// Time that a new daemon waits for a newer version which a peer announced.
pub const CATCH_UP: Duration = Duration::from_secs(4);

/// Silence of all peers and of the platform after which a daemon is isolated.
pub const ISOLATION: Duration = Duration::from_secs(3);

/// What a daemon waits for at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// It has no configuration.
    Config,
    /// It has no roster.
    Roster,
    /// It has heard no peer and waited for less than [`START_WAIT`].
    Peer,
    /// A peer announced a newer version that is not here yet.
    Newer,
}

impl Lack {
    /// Why new work is refused.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Config => "no configuration yet",
            Self::Roster => "no instance list yet",
            Self::Peer => "no peer heard yet",
            Self::Newer => "a newer version was announced and is being pulled",
        }
    }
}

/// Whether new work may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The view is good.
    Serving,
    /// The daemon has just started.
    Starting(Lack),
    /// The process stood still and nobody has confirmed its view since.
    Unconfirmed,
    /// Neither a peer nor the platform was heard for [`ISOLATION`].
    Isolated,
}

impl Standing {
    /// Whether new work may be taken.
    pub fn serves(self) -> bool {
        self == Self::Serving
    }

    /// Why new work is refused; empty when it is not.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Serving => "",
            Self::Starting(lack) => lack.reason(),
            Self::Unconfirmed => "the process was paused and its view is not confirmed",
            Self::Isolated => "no peer and no platform heard for 3 s",
        }
    }
}
