//! What is due with time: reads of the platform, pulls, rounds of gossip.

use std::time::{Duration, Instant};

use basilbay_model::id::Version;
use basilbay_wire::datagram::Body;

use super::Node;
use crate::action::{Action, Origin, Source};
use crate::event::{Event, Part};
use crate::gossip::ROUND;
use crate::pause;
use crate::pull::{Flight, PEER_TIMEOUT, Teller};
use crate::reader::{
    self, CONFIG_LATER, CONFIG_WAIT, DIRECT_GAP, JITTER, PLATFORM_TIMEOUT, POLL, SILENCE, STALE,
    WATCH_WAIT,
};

/// Times that each peer is told of the own leaving, since a datagram may be lost.
pub(super) const FAREWELLS: usize = 3;

/// Fewest peers that one tick tells of the own leaving.
const FAREWELL_STEP: usize = 64;

/// Ticks in which all farewells are sent: at 50 ms a tick they end within 1.5 s, where callers must
/// have stopped sending new work within 2 s.
const FAREWELL_TICKS: usize = 30;

impl Node {
    /// Does what is due; to be called every 50 ms.
    pub fn tick(&mut self, now: Instant) {
        self.observe(now);
        self.monitor.tick(now);
        self.give_up(now);
        self.read_roster(now);
        self.read_config(now);
        self.seek_confirmation(now);
        self.pull_newer(now);
        if now >= self.round_at {
            self.round_at = now + ROUND;
            self.send_round(now);
        }
        self.say_farewell();
        self.note_isolation(now);
        self.has_started |= self.lack(now).is_none();
    }

    /// Pulls what peers have told of, unless a pull is in flight.
    pub(super) fn pull_newer(&mut self, now: Instant) {
        let version = self.configuration.version();
        let teller = self.hearing.config.next(version);
        if let Some(teller) = teller.filter(|_| self.hearing.config.flight.is_none()) {
            self.pull_config(peer(teller), version, now);
        }
        let version = self.listing.version();
        let teller = self.hearing.roster.next(version);
        if let Some(teller) = teller.filter(|_| self.hearing.roster.flight.is_none()) {
            self.pull_roster(peer(teller), version, now);
        }
    }

