//! What is due with time: reads of the platform, pulls, rounds of gossip.

use std::time::{Duration, Instant};

use basilbay_model::id::Version;
use basilbay_wire::datagram::Body;

use super::Node;
use crate::action::{Action, Pull, Source};
use crate::event::{Event, Part};
use crate::gossip::ROUND_INTERVAL;
use crate::pause;
use crate::pull::{Candidate, InFlight, PEER_TIMEOUT};
use crate::reader::{
    self, CONFIG_READ_DELAY, CONFIG_WAIT, DIRECT_READ_INTERVAL, MAX_JITTER, PLATFORM_TIMEOUT,
    POLL_INTERVAL, SILENCE_TIMEOUT, STALE_AFTER, WATCH_TIMEOUT,
};

/// Times that each peer is told of the own leaving, since a datagram may be lost.
pub(super) const LEAVING_REPEATS: usize = 3;

/// Fewest peers that one tick tells of the own leaving.
const MIN_LEAVING_SENDS_PER_TICK: usize = 64;

/// Ticks in which all farewells are sent: at 50 ms a tick they end within 1.5 s, where callers must
/// have stopped sending new work within 2 s.
const LEAVING_TICKS: usize = 30;

impl Node {
    /// Does what is due; to be called every 50 ms.
    pub fn tick(&mut self, now: Instant) {
        self.observe(now);
        self.pause_monitor.tick(now);
        self.expire_pulls(now);
        self.poll_roster(now);
        self.read_config(now);
        self.request_confirmation(now);
        self.pull_newer(now);
        if now >= self.round_at {
            self.round_at = now + ROUND_INTERVAL;
            self.send_round(now);
        }
        self.send_leaving();
        self.update_isolation(now);
        self.has_started |= self.lack(now).is_none();
    }

    /// Pulls what peers have told of, unless a pull is in flight.
    pub(super) fn pull_newer(&mut self, now: Instant) {
        let version = self.configuration.version();
        let candidate = self.peers.config.next(version);
        if let Some(candidate) = candidate.filter(|_| self.peers.config.in_flight.is_none()) {
            self.pull_config(peer(candidate), version, now);
        }
        let version = self.listing.version();
        let candidate = self.peers.roster.next(version);
        if let Some(candidate) = candidate.filter(|_| self.peers.roster.in_flight.is_none()) {
            self.pull_roster(peer(candidate), version, now);
        }
    }

