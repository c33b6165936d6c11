//! One daemon's view and its part in keeping others up to date.
//!
//! The daemon feeds a [`Node`] and carries out the [`Action`]s that it takes from
//! [`Node::take_actions`] after each input. `node/config` and `node/roster` take the answers to pulls,
//! `node/drive` does what is due with time.

mod config;
mod roster;
mod tick;

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

use crate::action::{Action, Pull, PullId, Source};
use crate::event::{Event, Part};
use crate::gossip::{Bucket, EAGER_RESERVE_BYTES, Peers, ROUND_INTERVAL, UDP_IP_HEADER_BYTES};
use crate::pause::Monitor;
use crate::pull::{InFlight, Tracker};
use crate::reader::{self, Backoff, MAX_JITTER};
use crate::readiness::{CATCH_UP_TIMEOUT, ISOLATION_TIMEOUT, Missing, PEER_WAIT, Readiness};
use crate::view::{ConfigView, RosterView, digest_prefix};

/// Time for which a version counts as new: peers that are behind may not have been told yet.
const SETTLING: Duration = ROUND_INTERVAL;

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
struct PlatformState {
    config: Tracker,
    roster: Tracker,
    config_backoff: Backoff,
    roster_backoff: Backoff,
    config_read_at: Option<Instant>,
    roster_read_at: Option<Instant>,
    responded_at: Option<Instant>,
    config_read_due: bool,
}

