//! Drives the membership node: datagrams, pulls, reads of the platform and the clock.
//!
//! The node decides and returns actions; this module carries them out. Everything here may fail
//! or be lost without harm: the node asks again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use http::{Request, Response};
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

use basilbay_membership::action::{Action, Origin, Source};
use basilbay_membership::node::{Identity, Node};
use basilbay_membership::{pull, standing::Standing};
use basilbay_model::id::{InstanceId, Version};
use basilbay_model::roster::Timestamp;
use basilbay_wire::control::{CONFIG_PATH, ConfigBody, ROSTER_PATH, RosterBody};
use basilbay_wire::datagram::{Body as Message, Datagram};
use basilbay_wire::frame::{self, FORMAT_VERSION, MAX_CONTROL_BYTES, MAX_DATAGRAM_BYTES};
use basilbay_wire::load::State;

use crate::body::{self, Body};
use crate::daemon::Daemon;
use crate::report;
use crate::source::Update;
use crate::traffic::Traffic;

/// Result of a pull.
pub type Result<T> = anyhow::Result<T>;

/// Time between two ticks of the node; a pause shows as a gap of several.
const TICK: Duration = Duration::from_millis(50);

/// The node and its socket.
#[derive(Debug)]
pub struct Control {
    node: Mutex<Node>,
    socket: UdpSocket,
    watch: Mutex<Option<AbortHandle>>,
    /// What control costs on the network.
    pub traffic: Arc<Traffic>,
}

impl Control {
    /// Binds the socket for datagrams.
    pub async fn bind(identity: Identity, seed: u64, traffic: Arc<Traffic>) -> Result<Self> {
        let address = identity.peer;
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot bind UDP {address}"))?;
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

    /// Keeps the newest watch and ends the former one.
    fn replace_watch(&self, watch: AbortHandle) {
        let mut kept = self.watch.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(former) = kept.replace(watch) {
            former.abort();
        }
    }

    /// Sends a datagram; one that cannot be sent is dropped.
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

/// Ticks the node for as long as the daemon runs.
pub async fn run_ticks(daemon: Arc<Daemon>) {
    let mut interval = tokio::time::interval(TICK);
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
        daemon.update_own_load();
    }
}

/// Receives datagrams for as long as the daemon runs.
pub async fn receive_datagrams(daemon: Arc<Daemon>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, source)) = daemon.control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        daemon.control.traffic.record_datagram_received(length);
        match frame::decode::<Datagram>(&buffer[..length], MAX_DATAGRAM_BYTES) {
            Ok(datagram) => hear(&daemon, &datagram, source),
            Err(error) => report::malformed_datagram(source, &error),
        }
    }
}

fn hear(daemon: &Arc<Daemon>, datagram: &Datagram, source: SocketAddr) {
    let now = Instant::now();
    let origin = &datagram.origin;
    match &datagram.body {
        Message::Load(load) => daemon.record_load(origin, load, now),
        Message::Heartbeat { beat, reply } => {
            let mut node = daemon.control.node();
            node.heard(origin, source, beat, *reply, now);
        }
        Message::Leaving => daemon.control.node().left(origin, now),
        Message::Suspicions(suspicions) => daemon.suspects.merge(origin, suspicions, now),
    }
    apply_actions(daemon);
}

/// Carries out what the node asks for and publishes its standing.
pub fn apply_actions(daemon: &Arc<Daemon>) {
    let now = Instant::now();
    let (actions, standing, as_of) = {
        let mut node = daemon.control.node();
        (node.actions(), node.standing(now), node.roster_as_of())
    };
    for action in actions {
        perform(daemon, action);
    }
    note_standing(daemon, standing, as_of, now);
}

fn note_standing(daemon: &Arc<Daemon>, standing: Standing, as_of: Timestamp, now: Instant) {
    let serves = standing.serves();
    // Requests are let in last and kept out first, so that none meets a closed target.
    if !serves {
        daemon.serving.update(serves, now);
    }
    daemon.set_unconfirmed(!serves);
    daemon.update_as_of(as_of);
    if serves {
        daemon.serving.update(serves, now);
    }
}

fn perform(daemon: &Arc<Daemon>, action: Action) {
    match action {
        Action::Send { to, body } => daemon.control.send(&daemon.settings.id, body, to),
        Action::PullConfig { from, have } => {
            tokio::spawn(pull_config(daemon.clone(), from, have));
        }
        Action::WatchConfig { from, after } => {
            let task = tokio::spawn(watch_config(daemon.clone(), from, after));
            daemon.control.replace_watch(task.abort_handle());
        }
        Action::PullRoster { from, have } => {
            tokio::spawn(pull_roster(daemon.clone(), from, have));
        }
        Action::ConfigInForce(config) => daemon.set_config(config),
        Action::RosterInForce(roster) => daemon.set_roster(roster),
        Action::Left(id) => daemon.mark_leaving(&id),
        Action::Back(id) => daemon.mark_rejoined(&id),
        Action::Emit(event) => report::membership(&event),
        Action::Paused => {
            daemon.set_unconfirmed(true);
            report::paused();
        }
        Action::Confirmed => report::confirmed(),
        // The standing says the same, and is read after the actions.
        Action::Isolated(_) => {}
    }
}

