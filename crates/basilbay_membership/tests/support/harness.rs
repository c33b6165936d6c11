//! Simulation of several nodes on a virtual clock, with fault injection for network and platform.
//! Times are in milliseconds.
#![allow(dead_code, reason = "each test file uses a part")]

#[path = "account.rs"]
pub(crate) mod account;
#[path = "sample.rs"]
pub(crate) mod sample;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::bootstrap::Contact;
use basilbay_membership::event::{Event, Part};
use basilbay_membership::node::Node;
use basilbay_membership::reader::WATCH_TIMEOUT;
use basilbay_model::id::Version;
use basilbay_model::roster::Roster;
use basilbay_wire::datagram::{Body, Datagram};
use basilbay_wire::frame;

use account::{Account, Reason, Response, Sender, kind, response_bytes};

/// A pull of one part. A watch waits at the platform until `waits_until`, which is 0 for other
/// pulls.
struct Request {
    part: Part,
    have: Version,
    digest: Option<u64>,
    waits_until: u64,
    sent_at: u64,
    pull: Pull,
}

enum Input {
    Tick,
    Datagram(usize, Datagram),
    Serve(usize, Request),
    Platform(Request),
    Response(Option<usize>, Request, Response),
    ContactsRead,
    Contacts(Vec<Contact>),
}

/// Observed behaviour of a node.
#[derive(Default)]
pub(crate) struct Record {
    pub run: u32,
    pub resumes_at: u64,
    /// Parts of the view (configuration, roster) that are unconfirmed after a pause.
    pub unconfirmed: [bool; 2],
    pub version: Version,
    pub activated_at: u64,
    pub bytes_total: usize,
    /// Part of `bytes_total` that responses of the platform make up.
    pub bytes_read: usize,
    pub bytes_gossiped: usize,
    pub datagrams: usize,
    pub events: Vec<Event>,
    pub actions: Vec<Action>,
}

/// Injected faults of network and platform.
#[derive(Default)]
pub(crate) struct Faults {
    /// Maximum random delay in addition to [`Fleet::delay`].
    pub max_extra_delay: u64,
    pub loss: f64,
    pub duplicates: f64,
    /// Partition of each node; nodes of different partitions cannot communicate.
    pub partitions: Vec<u16>,
    /// Whether each node is cut off from the platform.
    pub cut_off: Vec<bool>,
    pub platform_down: bool,
    /// Whether the instance list answers reads of an unchanged version without instances.
    pub conditional_reads: bool,
    /// Version of the first read of each node, 0 before it, if the platform's revision advances
    /// between reads; empty if all reads return the published versions.
    pub own_versions: Vec<Version>,
    /// As-of time of a stale instance list; `None` for the current time.
    pub roster_as_of: Option<u64>,
}

pub(crate) struct Fleet {
    epoch: Instant,
    queue: BTreeMap<(u64, u64), (usize, u32, Input)>,
    sequence: u64,
    random: fastrand::Rng,
    domains: usize,
    pub now: u64,
    pub nodes: Vec<(Node, Record)>,
    pub delay: u64,
    pub faults: Faults,
    pub config: Arc<str>,
    pub roster: Arc<Roster>,
    /// Times of the reads of the platform, without those of contacts.
    pub reads: Vec<u64>,
    /// Number of reads of contacts.
    pub contact_reads: usize,
    /// Number of contacts that the platform returns; 0 if it offers none.
    contacts: usize,
    /// Responses to all nodes.
    pub account: Account,
    pub log: Option<Vec<(u64, usize, Action)>>,
}

