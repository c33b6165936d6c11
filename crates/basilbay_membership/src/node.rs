//! State machine that keeps one daemon's view up to date and spreads versions to its peers.
//!
//! The daemon passes inputs (ticks, heartbeats, responses to pulls) to a [`Node`] and, after each
//! one, executes the [`Action`]s returned by [`Node::take_actions`]. `node/config` and
//! `node/roster` handle the responses to pulls, `node/tick` performs periodic work, `node/send` sends
//! heartbeats, and `node/ready` determines the readiness.

mod config;
mod ready;
mod roster;
mod send;
mod tick;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basilbay_model::config::Config;
use basilbay_model::id::{DomainId, InstanceId, RegionId, ServiceId, Version};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::datagram::Heartbeat;
use basilbay_wire::load::State;
use fastrand::Rng;

use crate::action::{Action, Pull, PullId, Source};
use crate::bootstrap::{Bootstrap, Contact};
use crate::event::{Event, Part};
use crate::gossip::{Bucket, Peers, ROUND_INTERVAL};
use crate::pause::Monitor;
use crate::pull::{InFlight, Tracker};
use crate::reader::{self, Backoff, MAX_JITTER};
use crate::restoration::Restoration;
use crate::view::{ConfigView, RosterView};

/// Time after accepting a version during which a peer with an older one is not notified again,
/// since the announcement may still be on its way.
const PROPAGATION_TIME: Duration = ROUND_INTERVAL;

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Id of its instance.
    pub id: InstanceId,
    /// Service of its target.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Address for peers, for both datagrams and pulls.
    pub peer: SocketAddr,
}

/// State of reads from the platform.
#[derive(Clone, Debug)]
struct PlatformState {
    config: Tracker,
    roster: Tracker,
    config_backoff: Backoff,
    roster_backoff: Backoff,
    config_read_at: Option<Instant>,
    roster_read_at: Option<Instant>,
    responded_at: Option<Instant>,
    /// Whether this daemon, though not a reader, must read the configuration once because it has
    /// read the roster.
    config_read_due: bool,
}

/// State of the communication with peers.
#[derive(Clone, Debug)]
struct PeerState {
    config: Tracker,
    roster: Tracker,
    /// When a peer last sent a heartbeat or a response; `None` before the first.
    last_message_at: Option<Instant>,
    /// When the as-of time of the roster last advanced, or a pause ended.
    roster_advanced_at: Instant,
    /// Instances that announced that they are leaving, sorted.
    leaving: Vec<InstanceId>,
    /// Version and digest prefix of the last reported configuration conflict.
    reported_conflict: Option<(Version, u64)>,
}

/// Membership state machine of one daemon.
#[derive(Clone, Debug)]
pub struct Node {
    identity: Identity,
    random: Rng,
    started_at: Instant,
    state: State,
    config_view: ConfigView,
    roster_view: RosterView,
    restoration: Restoration,
    /// When a version was last accepted and announced.
    announced_at: Instant,
    first_roster_at: Option<Instant>,
    pause_monitor: Monitor,
    platform: PlatformState,
    peers: PeerState,
    gossip_peers: Peers,
    readers: Vec<InstanceId>,
    bucket: Bucket,
    last_pull_id: PullId,
    /// State until the first roster; `None` after it, and if the platform offers no contacts.
    bootstrap: Option<Bootstrap>,
    /// Delay of the first read of the platform.
    start_delay: Duration,
    jitter: Duration,
    next_round_at: Instant,
    next_confirm_at: Instant,
    /// Peers still to be notified that the local target is leaving, with repetitions.
    leaving_queue: Vec<SocketAddr>,
    is_reported_isolated: bool,
    serves_alone: bool,
    reader_count: usize,
    /// Whether startup is complete, that is, nothing has been missing at some tick.
    has_started: bool,
    actions: Vec<Action>,
}

