//! One daemon's view and its part in keeping others up to date.
//!
//! The daemon feeds a [`Node`] and carries out the [`Action`]s that it takes from
//! [`Node::actions`] after each input. `node/config` and `node/roster` take the answers to pulls,
//! `node/drive` does what is due with time.

mod config;
mod drive;
mod roster;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basilbay_model::config::Config;
use basilbay_model::id::{DomainId, InstanceId, RegionId, ServiceId, Version};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::datagram::{Body, Datagram, Heartbeat};
use basilbay_wire::frame;
use basilbay_wire::load::State;
use fastrand::Rng;

use crate::action::{Action, Origin, Source, Ticket};
use crate::event::{Event, Part};
use crate::gossip::{Bucket, Circle, OVERHEAD, RESERVE, ROUND};
use crate::pause::Monitor;
use crate::pull::{Flight, Lane};
use crate::reader::{self, Backoff, JITTER};
use crate::standing::{CATCH_UP, ISOLATION, Lack, START_WAIT, Standing};
use crate::view::{Configuration, Listing, short};

/// Time for which a version counts as new: peers that are behind may not have been told yet.
const SETTLING: Duration = ROUND;

/// Who the daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its instance.
    pub id: InstanceId,
    /// The service of its target.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its peer address.
    pub peer: SocketAddr,
}

/// The side of pulls that goes to the platform.
#[derive(Clone, Debug)]
struct Platform {
    config: Lane,
    roster: Lane,
    config_backoff: Backoff,
    roster_backoff: Backoff,
    config_asked_at: Option<Instant>,
    roster_asked_at: Option<Instant>,
    answered_at: Option<Instant>,
    config_owed: bool,
}

/// What was heard from peers, and when.
#[derive(Clone, Debug)]
struct Hearing {
    config: Lane,
    roster: Lane,
    heard_at: Option<Instant>,
    fresh_at: Instant,
    left: Vec<InstanceId>,
    conflict: Option<(Version, u64)>,
}

/// A daemon's view of configuration and roster.
#[derive(Clone, Debug)]
pub struct Node {
    identity: Identity,
    random: Rng,
    started_at: Instant,
    state: State,
    configuration: Configuration,
    listing: Listing,
    accepted_at: Instant,
    first_roster_at: Option<Instant>,
    monitor: Monitor,
    platform: Platform,
    hearing: Hearing,
    circle: Circle,
    readers: Vec<InstanceId>,
    bucket: Bucket,
    ticket: Ticket,
    jitter: Duration,
    round_at: Instant,
    confirm_at: Instant,
    farewell: Vec<SocketAddr>,
    isolated: bool,
    serves_alone: bool,
    reader_count: usize,
    /// Whether the start is over: everything that was lacking came.
    has_started: bool,
    actions: Vec<Action>,
}

impl Node {
    /// Starts with an empty view.
    pub fn new(identity: Identity, seed: u64, now: Instant) -> Self {
        let mut random = Rng::with_seed(seed);
        let jitter = reader::part_of(JITTER, &mut random);
        let round_at = now + reader::part_of(ROUND, &mut random);
        Self {
            identity,
            random,
            started_at: now,
            state: State::Cold,
            configuration: Configuration::default(),
            listing: Listing::default(),
            accepted_at: now,
            first_roster_at: None,
            monitor: Monitor::new(now),
            platform: Platform {
                config: Lane::default(),
                roster: Lane::default(),
                config_backoff: Backoff::new(now),
                roster_backoff: Backoff::new(now),
                config_asked_at: None,
                roster_asked_at: None,
                answered_at: None,
                config_owed: false,
            },
            hearing: Hearing {
                config: Lane::default(),
                roster: Lane::default(),
                heard_at: None,
                fresh_at: now,
                left: Vec::new(),
                conflict: None,
            },
            circle: Circle::default(),
            readers: Vec::new(),
            bucket: Bucket::new(now),
            ticket: 0,
            jitter,
            round_at,
            confirm_at: now,
            farewell: Vec::new(),
            isolated: false,
            serves_alone: false,
            reader_count: reader::READERS,
            has_started: false,
            actions: Vec::new(),
        }
    }

    /// Sets the time within which all daemons read the platform that start at the same moment.
    pub fn set_start_spread(&mut self, spread: Duration) {
        self.jitter = reader::part_of(spread, &mut self.random);
    }

    /// Sets how many daemons of each failure domain read the platform.
    pub fn set_readers(&mut self, count: usize) {
        self.reader_count = count.max(1);
        self.choose_readers();
    }

    /// Sets whether new work is taken while neither a peer nor the platform is heard.
    pub fn set_serves_alone(&mut self, serves_alone: bool) {
        self.serves_alone = serves_alone;
    }

