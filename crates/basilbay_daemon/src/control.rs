//! I/O of the membership node: datagrams, pulls from other daemons, reads of the platform and ticks.
//!
//! The node is a state machine without I/O. This module passes it inputs and executes the actions
//! that it returns. An action may fail and its result may be lost, since the node retries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use http::{Request, Response};
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::node::{Identity, Node};
use basilbay_membership::{pull, readiness::Readiness};
use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_wire::control::{CONFIG_PATH, ConfigBody, PING_PATH, ROSTER_PATH, RosterBody};
use basilbay_wire::datagram::{Body as Message, Datagram};
use basilbay_wire::frame::{
    self, FORMAT_VERSION, MAX_CONTROL_BYTES, MAX_DATAGRAM_BYTES, MAX_ROSTER_BYTES,
};
use basilbay_wire::load::State;

use crate::body::{self, Body};
use crate::daemon::Daemon;
use crate::link::Repeat;
use crate::report;
use crate::traffic::Traffic;

/// Result of a pull.
pub type Result<T> = anyhow::Result<T>;

/// Time between two ticks of the node. A gap of several intervals shows that the process was
/// paused.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of characters of an unusable instance's id that are logged.
const MAX_LOGGED_ID: usize = 64;

/// The membership node and its socket.
#[derive(Debug)]
pub struct Control {
    node: Mutex<Node>,
    socket: UdpSocket,
    /// Task of the open watch; `None` before the first one.
    watch: Mutex<Option<AbortHandle>>,
    /// Counters of control traffic.
    pub traffic: Arc<Traffic>,
}

impl Control {
    /// Creates the node and binds its UDP socket.
    pub async fn bind(identity: Identity, seed: u64, traffic: Arc<Traffic>) -> Result<Self> {
        let address = identity.peer;
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot bind the UDP socket to {address}"))?;
        Ok(Self {
            node: Mutex::new(Node::new(identity, seed, Instant::now())),
            socket,
            watch: Mutex::new(None),
            traffic,
        })
    }

    /// Locks the node.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the task of a new watch and aborts the previous one.
    fn replace_watch(&self, watch: AbortHandle) {
        let mut current = self.watch.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(previous) = current.replace(watch) {
            previous.abort();
        }
    }

    /// Sends a datagram; one that is too long or cannot be sent at once is dropped.
    pub fn send(&self, origin: &InstanceId, body: Message, to: SocketAddr) {
        let datagram = Datagram {
            format: FORMAT_VERSION,
            origin: origin.clone(),
            body,
        };
        let bytes = frame::encode(&datagram);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        if let Ok(length) = self.socket.try_send_to(&bytes, to) {
            self.traffic.record_datagram_sent(length);
        }
    }
}

/// Ticks the node until the daemon stops.
pub async fn run_ticks(daemon: Arc<Daemon>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = Instant::now();
        let state = daemon.admission.state();
        {
            let mut node = daemon.control.node();
            node.set_state(state);
            node.tick(now);
        }
        apply_actions(&daemon);
        if state == State::Cold {
            daemon.update_sibling_latency(now);
        }
        daemon.update_local_load();
    }
}

/// Receives datagrams until the daemon stops.
pub async fn receive_datagrams(daemon: Arc<Daemon>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, source)) = daemon.control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        daemon.control.traffic.record_datagram_received(length);
        match frame::decode::<Datagram>(&buffer[..length], MAX_DATAGRAM_BYTES) {
            Ok(datagram) => handle_datagram(&daemon, &datagram, source),
            Err(error) => report::malformed_datagram(source, &error),
        }
    }
}

fn handle_datagram(daemon: &Arc<Daemon>, datagram: &Datagram, source: SocketAddr) {
    let now = Instant::now();
    let origin = &datagram.origin;
    match &datagram.body {
        Message::Load(load) => daemon.record_load(origin, load, now),
        Message::Heartbeat { heartbeat, reply } => {
            let mut node = daemon.control.node();
            node.receive_heartbeat(origin, source, heartbeat, *reply, now);
        }
        Message::Leaving => daemon.control.node().receive_leaving(origin, now),
        Message::Suspicions(suspicions) => daemon.suspects.merge(origin, suspicions, now),
        Message::SuspectsWanted => daemon.suspects.send_to(daemon, source, now),
        Message::Suspects(reports) => daemon.suspects.restore(daemon, reports, now),
    }
    apply_actions(daemon);
}

