//! ClosedSet for taking no new work.

use basilbay_wire::load::State;
use basilbay_wire::problem::Cause;

/// A reason for taking no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// Operators took the service_time or the failure domain out.
    Out,
    /// The target or the daemon is leaving.
    Leaving,
    /// The daemon does not trust its own view.
    Unconfirmed,
    /// The target does not response.
    Down,
}

impl Closed {
    /// Every reason, the one that is reported first at the front: leaving is for good, and an
    /// unconfirmed view may be wrong about the service_time being out.
    pub const ALL: [Self; 4] = [Self::Leaving, Self::Unconfirmed, Self::Out, Self::Down];

    /// Why a request is refused.
    pub fn cause(self) -> Cause {
        match self {
            Self::Out => Cause::ServiceOut,
            Self::Leaving => Cause::Leaving,
            Self::Unconfirmed => Cause::Unconfirmed,
            Self::Down => Cause::NoCapacity,
        }
    }

    /// The state in load figures.
    pub fn state(self) -> State {
        match self {
            Self::Out => State::Out,
            Self::Leaving => State::Leaving,
            Self::Unconfirmed => State::Unconfirmed,
            Self::Down => State::Down,
        }
    }

    fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// The reasons that hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClosedSet(u8);

impl ClosedSet {
    pub(super) fn set(&mut self, reason: Closed, active: bool) {
        if active {
            self.0 |= reason.bit();
        } else {
            self.0 &= !reason.bit();
        }
    }

    pub(super) fn contains(self, reason: Closed) -> bool {
        self.0 & reason.bit() != 0
    }

    pub(super) fn first(self) -> Option<Closed> {
        Closed::ALL
            .into_iter()
            .find(|reason| self.contains(*reason))
    }
}