    /// Takes the actions that are due, in order.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.configuration.held().map(|held| &held.config)
    }

    /// The roster in force.
    pub fn roster_in_force(&self) -> Option<&Arc<Roster>> {
        self.listing.roster()
    }

    /// Latest time at which the list is known to have been at the version in force.
    pub fn roster_as_of(&self) -> Timestamp {
        self.listing.as_of_ms()
    }

    /// Age of the roster by the local clock; `None` without a roster.
    pub fn roster_age(&self, wall: SystemTime) -> Option<Duration> {
        self.listing.roster()?;
        let as_of = UNIX_EPOCH + Duration::from_millis(self.listing.as_of_ms());
        Some(wall.duration_since(as_of).unwrap_or_default())
    }

    /// Whether an instance said itself that it leaves.
    pub fn has_left(&self, id: &InstanceId) -> bool {
        self.hearing.left.binary_search(id).is_ok()
    }

    /// Whether this node reads the platform for its failure domain.
    pub fn is_reader(&self) -> bool {
        self.readers.contains(&self.identity.id)
    }

    /// Sets the state that heartbeats carry while the view is good.
    pub fn set_state(&mut self, state: State) {
        self.state = state;
    }

    /// Whether new work may be taken at this moment.
    pub fn standing(&self, now: Instant) -> Standing {
        if !self.monitor.trusts(now) {
            return Standing::Unconfirmed;
        }
        if let Some(lack) = self.lack(now) {
            return Standing::Starting(lack);
        }
        if !self.serves_alone && self.is_cut_off(now) {
            return Standing::Isolated;
        }
        Standing::Serving
    }

    /// Takes a heartbeat of a peer.
    pub fn heard(
        &mut self,
        from: &InstanceId,
        source: SocketAddr,
        beat: &Heartbeat,
        reply_wanted: bool,
        now: Instant,
    ) {
        if *from == self.identity.id {
            return;
        }
        self.observe(now);
        self.hearing.heard_at = Some(now);
        if beat.state == State::Leaving {
            self.note_left(from);
        } else {
            self.note_back(from);
        }
        let address = self.address_of(from).unwrap_or(source);
        self.compare_config(from, address, beat);
        if beat.roster_version > self.listing.version() {
            self.hearing.roster.tell(from, address, beat.roster_version);
        }
        if self.listing.hear(beat.roster_version, beat.roster_as_of_ms) {
            self.freshen(now);
        }
        if reply_wanted || self.is_behind(beat, now) {
            self.send_beat(&[source], false, 0, now);
        }
        self.pull_newer(now);
    }

    /// Listed address of a peer. A datagram may come from another one, on a host with several
    /// addresses or through a relay, and pulls would then meet a closed port.
    fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let roster = self.listing.roster()?;
        roster.instance(id).map(|instance| instance.peer)
    }

    /// Takes the notice of a peer that its target leaves.
    pub fn left(&mut self, from: &InstanceId, now: Instant) {
        self.observe(now);
        self.note_left(from);
    }

    /// Tells all peers that the own target leaves, three times over about 1.5 s.
    pub fn leaving(&mut self, now: Instant) {
        self.observe(now);
        self.state = State::Leaving;
        let mut addresses = self.circle.addresses();
        self.random.shuffle(&mut addresses);
        self.farewell = addresses.repeat(drive::FAREWELLS);
        self.say_farewell();
    }

    fn lack(&self, now: Instant) -> Option<Lack> {
        let age = now.saturating_duration_since(self.started_at);
        // Counted from the first roster: nobody can be asked before.
        let waited = self
            .first_roster_at
            .is_some_and(|first| now.saturating_duration_since(first) >= START_WAIT);
        let behind = self.hearing.config.is_behind(self.configuration.version())
            || self.hearing.roster.is_behind(self.listing.version());
        if self.configuration.held().is_none() {
            Some(Lack::Config)
        } else if self.listing.roster().is_none() {
            Some(Lack::Roster)
        } else if self.hearing.heard_at.is_none() && !waited {
            Some(Lack::Peer)
        } else if behind && age < CATCH_UP && !self.has_started {
            Some(Lack::Newer)
        } else {
            None
        }
    }

    fn is_cut_off(&self, now: Instant) -> bool {
        let contact = self.contact_at();
        self.circle.has_others() && now.saturating_duration_since(contact) > ISOLATION
    }

    /// Last time that anybody was heard, or the start or the end of a pause.
    fn contact_at(&self) -> Instant {
        let resumed = self.monitor.doubt().map(|doubt| doubt.since);
        let heard = self.hearing.heard_at.unwrap_or(self.started_at);
        let answered = self.platform.answered_at.unwrap_or(self.started_at);
        heard.max(answered).max(resumed.unwrap_or(self.started_at))
    }

    /// Notices a pause on any input, so that nothing is decided on an old view.
    fn observe(&mut self, now: Instant) {
        if !self.monitor.observe(now, self.ticket + 1) {
            return;
        }
        self.emit_action(Action::Paused);
        // Answers to earlier pulls are still used, but nobody waits for them any more.
        for lane in [
            &mut self.platform.config,
            &mut self.platform.roster,
            &mut self.hearing.config,
            &mut self.hearing.roster,
        ] {
            lane.flight = None;
        }
        self.jitter = reader::part_of(JITTER, &mut self.random);
        // What was heard is old because of the pause, which says nothing about the readers.
        self.freshen(now);
        self.confirm_at = now;
    }

    /// Takes an answer as confirmation, unless a peer has announced something newer.
    fn confirm(&mut self, part: Part, origin: &Origin) {
        let behind = match part {
            Part::Config => self.hearing.config.is_behind(self.configuration.version()),
            Part::Roster => self.hearing.roster.is_behind(self.listing.version()),
        };
        if !behind && self.monitor.confirm(part, origin.ticket) {
            self.emit_action(Action::Confirmed);
        }
    }

    /// Notes that a source answered.
    fn answered(&mut self, source: &Source, now: Instant) {
        match source {
            Source::Platform => self.platform.answered_at = Some(now),
            Source::Peer { .. } => self.hearing.heard_at = Some(now),
        }
    }

    /// Notes that the as-of time of the roster advanced.
    fn freshen(&mut self, now: Instant) {
        self.hearing.fresh_at = now;
    }

    fn note_left(&mut self, id: &InstanceId) {
        let Err(index) = self.hearing.left.binary_search(id) else {
            return;
        };
        self.hearing.left.insert(index, id.clone());
        self.choose_readers();
        self.emit_action(Action::Left(id.clone()));
        self.emit(Event::PeerLeaving { id: id.clone() });
    }

    /// A daemon that was restarted beside its target has the id of the one before.
    fn note_back(&mut self, id: &InstanceId) {
        if let Ok(index) = self.hearing.left.binary_search(id) {
            self.hearing.left.remove(index);
            self.choose_readers();
            self.emit_action(Action::Back(id.clone()));
        }
    }

    fn choose_readers(&mut self) {
        if let Some(roster) = self.listing.roster() {
            self.readers = reader::readers(
                roster,
                &self.identity.domain,
                &self.hearing.left,
                self.reader_count,
            );
        }
    }

    /// Whether a peer lacks a version that it should have heard of by now.
    fn is_behind(&self, beat: &Heartbeat, now: Instant) -> bool {
        let settled = now.saturating_duration_since(self.accepted_at) >= SETTLING;
        let behind = beat.config_version < self.configuration.version()
            || beat.roster_version < self.listing.version();
        settled && behind
    }

    fn beat(&self, now: Instant) -> Heartbeat {
        let doubtful = !self.standing(now).serves();
        let takes_part = self.state != State::Leaving;
        Heartbeat {
            config_version: self.configuration.version(),
            config_digest: short(&self.configuration.digest()),
            roster_version: self.listing.version(),
            roster_as_of_ms: self.listing.as_of_ms(),
            state: if doubtful && takes_part {
                State::Unconfirmed
            } else {
                self.state
            },
        }
    }

    /// Sends the own versions as far as the budget allows.
    fn send_beat(&mut self, to: &[SocketAddr], reply: bool, reserve: u32, now: Instant) {
        let body = Body::Heartbeat {
            beat: self.beat(now),
            reply,
        };
        let datagram = Datagram {
            format: frame::FORMAT_VERSION,
            origin: self.identity.id.clone(),
            body,
        };
        let bytes = frame::encode(&datagram).len() + OVERHEAD;
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        for address in to {
            if !self.bucket.take(bytes, reserve, now) {
                return;
            }
            self.actions.push(Action::Send {
                to: *address,
                body: datagram.body.clone(),
            });
        }
    }

    /// Tells peers at once that a version is new.
    fn announce(&mut self, now: Instant) {
        self.accepted_at = now;
        let to = self.circle.eager(&mut self.random);
        self.send_beat(&to, false, 0, now);
    }

    fn send_round(&mut self, now: Instant) {
        let silent = self
            .hearing
            .heard_at
            .is_none_or(|heard| now.saturating_duration_since(heard) >= reader::SILENCE);
        let reply = silent || !self.standing(now).serves();
        let to = self.circle.round(&mut self.random);
        self.send_beat(&to, reply, RESERVE, now);
    }

    fn flight(&mut self, source: Source, until: Instant) -> (Flight, Origin) {
        self.ticket += 1;
        let flight = Flight {
            ticket: self.ticket,
            source: source.clone(),
            until,
        };
        let origin = Origin {
            source,
            ticket: self.ticket,
        };
        (flight, origin)
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    fn emit_action(&mut self, action: Action) {
        self.actions.push(action);
    }
}