/// Executes the node's pending actions and publishes its readiness.
pub fn apply_actions(daemon: &Arc<Daemon>) {
    let now = Instant::now();
    let (actions, readiness, as_of) = {
        let mut node = daemon.control.node();
        (
            node.take_actions(),
            node.readiness(now),
            node.roster_as_of(),
        )
    };
    for action in actions {
        execute(daemon, action);
    }
    apply_readiness(daemon, readiness, as_of, now);
}

fn apply_readiness(daemon: &Arc<Daemon>, readiness: Readiness, as_of: Timestamp, now: Instant) {
    let is_ready = readiness.is_ready();
    // The serving status is cleared before the target closes and set after it opens, so that no
    // admitted request reaches a closed target.
    if !is_ready {
        daemon.serving.update(is_ready, now);
    }
    daemon.set_unconfirmed(!is_ready);
    daemon.update_as_of(as_of);
    if is_ready {
        daemon.serving.update(is_ready, now);
    }
}

fn execute(daemon: &Arc<Daemon>, action: Action) {
    match action {
        Action::Send { to, body } => daemon.control.send(&daemon.settings.id, body, to),
        Action::ReadContacts => {
            tokio::spawn(read_contacts(daemon.clone()));
        }
        Action::PullConfig {
            pull,
            have,
            content,
        } => {
            tokio::spawn(pull_config(daemon.clone(), pull, have, content));
        }
        Action::WatchConfig { pull, after } => {
            let task = tokio::spawn(watch_config(daemon.clone(), pull, after));
            daemon.control.replace_watch(task.abort_handle());
        }
        Action::PullRoster { pull, have, digest } => {
            tokio::spawn(pull_roster(daemon.clone(), pull, have, digest));
        }
        Action::ApplyConfig(config) => daemon.set_config(config),
        Action::ApplyRoster(roster) => daemon.set_roster(roster),
        Action::PeerLeaving(id) => daemon.mark_leaving(&id),
        Action::PeerReturned(id) => daemon.mark_returned(&id),
        Action::Emit(event) => report::membership(&event),
        Action::Paused => {
            daemon.set_unconfirmed(true);
            report::paused();
        }
        Action::Confirmed => report::confirmed(),
        // The readiness, which is read together with the actions, already includes isolation.
        Action::Isolated(_) => {}
    }
}

async fn read_contacts(daemon: Arc<Daemon>) {
    let Some(read) = daemon.source.contacts() else {
        return;
    };
    match read.await {
        Ok(contacts) => {
            let now = Instant::now();
            daemon.control.node().receive_contacts(&contacts, now);
        }
        Err(error) => tracing::info!(
            error = format!("{error:#}"),
            "failed to read contacts; the node will retry"
        ),
    }
    apply_actions(&daemon);
}

async fn pull_config(daemon: Arc<Daemon>, pull: Pull, have: Version, content: Option<u64>) {
    match &pull.source {
        Source::Platform => read_config(&daemon, &pull, None).await,
        Source::Peer { id, address } => {
            let digest = content.map(|digest| format!("&digest={digest}"));
            let path = format!("{CONFIG_PATH}?have={have}{}", digest.unwrap_or_default());
            let pulled =
                pull_from_peer::<ConfigBody>(&daemon, id, *address, &path, MAX_CONTROL_BYTES).await;
            let now = Instant::now();
            let mut node = daemon.control.node();
            match pulled {
                Ok(body) => node.receive_config_body(body, &pull, now),
                Err(_) => node.config_pull_failed(&pull, now),
            }
        }
    }
    apply_actions(&daemon);
}

async fn watch_config(daemon: Arc<Daemon>, pull: Pull, after: Version) {
    read_config(&daemon, &pull, Some(after)).await;
    apply_actions(&daemon);
}

async fn read_config(daemon: &Daemon, pull: &Pull, after: Option<Version>) {
    let read = match after {
        Some(after) => daemon.source.watch(after).await,
        None => daemon.source.config().await,
    };
    let now = Instant::now();
    let mut node = daemon.control.node();
    match read {
        Ok(update) => {
            // The configuration comes first: the roster may list instances of services that it
            // adds.
            match update.config {
                Some(text) => node.receive_config_text(&text, pull, now),
                None => node.receive_config_unchanged(pull, now),
            }
            if let Some(roster) = update.roster {
                node.receive_roster(Arc::new(usable(roster)), pull, now);
            }
        }
        Err(error) => {
            tracing::info!(
                error = format!("{error:#}"),
                "failed to read the configuration; the node will retry"
            );
            node.config_pull_failed(pull, now);
        }
    }
}