impl Node {
    /// Creates a node with an empty view.
    pub fn new(identity: Identity, seed: u64, now: Instant) -> Self {
        let mut random = Rng::with_seed(seed);
        let jitter = reader::random_fraction(MAX_JITTER, &mut random);
        let next_round_at = now + reader::random_fraction(ROUND_INTERVAL, &mut random);
        Self {
            identity,
            random,
            started_at: now,
            state: State::Cold,
            config_view: ConfigView::default(),
            roster_view: RosterView::default(),
            restoration: Restoration::default(),
            announced_at: now,
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
                last_message_at: None,
                roster_advanced_at: now,
                leaving: Vec::new(),
                reported_conflict: None,
            },
            gossip_peers: Peers::default(),
            readers: Vec::new(),
            bucket: Bucket::new(now),
            last_pull_id: 0,
            bootstrap: None,
            start_delay: jitter,
            jitter,
            next_round_at,
            next_confirm_at: now,
            leaving_queue: Vec::new(),
            is_reported_isolated: false,
            serves_alone: false,
            reader_count: reader::DEFAULT_READERS,
            has_started: false,
            actions: Vec::new(),
        }
    }

    /// Sets the interval over which daemons that start at the same time spread their first read of
    /// the platform.
    pub fn set_start_spread(&mut self, spread: Duration) {
        self.start_delay = reader::random_fraction(spread, &mut self.random);
    }

    /// Makes the node start with contacts, which the platform offers; to be called before the first
    /// tick.
    pub fn start_with_contacts(&mut self) {
        let id = self.identity.id.clone();
        let now = self.started_at;
        let bootstrap = Bootstrap::new(id, self.start_delay, now, &mut self.random);
        self.bootstrap = Some(bootstrap);
    }

    /// Handles contacts from the platform.
    pub fn receive_contacts(&mut self, contacts: &[Contact], now: Instant) {
        self.observe(now);
        let random = &mut self.random;
        if let Some(bootstrap) = &mut self.bootstrap
            && bootstrap.receive(contacts, now, random)
        {
            self.next_round_at = now;
        }
    }

    /// Sets how many daemons of each failure domain read the platform.
    pub fn set_reader_count(&mut self, count: usize) {
        self.reader_count = count.max(1);
        self.select_readers();
    }

    /// Sets whether new requests are accepted while neither peers nor the platform are reachable.
    pub fn set_serves_alone(&mut self, serves_alone: bool) {
        self.serves_alone = serves_alone;
    }

    /// Returns and clears the queued actions, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The active configuration.
    pub fn current_config(&self) -> Option<&Arc<Config>> {
        self.config_view.current().map(|current| &current.config)
    }

    /// The active roster.
    pub fn current_roster(&self) -> Option<&Arc<Roster>> {
        self.roster_view.roster()
    }

    /// Latest time at which the instance list is known to have been at the active version.
    pub fn roster_as_of(&self) -> Timestamp {
        self.roster_view.as_of_ms()
    }

    /// Age of the roster by the local clock; `None` without a roster.
    pub fn roster_age(&self, wall: SystemTime) -> Option<Duration> {
        self.roster_view.roster()?;
        let as_of = UNIX_EPOCH + Duration::from_millis(self.roster_view.as_of_ms());
        Some(wall.duration_since(as_of).unwrap_or_default())
    }

    /// Whether an instance has announced that it is leaving.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.peers.leaving.binary_search(id).is_ok()
    }

    /// Whether this node reads the platform for its failure domain.
    pub fn is_reader(&self) -> bool {
        self.readers.contains(&self.identity.id)
    }

    /// Sets the state that heartbeats carry while the node is ready.
    pub fn set_state(&mut self, state: State) {
        self.state = state;
    }

    /// Handles a heartbeat of a peer.
    pub fn receive_heartbeat(
        &mut self,
        from: &InstanceId,
        source: SocketAddr,
        heartbeat: &Heartbeat,
        wants_reply: bool,
        now: Instant,
    ) {
        if *from == self.identity.id {
            return;
        }
        self.observe(now);
        self.peers.last_message_at = Some(now);
        if heartbeat.state == State::Leaving {
            self.mark_leaving(from);
        } else {
            self.mark_returned(from);
        }
        let address = self.address_of(from).unwrap_or(source);
        self.compare_config(from, address, heartbeat);
        if heartbeat.roster_version > self.roster_view.version() {
            self.peers
                .roster
                .add_candidate(from, address, heartbeat.roster_version);
        }
        if self
            .roster_view
            .advance_as_of(heartbeat.roster_version, heartbeat.roster_as_of_ms)
        {
            self.mark_roster_advanced(now);
        }
        if wants_reply || self.is_behind(heartbeat, now) {
            self.send_heartbeats(&[source], false, 0, now);
        }
        self.pull_newer(now);
    }

    /// Listed address of a peer. The source address of a datagram may differ, on a host with
    /// several addresses or behind a relay, and need not accept connections.
    fn address_of(&self, id: &InstanceId) -> Option<SocketAddr> {
        let roster = self.roster_view.roster()?;
        roster.instance(id).map(|instance| instance.peer)
    }

    /// Handles the announcement of a peer that its target is leaving.
    pub fn receive_leaving(&mut self, from: &InstanceId, now: Instant) {
        self.observe(now);
        self.mark_leaving(from);
    }

    /// Announces to all peers that the local target is leaving, three times over about 1.5 s.
    pub fn announce_leaving(&mut self, now: Instant) {
        self.observe(now);
        self.state = State::Leaving;
        let mut addresses = self.gossip_peers.addresses();
        self.random.shuffle(&mut addresses);
        self.leaving_queue = addresses.repeat(tick::LEAVING_REPEATS);
        self.send_leaving();
    }

    /// Detects a pause on any input, so that no decision is based on an outdated view.
    fn observe(&mut self, now: Instant) {
        if !self.pause_monitor.observe(now, self.last_pull_id + 1) {
            return;
        }
        self.push_action(Action::Paused);
        // Responses to earlier pulls are still processed, but no longer block new pulls.
        for tracker in [
            &mut self.platform.config,
            &mut self.platform.roster,
            &mut self.peers.config,
            &mut self.peers.roster,
        ] {
            tracker.in_flight = None;
        }
        self.jitter = reader::random_fraction(MAX_JITTER, &mut self.random);
        // The roster is old because of the pause, which does not mean that the readers have failed.
        self.mark_roster_advanced(now);
        self.next_confirm_at = now;
    }

    /// Treats a response as confirmation of a part, unless a peer has announced a newer version.
    fn confirm(&mut self, part: Part, pull: &Pull) {
        let is_behind = match part {
            Part::Config => self.peers.config.is_behind(self.config_view.version()),
            Part::Roster => self.peers.roster.is_behind(self.roster_view.version()),
        };
        if !is_behind && self.pause_monitor.confirm(part, pull.id) {
            self.push_action(Action::Confirmed);
        }
    }

    /// Records that a source has responded.
    fn record_contact(&mut self, source: &Source, now: Instant) {
        match source {
            Source::Platform => self.platform.responded_at = Some(now),
            Source::Peer { .. } => self.peers.last_message_at = Some(now),
        }
    }

    /// Records that the as-of time of the roster has advanced, or a pause ended.
    fn mark_roster_advanced(&mut self, now: Instant) {
        self.peers.roster_advanced_at = now;
    }

    fn mark_leaving(&mut self, id: &InstanceId) {
        let Err(index) = self.peers.leaving.binary_search(id) else {
            return;
        };
        self.peers.leaving.insert(index, id.clone());
        self.select_readers();
        self.push_action(Action::PeerLeaving(id.clone()));
        self.push_event(Event::PeerLeaving { id: id.clone() });
    }

    /// Clears the leaving mark: a daemon that restarts next to a running target keeps its instance
    /// id.
    fn mark_returned(&mut self, id: &InstanceId) {
        if let Ok(index) = self.peers.leaving.binary_search(id) {
            self.peers.leaving.remove(index);
            self.select_readers();
            self.push_action(Action::PeerReturned(id.clone()));
        }
    }

    fn select_readers(&mut self) {
        if let Some(roster) = self.roster_view.roster() {
            self.readers = reader::select(
                roster,
                &self.identity.domain,
                &self.peers.leaving,
                self.reader_count,
            );
        }
    }

    /// Whether a peer lacks a version that should have reached it by now.
    fn is_behind(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let is_propagated = now.saturating_duration_since(self.announced_at) >= PROPAGATION_TIME;
        let is_behind = heartbeat.config_version < self.config_view.version()
            || heartbeat.roster_version < self.roster_view.version();
        is_propagated && is_behind
    }

    fn start_pull(&mut self, source: Source, deadline: Instant) -> (InFlight, Pull) {
        self.last_pull_id += 1;
        let in_flight = InFlight {
            id: self.last_pull_id,
            source: source.clone(),
            deadline,
        };
        let pull = Pull {
            source,
            id: self.last_pull_id,
        };
        (in_flight, pull)
    }

    fn push_event(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }
}
