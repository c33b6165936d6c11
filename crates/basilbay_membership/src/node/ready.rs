//! Readiness of a node, and whether it is isolated or cut off.

use std::time::Instant;

use super::Node;
use crate::readiness::{
    CATCH_UP_TIMEOUT, CUT_OFF_CONFIRMATION, CUT_OFF_SILENCE, ISOLATION_TIMEOUT, Missing, PEER_WAIT,
    Readiness,
};

impl Node {
    /// Whether new requests may be accepted at this time.
    pub fn readiness(&self, now: Instant) -> Readiness {
        if !self.pause_monitor.is_confirmed(now) {
            return Readiness::Unconfirmed;
        }
        if let Some(missing) = self.missing(now) {
            return Readiness::Starting(missing);
        }
        if !self.serves_alone && self.is_isolated(now) {
            return Readiness::Isolated;
        }
        Readiness::Ready
    }

    /// Whether callers are better off elsewhere: no peer is heard, although the platform confirms that
    /// there are some. Without that confirmation, the peers may have failed and this daemon be the last
    /// one.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let is_silent = self
            .peers
            .last_message_at
            .is_some_and(|at| now.saturating_duration_since(at) > CUT_OFF_SILENCE);
        let advanced_at = self.peers.roster_advanced_at;
        let is_confirmed = now.saturating_duration_since(advanced_at) < CUT_OFF_CONFIRMATION;
        is_silent && is_confirmed && self.gossip_peers.has_peers()
    }

    pub(super) fn missing(&self, now: Instant) -> Option<Missing> {
        let age = now.saturating_duration_since(self.started_at);
        // Counted from the first roster: no peers are known before it.
        let has_waited = self
            .first_roster_at
            .is_some_and(|first| now.saturating_duration_since(first) >= PEER_WAIT);
        let is_behind = self.peers.config.is_behind(self.config_view.version())
            || self.peers.roster.is_behind(self.roster_view.version());
        if self.config_view.current().is_none() {
            Some(Missing::Config)
        } else if self.roster_view.roster().is_none() {
            Some(Missing::Roster)
        } else if self.peers.last_message_at.is_none() && !has_waited {
            Some(Missing::Peer)
        } else if is_behind && age < CATCH_UP_TIMEOUT && !self.has_started {
            Some(Missing::NewerVersion)
        } else {
            None
        }
    }

    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        let last_contact = self.last_contact_at();
        self.gossip_peers.has_peers()
            && now.saturating_duration_since(last_contact) > ISOLATION_TIMEOUT
    }

    /// Last contact with a peer or the platform, but not before the start or the end of a pause.
    fn last_contact_at(&self) -> Instant {
        let resumed = self
            .pause_monitor
            .unconfirmed()
            .map(|unconfirmed| unconfirmed.since);
        let peer_at = self.peers.last_message_at.unwrap_or(self.started_at);
        let platform_at = self.platform.responded_at.unwrap_or(self.started_at);
        peer_at
            .max(platform_at)
            .max(resumed.unwrap_or(self.started_at))
    }
}