async fn pull_roster(daemon: Arc<Daemon>, pull: Pull, have: Version, digest: Option<u64>) {
    match &pull.source {
        Source::Platform => read_roster(&daemon, &pull, have).await,
        Source::Peer { id, address } => {
            let digest = digest.map_or(String::new(), |digest| format!("&digest={digest}"));
            let path = format!("{ROSTER_PATH}?have={have}{digest}");
            let pulled =
                pull_from_peer::<RosterBody>(&daemon, id, *address, &path, MAX_ROSTER_BYTES).await;
            let now = Instant::now();
            let mut node = daemon.control.node();
            match pulled {
                Ok(mut body) => {
                    body.roster.sort();
                    node.receive_roster_body(body, &pull, now);
                }
                Err(error) => {
                    tracing::info!(
                        peer = %id,
                        error = format!("{error:#}"),
                        "failed to pull the roster from a peer; the node will retry"
                    );
                    node.roster_pull_failed(&pull, now);
                }
            }
        }
    }
    apply_actions(&daemon);
}

async fn read_roster(daemon: &Daemon, pull: &Pull, have: Version) {
    let read = daemon.source.roster(have).await;
    let now = Instant::now();
    let mut node = daemon.control.node();
    match read {
        Ok(update) => {
            if let Some(text) = update.config {
                node.receive_config_text(&text, pull, now);
            }
            let mut roster = usable(update.roster.unwrap_or_default());
            roster.sort();
            node.receive_roster(Arc::new(roster), pull, now);
        }
        Err(error) => {
            tracing::info!(
                error = format!("{error:#}"),
                "failed to read the instance list; the node will retry"
            );
            node.roster_pull_failed(pull, now);
        }
    }
}

/// Leaves out the instances that no daemon can use.
fn usable(mut roster: Roster) -> Roster {
    roster.instances.retain(|instance| {
        let defect = instance.defect();
        if let Some(defect) = defect {
            let id: String = instance.id.chars().take(MAX_LOGGED_ID).collect();
            tracing::warn!(?id, defect, "unusable instance; it is left out");
        }
        defect.is_none()
    });
    roster
}

async fn pull_from_peer<T: serde::de::DeserializeOwned>(
    daemon: &Daemon,
    peer: &InstanceId,
    address: SocketAddr,
    path: &str,
    limit: usize,
) -> Result<T> {
    // The source address of a datagram may not accept connections; the address in the roster does.
    let listed = daemon
        .view()
        .roster
        .instance(peer)
        .map(|instance| instance.peer);
    let address = listed.unwrap_or(address);
    let uri = format!("http://{address}{path}");
    let request = Request::get(uri).body(body::empty())?;
    let link = daemon.links.get(peer, address);
    let exchange = async {
        let response = link
            .send(request, Repeat::Elsewhere(&|| true))
            .await
            .map_err(|failure| anyhow::anyhow!("no response to {path}: {failure:?}"))?;
        anyhow::ensure!(
            response.status().is_success(),
            "{path}: unexpected status {}",
            response.status()
        );
        body::read_all(response.into_body(), limit).await
    };
    let bytes = tokio::time::timeout(pull::PEER_TIMEOUT, exchange).await??;
    daemon.control.traffic.record_pull(bytes.len());
    Ok(frame::decode(&bytes, limit)?)
}

/// Responds to another daemon's pull or ping; `None` if the path is not one of these.
pub fn serve_pull(daemon: &Arc<Daemon>, path: &str, query: Option<&str>) -> Option<Response<Body>> {
    let have = parse_number(query, "have").unwrap_or(0);
    let digest = parse_number(query, "digest");
    let now = Instant::now();
    let bytes = match path {
        PING_PATH => Vec::new(),
        CONFIG_PATH => frame::encode(&daemon.control.node().serve_config(have, digest, now)),
        ROSTER_PATH => frame::encode(&daemon.control.node().serve_roster(have, digest, now)),
        _ => return None,
    };
    daemon.control.traffic.record_pull_served(bytes.len());
    Some(Response::new(body::full(bytes.into())))
}

/// Parses a number of a query; `None` if the query does not state one, which requests the full
/// content.
fn parse_number(query: Option<&str>, name: &str) -> Option<u64> {
    let parameters = query?.split('&');
    let mut values = parameters.filter_map(|parameter| parameter.split_once('='));
    let (_, value) = values.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
