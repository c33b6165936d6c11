//! In-process daemons that serve the admin interface with canned responses.

use std::future::ready;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use basilbay_admin::{Admin, Candidate, Explanation, Peer, Status};
use basilbay_model::domain::State;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

/// A daemon that responds with a configurable status.
#[derive(Clone)]
pub(crate) struct Daemon {
    status: Arc<Mutex<Status>>,
}

impl Daemon {
    fn current_status(&self) -> Status {
        self.status
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }
}

impl Admin for Daemon {
    async fn status(self, _: Context) -> Status {
        self.current_status()
    }

    async fn brief(self, _: Context) -> Status {
        Status {
            peers: Vec::new(),
            ..self.current_status()
        }
    }

    async fn explain(
        self,
        _: Context,
        service: String,
        method: String,
        path: String,
    ) -> Explanation {
        explanation(&service, &method, &path)
    }
}

/// A fleet of daemons on the loopback interface, and of addresses that refuse or do not respond.
pub(crate) struct Fleet {
    runtime: Runtime,
    /// The daemons with their admin addresses.
    pub(crate) daemons: Vec<(SocketAddr, Daemon)>,
    /// Sockets that accept connections through the backlog and never respond.
    listeners: Vec<TcpListener>,
    /// Sockets that are bound without listening, so that no other process can bind a port that must
    /// refuse connections.
    sockets: Vec<TcpSocket>,
}

impl Fleet {
    /// Starts a daemon for each status; each lists all of them as peers.
    pub(crate) fn start(statuses: Vec<Status>) -> Self {
        let runtime = Runtime::new().expect("a runtime starts");
        let daemons = statuses
            .into_iter()
            .map(|status| {
                let daemon = Daemon {
                    status: Arc::new(Mutex::new(status)),
                };
                (runtime.block_on(serve(daemon.clone())), daemon)
            })
            .collect();
        let fleet = Self {
            runtime,
            daemons,
            listeners: Vec::new(),
            sockets: Vec::new(),
        };
        for (address, daemon) in &fleet.daemons {
            fleet.add_peer(peer(&daemon.current_status(), *address));
        }
        fleet
    }

    /// Returns the admin address of the first daemon.
    pub(crate) fn address(&self) -> SocketAddr {
        self.daemons.first().expect("the fleet is not empty").0
    }

    /// Inserts an instance at the front of the peer list of every daemon.
    pub(crate) fn add_peer(&self, peer: Peer) {
        for (_, daemon) in &self.daemons {
            let mut status = daemon.status.lock().expect("the lock is not poisoned");
            status.peers.insert(0, peer.clone());
        }
    }

    /// Adds an instance whose port refuses connections, and returns its address.
    pub(crate) fn add_refusing(&mut self, instance: &str) -> SocketAddr {
        let socket = TcpSocket::new_v4().expect("a socket opens");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a port is free");
        let address = socket.local_addr().expect("the port is bound");
        self.sockets.push(socket);
        self.add_peer(peer(&status(instance, "paydesk", "tt-north-2", 0), address));
        address
    }

    /// Adds an instance that accepts connections and never responds, and returns its address.
    pub(crate) fn add_unresponsive(&mut self, instance: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        self.listeners.push(listener);
        self.add_peer(peer(&status(instance, "paydesk", "tt-north-2", 0), address));
        address
    }

    /// Changes the active configuration version of a daemon after a delay.
    pub(crate) fn set_version_after(&self, index: usize, version: u64, delay: std::time::Duration) {
        let (_, daemon) = self.daemons.get(index).expect("the index is valid");
        let daemon = daemon.clone();
        self.runtime.spawn(async move {
            tokio::time::sleep(delay).await;
            daemon
                .status
                .lock()
                .expect("the lock is not poisoned")
                .config_version = version;
        });
    }
}

async fn serve(daemon: Daemon) -> SocketAddr {
    let listener = tcp::listen("127.0.0.1:0", Json::default)
        .await
        .expect("a port is free");
    let address = listener.local_addr();
    tokio::spawn(
        listener
            .filter_map(|accepted| ready(accepted.ok()))
            .map(BaseChannel::with_defaults)
            .for_each_concurrent(None, move |channel| {
                channel
                    .execute(daemon.clone().serve())
                    .for_each_concurrent(None, |response| response)
            }),
    );
    address
}

/// Returns the status of a warm daemon with fixed load figures.
pub(crate) fn status(instance: &str, service: &str, domain: &str, config_version: u64) -> Status {
    Status {
        instance: Arc::from(instance),
        service: Arc::from(service),
        domain: Arc::from(domain),
        build: Arc::from("0.1.0"),
        config_version,
        roster_version: 4,
        roster_age_ms: 120,
        state: Arc::from("warm"),
        in_flight: 9,
        limit: 18,
        queued: 1,
        latency_us: 12_340,
        completed: 1_000,
        refused: 2,
        keys: 3,
        control: None,
        peers: Vec::new(),
    }
}

/// Returns the peer entry of the daemon with this status.
pub(crate) fn peer(status: &Status, admin: SocketAddr) -> Peer {
    Peer {
        instance: status.instance.clone(),
        admin,
        service: status.service.clone(),
        domain: status.domain.clone(),
    }
}

/// Returns the explanation of a request: `/full` is refused, other paths have one eligible target.
pub(crate) fn explanation(service: &str, method: &str, path: &str) -> Explanation {
    let refused = path == "/full";
    let first = Candidate {
        instance: Arc::from("pay-1"),
        domain: Arc::from("tt-north-1"),
        domain_state: State::In,
        eligible: !refused,
        reason: Arc::from("own domain"),
        in_flight: 4,
        limit: 18,
        age_ms: Some(12),
        share_permille: 1_000,
    };
    let second = Candidate {
        instance: Arc::from("pay-2"),
        domain: Arc::from("tt-north-2"),
        domain_state: State::Out,
        eligible: false,
        reason: Arc::from("failure domain is out"),
        in_flight: 0,
        limit: 18,
        age_ms: None,
        share_permille: 0,
    };
    Explanation {
        instance: Arc::from("pay-1"),
        service: Arc::from(service),
        kind: (method == "POST").then(|| Arc::from("payment")),
        policy: Arc::from("basilbay"),
        refusal: refused.then(|| Arc::from("no capacity")),
        candidates: vec![first, second],
    }
}

/// Runs the client without `BASILBAY_DAEMON` in its environment.
pub(crate) fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_basilbay"))
        .args(arguments)
        .env_remove("BASILBAY_DAEMON")
        .output()
        .expect("the client starts")
}

/// Returns the standard output as text.
pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is text")
}
