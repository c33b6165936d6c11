//! Heartbeats that a node sends: announcements of new versions and gossip rounds.

use std::net::SocketAddr;
use std::time::Instant;

use basilbay_wire::datagram::{Body, Datagram, Heartbeat};
use basilbay_wire::frame;
use basilbay_wire::load::State;

use super::Node;
use crate::action::Action;
use crate::gossip::{EAGER_RESERVE_BYTES, UDP_IP_HEADER_BYTES};
use crate::reader;
use crate::view::digest_prefix;

impl Node {
    fn heartbeat(&self, now: Instant) -> Heartbeat {
        let is_unready = !self.readiness(now).is_ready();
        let is_participating = self.state != State::Leaving;
        Heartbeat {
            config_version: self.config_view.version(),
            config_digest: digest_prefix(&self.config_view.digest()),
            roster_version: self.roster_view.version(),
            roster_as_of_ms: self.roster_view.as_of_ms(),
            state: if is_unready && is_participating {
                State::Unconfirmed
            } else {
                self.state
            },
        }
    }

    /// Sends heartbeats while the rate limit allows it.
    pub(super) fn send_heartbeats(
        &mut self,
        to: &[SocketAddr],
        reply: bool,
        reserve: u32,
        now: Instant,
    ) {
        let body = Body::Heartbeat {
            heartbeat: self.heartbeat(now),
            reply,
        };
        let datagram = Datagram {
            format: frame::FORMAT_VERSION,
            origin: self.identity.id.clone(),
            body,
        };
        let bytes = frame::encode(&datagram).len() + UDP_IP_HEADER_BYTES;
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        for address in to {
            if !self.bucket.try_take(bytes, reserve, now) {
                return;
            }
            self.actions.push(Action::Send {
                to: *address,
                body: datagram.body.clone(),
            });
        }
    }

    /// Notifies random peers of a new version immediately.
    pub(super) fn announce(&mut self, fanout: usize, now: Instant) {
        self.announced_at = now;
        let to = self.gossip_peers.select_eager(fanout, &mut self.random);
        self.send_heartbeats(&to, false, 0, now);
    }

    pub(super) fn send_round(&mut self, now: Instant) {
        let is_silent = self
            .peers
            .last_message_at
            .is_none_or(|at| now.saturating_duration_since(at) >= reader::SILENCE_TIMEOUT);
        let reply = is_silent || !self.readiness(now).is_ready();
        let to = match &self.bootstrap {
            Some(bootstrap) => bootstrap.select_round(&mut self.random),
            None => self.gossip_peers.select_round(&mut self.random),
        };
        self.send_heartbeats(&to, reply, EAGER_RESERVE_BYTES, now);
    }
}
