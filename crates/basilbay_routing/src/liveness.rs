//! Whether the daemon at the other end of a link is known to be there.
//!
//! Answers the pattern of a partition under load: a peer that is cut off looks like one that is slow,
//! and a request that must not be repeated is lost once it was sent there. In a large fleet each pair
//! of daemons exchanges a request every few seconds, so every daemon would lose one to every peer
//! behind the cut. Such a request is therefore sent only on a link that has answered a moment ago, if
//! need be to a ping; until then it has not been sent and can go elsewhere. A missed ping closes
//! nothing: the peer may be busy, and still works on what it has.

use std::time::{Duration, Instant};

/// Time after an answer for which a peer counts as there.
const PROOF_TTL: Duration = Duration::from_millis(500);

/// Time after a missed ping for which requests go elsewhere.
const SILENCE: Duration = Duration::from_millis(500);

/// What to do with a request for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Send it.
    Send,
    /// Send a ping, and the request once it is answered.
    Ping,
    /// Send it elsewhere.
    Avoid,
}

/// What is known of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    /// When the peer last answered; `None` before the first answer.
    answered_at: Option<Instant>,
    /// Until when requests go elsewhere; `None` while the peer answers.
    silent_until: Option<Instant>,
}

impl Liveness {
    /// Decides on a request; `is_repeatable` tells whether it may be sent again if the peer is gone.
    pub fn check(&self, is_repeatable: bool, now: Instant) -> Check {
        if self.silent_until.is_some_and(|until| now < until) {
            return Check::Avoid;
        }
        let is_proven = self
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < PROOF_TTL);
        if is_repeatable || is_proven {
            Check::Send
        } else {
            Check::Ping
        }
    }

    /// Records an answer of the peer, or that it accepted a connection.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.silent_until = None;
    }

    /// Records that the peer did not answer a ping.
    pub fn record_silence(&mut self, now: Instant) {
        self.silent_until = Some(now + SILENCE);
    }
}