impl Fleet {
    /// Starts all nodes at the same time with empty views.
    pub(crate) fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        Self::with_contacts(nodes, domains, seed, 0)
    }

    /// Like [`Fleet::new`], on a platform that offers contacts.
    pub(crate) fn with_contacts(nodes: usize, domains: usize, seed: u64, contacts: usize) -> Self {
        let mut fleet = Self {
            epoch: Instant::now(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(seed),
            domains,
            now: 0,
            nodes: Vec::new(),
            delay: 1,
            faults: Faults::default(),
            config: sample::text(1, ""),
            roster: sample::roster(1, &vec![0; nodes], domains),
            reads: Vec::new(),
            contact_reads: 0,
            contacts,
            account: Account::default(),
            log: None,
        };
        fleet.faults.partitions = vec![0; nodes];
        fleet.faults.cut_off = vec![false; nodes];
        (0..nodes).for_each(|index| fleet.start(index, 0));
        fleet
    }

    fn start(&mut self, index: usize, run: u32) {
        let identity = sample::identity(sample::instance(index, run, self.domains));
        let mut node = Node::new(identity, self.random.u64(..), self.instant());
        if self.contacts > 0 {
            node.set_start_spread(Duration::from_millis(50));
            node.start_with_contacts();
        }
        let record = Record {
            run,
            ..Record::default()
        };
        if index < self.nodes.len() {
            self.nodes[index] = (node, record);
        } else {
            self.nodes.push((node, record));
        }
        let phase = self.random.u64(0..50);
        self.push(phase, index, Input::Tick);
    }

    /// Replaces an instance at the same address and updates the instance list immediately.
    pub(crate) fn restart(&mut self, index: usize) {
        self.start(index, self.nodes[index].1.run + 1);
        let runs: Vec<u32> = self.nodes.iter().map(|(_, record)| record.run).collect();
        self.roster = sample::roster(self.roster.version + 1, &runs, self.domains);
    }

    /// Pauses a process; its inputs are delivered when it resumes.
    pub(crate) fn pause(&mut self, index: usize, millis: u64) {
        self.nodes[index].1.resumes_at = self.now + millis;
        self.nodes[index].1.unconfirmed = [millis > 450; 2];
    }

    pub(crate) fn instant(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now)
    }

    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((time, _), (index, run, input)) = entry.remove_entry();
            self.now = time;
            let record = &self.nodes[index].1;
            let wait = record.resumes_at.saturating_sub(time);
            match input {
                _ if record.run != run => {}
                Input::Platform(request) => self.read(index, request),
                Input::ContactsRead => self.read_contacts(index),
                input if wait > 0 => self.push(wait, index, input),
                input => self.handle(index, input),
            }
        }
        self.now = end;
    }

    fn push(&mut self, delay: u64, index: usize, input: Input) {
        self.sequence += 1;
        let run = self.nodes[index].1.run;
        self.queue
            .insert((self.now + delay, self.sequence), (index, run, input));
    }

    fn deliver(&mut self, index: usize, input: Input) {
        let delay = self.delay + self.random.u64(0..=self.faults.max_extra_delay);
        self.push(delay, index, input);
    }

    fn is_linked(&self, left: usize, right: usize) -> bool {
        self.faults.partitions[left] == self.faults.partitions[right]
    }

    fn handle(&mut self, index: usize, input: Input) {
        let now = self.instant();
        let (node, record) = &mut self.nodes[index];
        match input {
            Input::Tick => {
                node.tick(now);
                self.push(50, index, Input::Tick);
            }
            Input::Datagram(from, Datagram { origin, body, .. }) => match body {
                Body::Heartbeat { heartbeat, reply } => {
                    node.receive_heartbeat(&origin, sample::address(from), &heartbeat, reply, now);
                }
                _ => node.receive_leaving(&origin, now),
            },
            Input::Serve(requester, request) => {
                let response = match request.part {
                    Part::Config => {
                        let body = node.serve_config(request.have, request.digest, now);
                        Response::Body(body)
                    }
                    Part::Roster => {
                        let body = node.serve_roster(request.have, request.digest, now);
                        Response::RosterBody(body)
                    }
                };
                record.bytes_total += response_bytes(&response);
                self.deliver(requester, Input::Response(Some(index), request, response));
            }
            Input::Response(server, request, response) => {
                if server.is_none_or(|server| self.is_linked(server, index)) {
                    self.handle_response(index, &request, response);
                }
            }
            Input::Contacts(contacts) => node.receive_contacts(&contacts, now),
            Input::Platform(_) | Input::ContactsRead => {}
        }
        self.execute_actions(index);
        let (node, record) = &self.nodes[index];
        let is_confirmed = record.unconfirmed == [false; 2];
        assert!(
            is_confirmed || !node.readiness(now).is_ready(),
            "node {index} is ready with an unconfirmed view"
        );
    }

    fn read_contacts(&mut self, index: usize) {
        if self.faults.cut_off[index] || self.faults.platform_down {
            return;
        }
        let listed = self.roster.instances.iter().take(self.contacts);
        let contacts = listed.map(|instance| Contact {
            id: instance.id.clone(),
            address: instance.peer,
        });
        let contacts = Input::Contacts(contacts.collect());
        self.deliver(index, contacts);
    }

    /// Configuration text and roster version that the platform returns to a node.
    fn published(&mut self, index: usize) -> (Arc<str>, Version) {
        let version = sample::version_of(&self.config);
        let latest = self.faults.own_versions.iter().copied().max();
        let newest = latest.unwrap_or(0).max(version).max(self.roster.version);
        let is_reachable = !self.faults.cut_off[index] && !self.faults.platform_down;
        let own = match self.faults.own_versions.get_mut(index) {
            Some(own) if *own == 0 && is_reachable => {
                *own = newest + 1;
                *own
            }
            own => own.map_or(0, |own| *own),
        };
        let text = if own > version {
            sample::with_version(&self.config, own)
        } else {
            self.config.clone()
        };
        (text, own.max(self.roster.version))
    }

    fn read(&mut self, index: usize, request: Request) {
        let (config, roster_version) = self.published(index);
        let newer = sample::version_of(&config) > request.have;
        let response = match request.part {
            _ if self.faults.cut_off[index] && self.now >= request.waits_until => return,
            _ if self.faults.cut_off[index] => {
                return self.push(5, index, Input::Platform(request));
            }
            _ if self.faults.platform_down => Response::Failed,
            Part::Roster => {
                let mut roster = Roster::clone(&self.roster);
                roster.version = roster_version;
                roster.as_of_ms = self.faults.roster_as_of.unwrap_or(self.now);
                if self.faults.conditional_reads && roster.version == request.have {
                    roster.instances.clear();
                }
                Response::Roster(roster.into())
            }
            Part::Config if newer || request.waits_until == 0 => Response::Text(config),
            Part::Config if self.now < request.waits_until => {
                return self.push(5, index, Input::Platform(request));
            }
            Part::Config => Response::Unchanged,
        };
        self.deliver(index, Input::Response(None, request, response));
    }

    fn handle_response(&mut self, index: usize, request: &Request, response: Response) {
        let now = self.instant();
        let (node, record) = &mut self.nodes[index];
        let confirms =
            request.sent_at >= record.resumes_at && !matches!(response, Response::Failed);
        record.unconfirmed[request.part as usize] &= !confirms;
        let bytes = response_bytes(&response);
        record.bytes_total += bytes;
        let sender = if request.pull.source == Source::Platform {
            record.bytes_read += bytes;
            Sender::Platform
        } else {
            Sender::Peer
        };
        let reason = Reason::of(request.have);
        self.account.add(kind(&response), sender, reason, bytes);
        match (response, request.part) {
            (Response::Text(text), _) => node.receive_config_text(&text, &request.pull, now),
            (Response::Body(body), _) => node.receive_config_body(body, &request.pull, now),
            (Response::Unchanged, _) => node.receive_config_unchanged(&request.pull, now),
            (Response::Roster(roster), _) => node.receive_roster(roster, &request.pull, now),
            (Response::RosterBody(body), _) => node.receive_roster_body(body, &request.pull, now),
            (Response::Failed, Part::Config) => node.config_pull_failed(&request.pull, now),
            (Response::Failed, Part::Roster) => node.roster_pull_failed(&request.pull, now),
        }
    }

    fn execute_actions(&mut self, index: usize) {
        for action in self.nodes[index].0.take_actions() {
            if let Some(log) = &mut self.log {
                log.push((self.now, index, action.clone()));
            }
            let wait = WATCH_TIMEOUT.as_millis() as u64;
            let record = &mut self.nodes[index].1;
            match action {
                Action::Send { to, body } => self.send(index, to, body),
                Action::ReadContacts => {
                    self.contact_reads += 1;
                    self.deliver(index, Input::ContactsRead);
                }
                Action::PullConfig {
                    pull,
                    have,
                    content,
                } => {
                    self.send_request(index, Part::Config, (have, content), 0, pull);
                }
                Action::PullRoster { pull, have, digest } => {
                    self.send_request(index, Part::Roster, (have, digest), 0, pull);
                }
                Action::WatchConfig { pull, after } => {
                    self.send_request(index, Part::Config, (after, None), self.now + wait, pull);
                }
                Action::ApplyConfig(config) => {
                    assert!(
                        config.version > record.version,
                        "node {index} activated an older version"
                    );
                    record.version = config.version;
                    record.activated_at = self.now;
                }
                Action::Emit(event) => record.events.push(event),
                other => record.actions.push(other),
            }
        }
    }

    fn send_request(
        &mut self,
        index: usize,
        part: Part,
        (have, digest): (Version, Option<u64>),
        waits_until: u64,
        pull: Pull,
    ) {
        let source = pull.source.clone();
        let sent_at = self.now;
        let request = Request {
            part,
            have,
            digest,
            waits_until,
            sent_at,
            pull,
        };
        match source {
            Source::Platform => {
                self.reads.push(self.now);
                self.deliver(index, Input::Platform(request));
            }
            Source::Peer { address, .. } => {
                let to = usize::from(address.port() - 1);
                if self.is_linked(index, to) {
                    self.deliver(to, Input::Serve(index, request));
                }
            }
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, body: Body) {
        let to = usize::from(to.port() - 1);
        let record = &mut self.nodes[index].1;
        let origin = sample::instance(index, record.run, 1).id;
        let datagram = Datagram {
            format: frame::FORMAT_VERSION,
            origin,
            body,
        };
        let bytes = frame::encode(&datagram).len() + 28;
        record.bytes_total += bytes;
        record.bytes_gossiped += bytes;
        record.datagrams += 1;
        for _ in 0..=usize::from(self.random.f64() < self.faults.duplicates) {
            if self.is_linked(index, to) && self.random.f64() >= self.faults.loss {
                self.nodes[to].1.bytes_total += bytes;
                self.deliver(to, Input::Datagram(index, datagram.clone()));
            }
        }
    }

    /// Maximum number of platform reads within one second, since the time `from`.
    pub(crate) fn peak_reads(&self, from: u64) -> usize {
        let reads: Vec<u64> = self
            .reads
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let end = |first: u64| reads.partition_point(|at| *at < first + 1000);
        let counts = reads.iter().enumerate().map(|(index, at)| end(*at) - index);
        counts.max().unwrap_or(0)
    }

    pub(crate) fn all_at(&self, version: Version) -> bool {
        self.nodes
            .iter()
            .all(|(_, record)| record.version == version)
    }

    pub(crate) fn all_ready(&self) -> bool {
        self.nodes
            .iter()
            .all(|(node, _)| node.readiness(self.instant()).is_ready())
    }
}
