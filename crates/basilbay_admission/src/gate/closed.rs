//! Reasons for which the gate accepts no new requests.

use basilbay_wire::load::State;
use basilbay_wire::problem::Cause;

/// A reason for which the gate accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// Operators took the service or the failure domain out of service.
    Out,
    /// The target or the daemon is shutting down, by the instance list or the daemon's own stop.
    Leaving,
    /// The target states in its responses that it is leaving.
    TargetLeaving,
    /// The daemon's view of the fleet is not confirmed.
    Unconfirmed,
    /// The target does not respond.
    Down,
    /// Another run than the listed one responds at the target's address.
    Misdirected,
}

impl Closed {
    /// All reasons in the order of precedence for reporting: leaving comes first because it is
    /// final, and unconfirmed precedes out because an unconfirmed view may be wrong about the
    /// service being out.
    pub const ALL: [Self; 6] = [
        Self::Leaving,
        Self::TargetLeaving,
        Self::Unconfirmed,
        Self::Out,
        Self::Down,
        Self::Misdirected,
    ];

    /// Cause of the refusals.
    pub fn cause(self) -> Cause {
        match self {
            Self::Out => Cause::ServiceOut,
            Self::Leaving | Self::TargetLeaving => Cause::Leaving,
            Self::Unconfirmed => Cause::Unconfirmed,
            Self::Down | Self::Misdirected => Cause::NoCapacity,
        }
    }

    /// State in the load report.
    pub fn state(self) -> State {
        match self {
            Self::Out => State::Out,
            Self::Leaving | Self::TargetLeaving => State::Leaving,
            Self::Unconfirmed => State::Unconfirmed,
            Self::Down | Self::Misdirected => State::Down,
        }
    }

    fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// Bit set of the active reasons.
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

    /// The active reason with the highest precedence; `None` if the gate is open.
    pub(super) fn first(self) -> Option<Closed> {
        Closed::ALL
            .into_iter()
            .find(|reason| self.contains(*reason))
    }
}