async fn pull_config(daemon: Arc<Daemon>, from: Origin, have: Version) {
    match &from.source {
        Source::Platform => read_config(&daemon, &from, None).await,
        Source::Peer { id, address } => {
            let path = format!("{CONFIG_PATH}?have={have}");
            let pulled = pull::<ConfigBody>(&daemon, id, *address, &path).await;
            let now = Instant::now();
            let mut node = daemon.control.node();
            match pulled {
                Ok(body) => node.config_body(body, &from, now),
                Err(_) => node.config_failed(&from, now),
            }
        }
    }
    apply_actions(&daemon);
}

async fn watch_config(daemon: Arc<Daemon>, from: Origin, after: Version) {
    read_config(&daemon, &from, Some(after)).await;
    apply_actions(&daemon);
}

async fn read_config(daemon: &Daemon, from: &Origin, after: Option<Version>) {
    let read = match after {
        Some(after) => daemon.source.watch(after).await,
        None => daemon.source.config().await,
    };
    let now = Instant::now();
    let mut node = daemon.control.node();
    match read {
        Ok(news) => {
            // First the configuration: the roster may name instances of services that it adds.
            match news.config {
                Some(text) => node.config_text(&text, from, now),
                None => node.config_unchanged(from, now),
            }
            if let Some(roster) = news.roster {
                node.roster(Arc::new(roster), from, now);
            }
        }
        Err(error) => {
            tracing::info!(error = format!("{error:#}"), "configuration not read");
            node.config_failed(from, now);
        }
    }
}

async fn pull_roster(daemon: Arc<Daemon>, from: Origin, have: Version) {
    let pulled = match &from.source {
        Source::Platform => daemon.source.roster(have).await,
        Source::Peer { id, address } => {
            let path = format!("{ROSTER_PATH}?have={have}");
            let pulled = pull::<RosterBody>(&daemon, id, *address, &path).await;
            pulled.map(|body| Update {
                config: None,
                roster: Some(body.roster),
            })
        }
    };
    let now = Instant::now();
    {
        let mut node = daemon.control.node();
        match pulled {
            Ok(news) => {
                if let Some(text) = news.config {
                    node.config_text(&text, &from, now);
                }
                let mut roster = news.roster.unwrap_or_default();
                roster.sort();
                node.roster(Arc::new(roster), &from, now);
            }
            Err(error) => {
                tracing::info!(error = format!("{error:#}"), "instance list not read");
                node.roster_failed(&from, now);
            }
        }
    }
    apply_actions(&daemon);
}

async fn pull<T: serde::de::DeserializeOwned>(
    daemon: &Daemon,
    peer: &InstanceId,
    address: SocketAddr,
    path: &str,
) -> Result<T> {
    // A datagram's source need not accept connections; the listed address does.
    let listed = daemon.view().roster.instance(peer).map(|it| it.peer);
    let address = listed.unwrap_or(address);
    let uri = format!("http://{address}{path}");
    let request = Request::get(uri).body(body::empty())?;
    let link = daemon.links.get(peer, address);
    let pulling = async {
        let response = link
            .send(request)
            .await
            .map_err(|failure| anyhow::anyhow!("{failure:?}"))?;
        anyhow::ensure!(response.status().is_success(), "{}", response.status());
        body::read_all(response.into_body(), MAX_CONTROL_BYTES).await
    };
    let bytes = tokio::time::timeout(pull::PEER_TIMEOUT, pulling).await??;
    daemon.control.traffic.record_pull(bytes.len());
    Ok(frame::decode(&bytes, MAX_CONTROL_BYTES)?)
}

/// Answers a pull of another daemon, if the path is one of a pull.
pub fn serve_pull(daemon: &Arc<Daemon>, path: &str, query: Option<&str>) -> Option<Response<Body>> {
    let have = have(query);
    let now = Instant::now();
    let bytes = match path {
        CONFIG_PATH => frame::encode(&daemon.control.node().serve_config(have, now)),
        ROSTER_PATH => frame::encode(&daemon.control.node().serve_roster(have, now)),
        _ => return None,
    };
    daemon.control.traffic.record_pull_served(bytes.len());
    Some(Response::new(body::full(bytes.into())))
}

fn have(query: Option<&str>) -> Version {
    query
        .and_then(|query| query.strip_prefix("have="))
        .and_then(|have| have.parse().ok())
        .unwrap_or(0)
}