    pub(super) fn pull_config(&mut self, source: Source, have: Version, now: Instant) {
        let by_platform = source == Source::Platform;
        let limit = if by_platform {
            PLATFORM_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        let (in_flight, pull) = self.in_flight(source, now + limit);
        if by_platform {
            self.platform.config.in_flight = Some(in_flight);
        } else {
            self.peers.config.in_flight = Some(in_flight);
        }
        self.emit_action(Action::PullConfig { pull, have });
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

    fn pull_roster(&mut self, source: Source, have: Version, now: Instant) {
        let by_platform = source == Source::Platform;
        let limit = if by_platform {
            PLATFORM_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        let (in_flight, pull) = self.in_flight(source, now + limit);
        if by_platform {
            self.platform.roster_read_at = Some(now);
            self.platform.roster.in_flight = Some(in_flight);
        } else {
            self.peers.roster.in_flight = Some(in_flight);
        }
        self.emit_action(Action::PullRoster { pull, have });
    }

    /// Counts answers that did not come as failures.
    fn expire_pulls(&mut self, now: Instant) {
        let config = [
            self.platform.config.expired(now),
            self.peers.config.expired(now),
        ];
        for in_flight in config.into_iter().flatten() {
            self.handle_config_failure(&origin(in_flight), now);
        }
        let roster = [
            self.platform.roster.expired(now),
            self.peers.roster.expired(now),
        ];
        for in_flight in roster.into_iter().flatten() {
            self.handle_roster_failure(&origin(in_flight), now);
        }
    }

    fn poll_roster(&mut self, now: Instant) {
        let busy = self.platform.roster.in_flight.is_some();
        let open = self.platform.roster_backoff.is_elapsed(now);
        if busy || !open || !self.roster_read_is_due(now) {
            return;
        }
        if !self.is_reader() {
            self.jitter = reader::random_fraction(MAX_JITTER, &mut self.random);
        }
        self.pull_roster(Source::Platform, self.listing.version(), now);
    }

    fn roster_read_is_due(&self, now: Instant) -> bool {
        let read_at = self.platform.roster_read_at;
        let rested = |gap| read_at.is_none_or(|asked| now >= asked + gap);
        if self.listing.roster().is_none() {
            // A new daemon cannot know how many others start with it.
            now >= self.started_at + self.jitter || read_at.is_some()
        } else if self.is_reader() {
            rested(POLL_INTERVAL)
                || (self.pause_monitor.is_unconfirmed(Part::Roster)
                    && rested(pause::CONFIRM_INTERVAL))
        } else if self.platform_may_confirm(Part::Roster, now) {
            rested(DIRECT_READ_INTERVAL)
        } else {
            self.needs_direct_read(Duration::ZERO, now)
                && rested(DIRECT_READ_INTERVAL + self.jitter)
        }
    }

    fn read_config(&mut self, now: Instant) {
        let busy = self.platform.config.in_flight.is_some();
        let open = self.platform.config_backoff.is_elapsed(now);
        if busy || !open || self.listing.roster().is_none() {
            return;
        }
        let is_reader = self.is_reader();
        if self.pause_monitor.is_unconfirmed(Part::Config) {
            self.confirm_config(now);
        } else if is_reader || self.should_watch_config(now) {
            self.watch_config(now);
        }
    }

    /// Asks the platform to confirm the configuration after a pause, without the wait of a watch.
    fn confirm_config(&mut self, now: Instant) {
        let read_at = self.platform.config_read_at;
        let rested = |gap| read_at.is_none_or(|asked| now >= asked + gap);
        let due = if self.is_reader() {
            rested(pause::CONFIRM_INTERVAL)
        } else {
            self.platform_may_confirm(Part::Config, now) && rested(DIRECT_READ_INTERVAL)
        };
        if due {
            self.platform.config_read_at = Some(now);
            self.pull_config(Source::Platform, self.configuration.version(), now);
        }
    }

    /// Whether a daemon that is not a reader watches the configuration.
    fn should_watch_config(&self, now: Instant) -> bool {
        let read_at = self.platform.config_read_at;
        let rested = read_at.is_none_or(|asked| now >= asked + DIRECT_READ_INTERVAL);
        let owed = self.platform.config_read_due;
        rested
            && (owed
                || self.needs_direct_read(CONFIG_READ_DELAY, now)
                || self.config_is_overdue(now))
    }

    fn watch_config(&mut self, now: Instant) {
        let (in_flight, pull) =
            self.in_flight(Source::Platform, now + WATCH_TIMEOUT + PLATFORM_TIMEOUT);
        self.platform.config.in_flight = Some(in_flight);
        self.platform.config_read_due = false;
        self.platform.config_read_at = Some(now);
        let after = self.configuration.seen();
        self.emit_action(Action::WatchConfig { pull, after });
    }

    fn config_is_overdue(&self, now: Instant) -> bool {
        let waited = self
            .first_roster_at
            .is_some_and(|first| now >= first + CONFIG_WAIT + 2 * self.jitter);
        self.configuration.current().is_none() && waited
    }

    /// Whether what is heard is too old by `later`, or nothing is heard.
    fn needs_direct_read(&self, later: Duration, now: Instant) -> bool {
        let resumed = self.pause_monitor.unconfirmed().map(|doubt| doubt.since);
        let heard = self.peers.heard_at.max(resumed).unwrap_or(self.started_at);
        let stale = now >= self.peers.fresh_at + STALE_AFTER + self.jitter + later;
        let silent = now >= heard + SILENCE_TIMEOUT + self.jitter + later;
        stale || (silent && self.gossip_peers.has_peers())
    }

    fn platform_may_confirm(&self, part: Part, now: Instant) -> bool {
        let waited = self
            .pause_monitor
            .unconfirmed()
            .is_some_and(|doubt| now >= doubt.since + pause::PLATFORM_DELAY + self.jitter);
        waited && self.pause_monitor.is_unconfirmed(part)
    }

    /// Asks a peer to confirm the view after a pause: first readers, who ask the platform at once.
    fn request_confirmation(&mut self, now: Instant) {
        if self.pause_monitor.unconfirmed().is_none() || now < self.confirm_at {
            return;
        }
        self.confirm_at = now + pause::CONFIRM_INTERVAL;
        let Some(source) = self.select_confirming_peer() else {
            return;
        };
        if self.pause_monitor.is_unconfirmed(Part::Config) && self.peers.config.in_flight.is_none()
        {
            self.pull_config(source.clone(), self.configuration.version(), now);
        }
        if self.pause_monitor.is_unconfirmed(Part::Roster) && self.peers.roster.in_flight.is_none()
        {
            self.pull_roster(source, self.listing.version(), now);
        }
    }

    fn select_confirming_peer(&mut self) -> Option<Source> {
        let roster = self.listing.roster()?.clone();
        let own = &self.identity.id;
        let readers: Vec<_> = self.readers.iter().filter(|id| *id != own).collect();
        let chosen = match self.random.choice(&readers) {
            Some(id) if self.random.bool() => roster.instance(id),
            _ => self
                .gossip_peers
                .any(&mut self.random)
                .map(|index| &roster.instances[index]),
        }?;
        Some(Source::Peer {
            id: chosen.id.clone(),
            address: chosen.peer,
        })
    }

    fn update_isolation(&mut self, now: Instant) {
        let isolated = self.is_isolated(now);
        if isolated == self.isolated {
            return;
        }
        self.isolated = isolated;
        self.emit_action(Action::Isolated(isolated));
        self.emit(if isolated {
            Event::Isolated
        } else {
            Event::Rejoined
        });
    }
}

fn peer(candidate: Candidate) -> Source {
    Source::Peer {
        id: candidate.id,
        address: candidate.address,
    }
}

fn origin(in_flight: InFlight) -> Pull {
    Pull {
        source: in_flight.source,
        id: in_flight.id,
    }
}
