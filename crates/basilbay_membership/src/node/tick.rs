//! Periodic work of a node: decides at each tick which reads of the platform, pulls and gossip
//! rounds are due, and which pulls have timed out.

use std::time::{Duration, Instant};

use basilbay_model::id::Version;
use basilbay_wire::datagram::Body;

use super::Node;
use crate::action::{Action, Pull, Source};
use crate::bootstrap;
use crate::event::{Event, Part};
use crate::gossip::ROUND_INTERVAL;
use crate::pause;
use crate::pull::{Candidate, InFlight, PEER_TIMEOUT};
use crate::reader::{
    self, CONFIG_READ_DELAY, CONFIG_WAIT, CONFIG_WAIT_WITH_READERS, DIRECT_READ_INTERVAL,
    MAX_JITTER, PLATFORM_TIMEOUT, POLL_INTERVAL, SILENCE_TIMEOUT, STALE_AFTER, WATCH_TIMEOUT,
};

/// Number of times that each peer is notified that the local target is leaving, since datagrams may
/// be lost.
pub(super) const LEAVING_REPEATS: usize = 3;

/// Minimum number of leaving notifications sent per tick.
const MIN_LEAVING_SENDS_PER_TICK: usize = 64;

/// Number of ticks over which all leaving notifications are sent. At 50 ms per tick they are sent
/// within 1.5 s, because callers must stop sending new requests within 2 s.
const LEAVING_TICKS: usize = 30;

impl Node {
    /// Performs the work that is due; to be called every 50 ms.
    pub fn tick(&mut self, now: Instant) {
        self.observe(now);
        self.pause_monitor.tick(now);
        self.expire_pulls(now);
        if self.restoration.roster_expired(now) {
            self.apply_roster(now);
        }
        if self.restoration.config_expired(now) {
            self.apply_config(now);
        }
        self.read_contacts(now);
        self.poll_roster(now);
        self.refresh_config(now);
        self.request_confirmation(now);
        self.pull_newer(now);
        if now >= self.next_round_at {
            self.next_round_at = now + self.round_interval();
            self.send_round(now);
        }
        self.send_leaving();
        self.update_isolation(now);
        self.has_started |= self.missing(now).is_none();
    }

    fn round_interval(&self) -> Duration {
        match self.bootstrap {
            Some(_) => bootstrap::ROUND_INTERVAL,
            None => ROUND_INTERVAL,
        }
    }

    fn read_contacts(&mut self, now: Instant) {
        let random = &mut self.random;
        if let Some(bootstrap) = &mut self.bootstrap
            && bootstrap.takes_read(now, random)
        {
            self.push_action(Action::ReadContacts);
        }
    }

    /// Pulls newer versions that peers have announced, unless a pull is in flight.
    pub(super) fn pull_newer(&mut self, now: Instant) {
        let version = self.config_view.version();
        let candidate = self.peers.config.next_candidate(version);
        if let Some(candidate) = candidate.filter(|_| self.peers.config.in_flight.is_none()) {
            self.pull_config(peer_source(candidate), version, now);
        }
        let version = self.roster_view.version();
        let candidate = self.peers.roster.next_candidate(version);
        if let Some(candidate) = candidate.filter(|_| self.peers.roster.in_flight.is_none()) {
            self.pull_roster(peer_source(candidate), version, now);
        }
    }