/// What was heard from peers, and when.
#[derive(Clone, Debug)]
struct PeerState {
    config: Tracker,
    roster: Tracker,
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
    configuration: ConfigView,
    listing: RosterView,
    accepted_at: Instant,
    first_roster_at: Option<Instant>,
    pause_monitor: Monitor,
    platform: PlatformState,
    peers: PeerState,
    gossip_peers: Peers,
    readers: Vec<InstanceId>,
    bucket: Bucket,
    id: PullId,
    jitter: Duration,
    round_at: Instant,
    confirm_at: Instant,
    leaving_queue: Vec<SocketAddr>,
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
        let jitter = reader::random_fraction(MAX_JITTER, &mut random);
        let round_at = now + reader::random_fraction(ROUND_INTERVAL, &mut random);
        Self {
            identity,
            random,
            started_at: now,
            state: State::Cold,
            configuration: ConfigView::default(),
            listing: RosterView::default(),
            accepted_at: now,
            first_roster_at: None,
            pause_monitor: Monitor::new(now),
            platform: PlatformState {
                config: Tracker::default(),
                roster: Tracker::default(),
                config_backoff: Backoff::new(now),
                roster_backoff: Backoff::new(now),
                config_read_at: None,
                roster_read_at: None,
                responded_at: None,
                config_read_due: false,
            },
            peers: PeerState {
                config: Tracker::default(),
                roster: Tracker::default(),
                heard_at: None,
                fresh_at: now,
                left: Vec::new(),
                conflict: None,
            },
            gossip_peers: Peers::default(),
            readers: Vec::new(),
            bucket: Bucket::new(now),
            id: 0,
            jitter,
            round_at,
            confirm_at: now,
            leaving_queue: Vec::new(),
            isolated: false,
            serves_alone: false,
            reader_count: reader::DEFAULT_READERS,
            has_started: false,
            actions: Vec::new(),
        }
    }

    /// Sets the time within which all daemons read the platform that start at the same moment.
    pub fn set_start_spread(&mut self, spread: Duration) {
        self.jitter = reader::random_fraction(spread, &mut self.random);
    }

    /// Sets how many daemons of each failure domain read the platform.
    pub fn set_reader_count(&mut self, count: usize) {
        self.reader_count = count.max(1);
        self.select_readers();
    }

    /// Sets whether new work is taken while neither a peer nor the platform is heard.
    pub fn set_serves_alone(&mut self, serves_alone: bool) {
        self.serves_alone = serves_alone;
    }

    /// Takes the actions that are due, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The configuration in force.
    pub fn current_config(&self) -> Option<&Arc<Config>> {
        self.configuration.current().map(|held| &held.config)
    }

    /// The roster in force.
    pub fn current_roster(&self) -> Option<&Arc<Roster>> {
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
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.peers.left.binary_search(id).is_ok()
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
    pub fn readiness(&self, now: Instant) -> Readiness {
        if !self.pause_monitor.is_confirmed(now) {
            return Readiness::Unconfirmed;
        }
        if let Some(lack) = self.lack(now) {
            return Readiness::Starting(lack);
        }
        if !self.serves_alone && self.is_isolated(now) {
            return Readiness::Isolated;
        }
        Readiness::Ready
    }

    /// Takes a heartbeat of a peer.
    pub fn receive_heartbeat(
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
        self.peers.heard_at = Some(now);
        if beat.state == State::Leaving {
            self.mark_leaving(from);
        } else {
            self.mark_returned(from);
        }
        let address = self.address_of(from).unwrap_or(source);
        self.compare_config(from, address, beat);
        if beat.roster_version > self.listing.version() {
            self.peers
                .roster
                .add_candidate(from, address, beat.roster_version);
        }
        if self
            .listing
            .advance_as_of(beat.roster_version, beat.roster_as_of_ms)
        {
            self.mark_fresh(now);
        }
        if reply_wanted || self.is_behind(beat, now) {
            self.send_heartbeats(&[source], false, 0, now);
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
    pub fn receive_leaving(&mut self, from: &InstanceId, now: Instant) {
        self.observe(now);
        self.mark_leaving(from);
    }

    /// Tells all peers that the own target leaves, three times over about 1.5 s.
    pub fn announce_leaving(&mut self, now: Instant) {
        self.observe(now);
        self.state = State::Leaving;
        let mut addresses = self.gossip_peers.addresses();
        self.random.shuffle(&mut addresses);
        self.leaving_queue = addresses.repeat(tick::LEAVING_REPEATS);
        self.send_leaving();
    }

    fn lack(&self, now: Instant) -> Option<Missing> {
        let age = now.saturating_duration_since(self.started_at);
        // Counted from the first roster: nobody can be asked before.
        let waited = self
            .first_roster_at
            .is_some_and(|first| now.saturating_duration_since(first) >= PEER_WAIT);
        let behind = self.peers.config.is_behind(self.configuration.version())
            || self.peers.roster.is_behind(self.listing.version());
        if self.configuration.current().is_none() {
            Some(Missing::Config)
        } else if self.listing.roster().is_none() {
            Some(Missing::Roster)
        } else if self.peers.heard_at.is_none() && !waited {
            Some(Missing::Peer)
        } else if behind && age < CATCH_UP_TIMEOUT && !self.has_started {
            Some(Missing::NewerVersion)
        } else {
            None
        }
    }

    fn is_isolated(&self, now: Instant) -> bool {
        let contact = self.last_contact_at();
        self.gossip_peers.has_peers() && now.saturating_duration_since(contact) > ISOLATION_TIMEOUT
    }

    /// Last time that anybody was heard, or the start or the end of a pause.
    fn last_contact_at(&self) -> Instant {
        let resumed = self.pause_monitor.unconfirmed().map(|doubt| doubt.since);
        let heard = self.peers.heard_at.unwrap_or(self.started_at);
        let answered = self.platform.responded_at.unwrap_or(self.started_at);
        heard.max(answered).max(resumed.unwrap_or(self.started_at))
    }

    /// Notices a pause on any input, so that nothing is decided on an old view.
    fn observe(&mut self, now: Instant) {
        if !self.pause_monitor.observe(now, self.id + 1) {
            return;
        }
        self.emit_action(Action::Paused);
        // Answers to earlier pulls are still used, but nobody waits for them any more.
        for lane in [
            &mut self.platform.config,
            &mut self.platform.roster,
            &mut self.peers.config,
            &mut self.peers.roster,
        ] {
            lane.in_flight = None;
        }
        self.jitter = reader::random_fraction(MAX_JITTER, &mut self.random);
        // What was heard is old because of the pause, which says nothing about the readers.
        self.mark_fresh(now);
        self.confirm_at = now;
    }

    /// Takes an answer as confirmation, unless a peer has announced something newer.
    fn confirm(&mut self, part: Part, origin: &Pull) {
        let behind = match part {
            Part::Config => self.peers.config.is_behind(self.configuration.version()),
            Part::Roster => self.peers.roster.is_behind(self.listing.version()),
        };
        if !behind && self.pause_monitor.confirm(part, origin.id) {
            self.emit_action(Action::Confirmed);
        }
    }

    /// Notes that a source answered.
    fn answered(&mut self, source: &Source, now: Instant) {
        match source {
            Source::Platform => self.platform.responded_at = Some(now),
            Source::Peer { .. } => self.peers.heard_at = Some(now),
        }
    }

    /// Notes that the as-of time of the roster advanced.
    fn mark_fresh(&mut self, now: Instant) {
        self.peers.fresh_at = now;
    }

    fn mark_leaving(&mut self, id: &InstanceId) {
        let Err(index) = self.peers.left.binary_search(id) else {
            return;
        };
        self.peers.left.insert(index, id.clone());
        self.select_readers();
        self.emit_action(Action::PeerLeaving(id.clone()));
        self.emit(Event::PeerLeaving { id: id.clone() });
    }

    /// A daemon that was restarted beside its target has the id of the one before.
    fn mark_returned(&mut self, id: &InstanceId) {
        if let Ok(index) = self.peers.left.binary_search(id) {
            self.peers.left.remove(index);
            self.select_readers();
            self.emit_action(Action::PeerReturned(id.clone()));
        }
    }

    fn select_readers(&mut self) {
        if let Some(roster) = self.listing.roster() {
            self.readers = reader::select(
                roster,
                &self.identity.domain,
                &self.peers.left,
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
        let doubtful = !self.readiness(now).is_ready();
        let takes_part = self.state != State::Leaving;
        Heartbeat {
            config_version: self.configuration.version(),
            config_digest: digest_prefix(&self.configuration.digest()),
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
    fn send_heartbeats(&mut self, to: &[SocketAddr], reply: bool, reserve: u32, now: Instant) {
        let body = Body::Heartbeat {
            beat: self.beat(now),
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
        let to = self.gossip_peers.eager(&mut self.random);
        self.send_heartbeats(&to, false, 0, now);
    }

    fn send_round(&mut self, now: Instant) {
        let silent = self
            .peers
            .heard_at
            .is_none_or(|heard| now.saturating_duration_since(heard) >= reader::SILENCE_TIMEOUT);
        let reply = silent || !self.readiness(now).is_ready();
        let to = self.gossip_peers.round(&mut self.random);
        self.send_heartbeats(&to, reply, EAGER_RESERVE_BYTES, now);
    }

    fn in_flight(&mut self, source: Source, until: Instant) -> (InFlight, Pull) {
        self.id += 1;
        let in_flight = InFlight {
            id: self.id,
            source: source.clone(),
            until,
        };
        let origin = Pull {
            source,
            id: self.id,
        };
        (in_flight, origin)
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    fn emit_action(&mut self, action: Action) {
        self.actions.push(action);
    }
}