    pub(super) fn pull_config(&mut self, source: Source, have: Version, now: Instant) {
        let by_platform = source == Source::Platform;
        let limit = if by_platform {
            PLATFORM_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        let (flight, from) = self.flight(source, now + limit);
        if by_platform {
            self.platform.config.flight = Some(flight);
        } else {
            self.hearing.config.flight = Some(flight);
        }
        self.emit_action(Action::PullConfig { from, have });
    }

    pub(super) fn say_farewell(&mut self) {
        if self.farewell.is_empty() {
            return;
        }
        let step = FAREWELL_STEP.max(self.circle.addresses().len() * FAREWELLS / FAREWELL_TICKS);
        let count = step.min(self.farewell.len());
        for to in self.farewell.drain(..count) {
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
        let (flight, from) = self.flight(source, now + limit);
        if by_platform {
            self.platform.roster_asked_at = Some(now);
            self.platform.roster.flight = Some(flight);
        } else {
            self.hearing.roster.flight = Some(flight);
        }
        self.emit_action(Action::PullRoster { from, have });
    }

    /// Counts answers that did not come as failures.
    fn give_up(&mut self, now: Instant) {
        let config = [
            self.platform.config.expired(now),
            self.hearing.config.expired(now),
        ];
        for flight in config.into_iter().flatten() {
            self.lose_config(&origin(flight), now);
        }
        let roster = [
            self.platform.roster.expired(now),
            self.hearing.roster.expired(now),
        ];
        for flight in roster.into_iter().flatten() {
            self.lose_roster(&origin(flight), now);
        }
    }

    fn read_roster(&mut self, now: Instant) {
        let busy = self.platform.roster.flight.is_some();
        let open = self.platform.roster_backoff.is_open(now);
        if busy || !open || !self.roster_is_due(now) {
            return;
        }
        if !self.is_reader() {
            self.jitter = reader::part_of(JITTER, &mut self.random);
        }
        self.pull_roster(Source::Platform, self.listing.version(), now);
    }

    fn roster_is_due(&self, now: Instant) -> bool {
        let asked_at = self.platform.roster_asked_at;
        let rested = |gap| asked_at.is_none_or(|asked| now >= asked + gap);
        if self.listing.roster().is_none() {
            // A new daemon cannot know how many others start with it.
            now >= self.started_at + self.jitter || asked_at.is_some()
        } else if self.is_reader() {
            rested(POLL) || (self.monitor.doubts(Part::Roster) && rested(pause::RETRY))
        } else if self.platform_may_confirm(Part::Roster, now) {
            rested(DIRECT_GAP)
        } else {
            self.must_read(Duration::ZERO, now) && rested(DIRECT_GAP + self.jitter)
        }
    }

    fn read_config(&mut self, now: Instant) {
        let busy = self.platform.config.flight.is_some();
        let open = self.platform.config_backoff.is_open(now);
        if busy || !open || self.listing.roster().is_none() {
            return;
        }
        let is_reader = self.is_reader();
        if self.monitor.doubts(Part::Config) {
            self.read_config_at_once(now);
        } else if is_reader || self.must_watch(now) {
            self.watch_config(now);
        }
    }

    /// Asks the platform to confirm the configuration after a pause, without the wait of a watch.
    fn read_config_at_once(&mut self, now: Instant) {
        let asked_at = self.platform.config_asked_at;
        let rested = |gap| asked_at.is_none_or(|asked| now >= asked + gap);
        let due = if self.is_reader() {
            rested(pause::RETRY)
        } else {
            self.platform_may_confirm(Part::Config, now) && rested(DIRECT_GAP)
        };
        if due {
            self.platform.config_asked_at = Some(now);
            self.pull_config(Source::Platform, self.configuration.version(), now);
        }
    }

    /// Whether a daemon that is not a reader watches the configuration.
    fn must_watch(&self, now: Instant) -> bool {
        let asked_at = self.platform.config_asked_at;
        let rested = asked_at.is_none_or(|asked| now >= asked + DIRECT_GAP);
        let owed = self.platform.config_owed;
        rested && (owed || self.must_read(CONFIG_LATER, now) || self.config_is_missing(now))
    }

    fn watch_config(&mut self, now: Instant) {
        let (flight, from) = self.flight(Source::Platform, now + WATCH_WAIT + PLATFORM_TIMEOUT);
        self.platform.config.flight = Some(flight);
        self.platform.config_owed = false;
        self.platform.config_asked_at = Some(now);
        let after = self.configuration.seen();
        self.emit_action(Action::WatchConfig { from, after });
    }

    fn config_is_missing(&self, now: Instant) -> bool {
        let waited = self
            .first_roster_at
            .is_some_and(|first| now >= first + CONFIG_WAIT + 2 * self.jitter);
        self.configuration.held().is_none() && waited
    }

    /// Whether what is heard is too old by `later`, or nothing is heard.
    fn must_read(&self, later: Duration, now: Instant) -> bool {
        let resumed = self.monitor.doubt().map(|doubt| doubt.since);
        let heard = self
            .hearing
            .heard_at
            .max(resumed)
            .unwrap_or(self.started_at);
        let stale = now >= self.hearing.fresh_at + STALE + self.jitter + later;
        let silent = now >= heard + SILENCE + self.jitter + later;
        stale || (silent && self.circle.has_others())
    }

    fn platform_may_confirm(&self, part: Part, now: Instant) -> bool {
        let waited = self
            .monitor
            .doubt()
            .is_some_and(|doubt| now >= doubt.since + pause::PLATFORM_AFTER + self.jitter);
        waited && self.monitor.doubts(part)
    }

    /// Asks a peer to confirm the view after a pause: first readers, who ask the platform at once.
    fn seek_confirmation(&mut self, now: Instant) {
        if self.monitor.doubt().is_none() || now < self.confirm_at {
            return;
        }
        self.confirm_at = now + pause::RETRY;
        let Some(source) = self.confirmer() else {
            return;
        };
        if self.monitor.doubts(Part::Config) && self.hearing.config.flight.is_none() {
            self.pull_config(source.clone(), self.configuration.version(), now);
        }
        if self.monitor.doubts(Part::Roster) && self.hearing.roster.flight.is_none() {
            self.pull_roster(source, self.listing.version(), now);
        }
    }

    fn confirmer(&mut self) -> Option<Source> {
        let roster = self.listing.roster()?.clone();
        let own = &self.identity.id;
        let readers: Vec<_> = self.readers.iter().filter(|id| *id != own).collect();
        let chosen = match self.random.choice(&readers) {
            Some(id) if self.random.bool() => roster.instance(id),
            _ => self
                .circle
                .any(&mut self.random)
                .map(|index| &roster.instances[index]),
        }?;
        Some(Source::Peer {
            id: chosen.id.clone(),
            address: chosen.peer,
        })
    }

    fn note_isolation(&mut self, now: Instant) {
        let isolated = self.is_cut_off(now);
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

fn peer(teller: Teller) -> Source {
    Source::Peer {
        id: teller.id,
        address: teller.address,
    }
}

fn origin(flight: Flight) -> Origin {
    Origin {
        source: flight.source,
        ticket: flight.ticket,
    }
}