    pub(super) fn pull_config(&mut self, source: Source, have: Version, now: Instant) {
        let from_platform = source == Source::Platform;
        let limit = if from_platform {
            PLATFORM_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        let (in_flight, pull) = self.start_pull(source, now + limit);
        if from_platform {
            self.platform.config.in_flight = Some(in_flight);
        } else {
            self.peers.config.in_flight = Some(in_flight);
        }
        let content = self.config_view.content().filter(|_| have > 0);
        self.push_action(Action::PullConfig {
            pull,
            have,
            content,
        });
    }

    pub(super) fn send_leaving(&mut self) {
        if self.leaving_queue.is_empty() {
            return;
        }
        let step = MIN_LEAVING_SENDS_PER_TICK
            .max(self.gossip_peers.addresses().len() * LEAVING_REPEATS / LEAVING_TICKS);
        let count = step.min(self.leaving_queue.len());
        for to in self.leaving_queue.drain(..count) {
            self.actions.push(Action::Send {
                to,
                body: Body::Leaving,
            });
        }
    }

    pub(super) fn pull_roster(&mut self, source: Source, have: Version, now: Instant) {
        let from_platform = source == Source::Platform;
        let limit = if from_platform {
            PLATFORM_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        let (in_flight, pull) = self.start_pull(source, now + limit);
        if from_platform {
            self.platform.roster_read_at = Some(now);
            self.platform.roster.in_flight = Some(in_flight);
        } else {
            self.peers.roster.in_flight = Some(in_flight);
        }
        let digest = self.roster_view.digest().filter(|_| have > 0);
        self.push_action(Action::PullRoster { pull, have, digest });
    }

    /// Treats pulls that have timed out as failed.
    fn expire_pulls(&mut self, now: Instant) {
        let config = [
            self.platform.config.take_expired(now),
            self.peers.config.take_expired(now),
        ];
        for in_flight in config.into_iter().flatten() {
            self.handle_config_failure(&pull_of(in_flight), now);
        }
        let roster = [
            self.platform.roster.take_expired(now),
            self.peers.roster.take_expired(now),
        ];
        for in_flight in roster.into_iter().flatten() {
            self.handle_roster_failure(&pull_of(in_flight), now);
        }
    }

    fn poll_roster(&mut self, now: Instant) {
        let is_busy = self.platform.roster.in_flight.is_some();
        let may_retry = self.platform.roster_backoff.is_elapsed(now);
        if is_busy || !may_retry || !self.roster_read_is_due(now) {
            return;
        }
        if !self.is_reader() {
            self.jitter = reader::random_fraction(MAX_JITTER, &mut self.random);
        }
        self.pull_roster(Source::Platform, self.roster_view.version(), now);
    }

    fn roster_read_is_due(&self, now: Instant) -> bool {
        let read_at = self.platform.roster_read_at;
        let interval_elapsed = |interval| read_at.is_none_or(|last| now >= last + interval);
        if self.roster_view.roster().is_none() {
            match &self.bootstrap {
                Some(bootstrap) => bootstrap.is_direct_read_due(now),
                // Jittered, since many daemons may start at the same time.
                None => now >= self.started_at + self.start_delay || read_at.is_some(),
            }
        } else if self.is_reader() {
            interval_elapsed(POLL_INTERVAL)
                || (self.pause_monitor.is_unconfirmed(Part::Roster)
                    && interval_elapsed(pause::CONFIRM_INTERVAL))
        } else if self.platform_may_confirm(Part::Roster, now) {
            interval_elapsed(DIRECT_READ_INTERVAL)
        } else {
            self.needs_direct_read(Duration::ZERO, now)
                && interval_elapsed(DIRECT_READ_INTERVAL + self.jitter)
        }
    }

    fn refresh_config(&mut self, now: Instant) {
        let is_busy = self.platform.config.in_flight.is_some();
        let may_retry = self.platform.config_backoff.is_elapsed(now);
        if is_busy || !may_retry || self.roster_view.roster().is_none() {
            return;
        }
        let is_reader = self.is_reader();
        if self.pause_monitor.is_unconfirmed(Part::Config) {
            self.confirm_config(now);
        } else if is_reader || self.should_watch_config(now) {
            self.watch_config(now);
        }
    }

    /// Reads the configuration to confirm it after a pause, without the delay of a long poll.
    fn confirm_config(&mut self, now: Instant) {
        let read_at = self.platform.config_read_at;
        let interval_elapsed = |interval| read_at.is_none_or(|last| now >= last + interval);
        let is_due = if self.is_reader() {
            interval_elapsed(pause::CONFIRM_INTERVAL)
        } else {
            self.platform_may_confirm(Part::Config, now) && interval_elapsed(DIRECT_READ_INTERVAL)
        };
        if is_due {
            self.platform.config_read_at = Some(now);
            self.pull_config(Source::Platform, self.config_view.version(), now);
        }
    }

    /// Whether a daemon that is not a reader should watch the configuration.
    fn should_watch_config(&self, now: Instant) -> bool {
        let read_at = self.platform.config_read_at;
        let interval_elapsed = read_at.is_none_or(|last| now >= last + DIRECT_READ_INTERVAL);
        let is_due = self.platform.config_read_due;
        interval_elapsed
            && (is_due
                || self.needs_direct_read(CONFIG_READ_DELAY, now)
                || self.config_is_overdue(now))
    }

    fn watch_config(&mut self, now: Instant) {
        let (in_flight, pull) =
            self.start_pull(Source::Platform, now + WATCH_TIMEOUT + PLATFORM_TIMEOUT);
        self.platform.config.in_flight = Some(in_flight);
        self.platform.config_read_due = false;
        self.platform.config_read_at = Some(now);
        let after = self.config_view.highest_seen();
        self.push_action(Action::WatchConfig { pull, after });
    }

    /// Whether a daemon that is not a reader should look for its first configuration itself. While
    /// the readers keep the roster fresh, there is most likely none yet.
    fn config_is_overdue(&self, now: Instant) -> bool {
        let is_fresh = now < self.peers.roster_advanced_at + STALE_AFTER;
        let wait = if is_fresh && self.peers.last_message_at.is_some() {
            CONFIG_WAIT_WITH_READERS
        } else {
            CONFIG_WAIT
        };
        let has_waited = self
            .first_roster_at
            .is_some_and(|first| now >= first + wait + 2 * self.jitter);
        self.config_view.current().is_none() && has_waited
    }

    /// Whether a daemon that is not a reader should read the platform, because the roster is stale
    /// or no peer has sent a message. `extra_delay` is added to both timeouts.
    fn needs_direct_read(&self, extra_delay: Duration, now: Instant) -> bool {
        let resumed = self
            .pause_monitor
            .unconfirmed()
            .map(|unconfirmed| unconfirmed.since);
        let last_contact_at = self
            .peers
            .last_message_at
            .max(resumed)
            .unwrap_or(self.started_at);
        let is_stale =
            now >= self.peers.roster_advanced_at + STALE_AFTER + self.jitter + extra_delay;
        let is_silent = now >= last_contact_at + SILENCE_TIMEOUT + self.jitter + extra_delay;
        is_stale || (is_silent && self.gossip_peers.has_peers())
    }

    fn platform_may_confirm(&self, part: Part, now: Instant) -> bool {
        let has_waited = self.pause_monitor.unconfirmed().is_some_and(|unconfirmed| {
            now >= unconfirmed.since + pause::PLATFORM_DELAY + self.jitter
        });
        has_waited && self.pause_monitor.is_unconfirmed(part)
    }

    /// Pulls from a peer to confirm the view after a pause.
    fn request_confirmation(&mut self, now: Instant) {
        if self.pause_monitor.unconfirmed().is_none() || now < self.next_confirm_at {
            return;
        }
        self.next_confirm_at = now + pause::CONFIRM_INTERVAL;
        let Some(source) = self.select_confirming_peer() else {
            return;
        };
        if self.pause_monitor.is_unconfirmed(Part::Config) && self.peers.config.in_flight.is_none()
        {
            self.pull_config(source.clone(), self.config_view.version(), now);
        }
        if self.pause_monitor.is_unconfirmed(Part::Roster) && self.peers.roster.in_flight.is_none()
        {
            self.pull_roster(source, self.roster_view.version(), now);
        }
    }

    /// Selects a reader with a probability of one half, since readers query the platform
    /// immediately after a pause; otherwise any peer.
    fn select_confirming_peer(&mut self) -> Option<Source> {
        let roster = self.roster_view.roster()?.clone();
        let own_id = &self.identity.id;
        let readers: Vec<_> = self.readers.iter().filter(|id| *id != own_id).collect();
        let selected = match self.random.choice(&readers) {
            Some(id) if self.random.bool() => roster.instance(id),
            _ => self
                .gossip_peers
                .random_index(&mut self.random)
                .map(|index| &roster.instances[index]),
        }?;
        Some(Source::Peer {
            id: selected.id.clone(),
            address: selected.peer,
        })
    }

    fn update_isolation(&mut self, now: Instant) {
        let isolated = self.is_isolated(now);
        if isolated == self.is_reported_isolated {
            return;
        }
        self.is_reported_isolated = isolated;
        self.push_action(Action::Isolated(isolated));
        self.push_event(if isolated {
            Event::Isolated
        } else {
            Event::Rejoined
        });
    }
}

fn peer_source(candidate: Candidate) -> Source {
    Source::Peer {
        id: candidate.id,
        address: candidate.address,
    }
}

fn pull_of(in_flight: InFlight) -> Pull {
    Pull {
        source: in_flight.source,
        id: in_flight.id,
    }
}
