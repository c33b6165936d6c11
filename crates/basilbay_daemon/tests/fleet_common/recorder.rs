//! Records the datagrams that daemons send to a listed instance that only listens.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilbay_fakes::platform::list::Entry;
use basilbay_model::roster;
use basilbay_wire::datagram::{Body, Datagram};
use basilbay_wire::frame::{self, MAX_DATAGRAM_BYTES};
use basilbay_wire::load::State;
use tokio::net::UdpSocket;

/// Time-out of waits for a message.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A message that a daemon sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Message {
    /// Version of the configuration, version of the roster, and state of the target.
    Heartbeat(u64, u64, State),
    /// The target is leaving.
    Leaving,
}

type Messages = Vec<(String, Vec<Message>)>;

/// Records the messages of each daemon.
pub(crate) struct Recorder {
    address: SocketAddr,
    messages: Arc<Mutex<Messages>>,
}

impl Recorder {
    /// Listens on a free port for the lifetime of the runtime.
    pub(crate) async fn start() -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let socket = socket.expect("a free port");
        let address = socket.local_addr().expect("the socket is bound");
        let messages = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(listen(socket, messages.clone()));
        Self { address, messages }
    }

    /// Instance-list entry of the recorder, with a failure domain and a service of its own.
    pub(crate) fn list_entry(&self) -> Entry {
        Entry {
            id: Arc::from("recorder"),
            service: Arc::from("recorder"),
            domain: Arc::from("d-recorder"),
            region: Arc::from(""),
            peer: self.address,
            admin: self.address,
            listen: self.address,
            state: roster::State::Live,
            listed_ago_ms: 0,
        }
    }

    /// Discards all recorded messages.
    pub(crate) fn clear(&self) {
        lock(&self.messages).clear();
    }

    /// Waits until the latest message of each of these daemons equals `message`.
    pub(crate) async fn wait_until(&self, ids: &[&str], message: Message) {
        let start = Instant::now();
        while !ids.iter().all(|id| self.last(id) == Some(message)) {
            let messages = lock(&self.messages).clone();
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "no {message:?} from {ids:?} within {WAIT_TIMEOUT:?}: {messages:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Messages of a daemon, in order of arrival.
    pub(crate) fn messages(&self, id: &str) -> Vec<Message> {
        let messages = lock(&self.messages);
        let found = messages.iter().find(|(origin, _)| origin == id);
        found.map(|(_, sent)| sent.clone()).unwrap_or_default()
    }

    fn last(&self, id: &str) -> Option<Message> {
        self.messages(id).last().copied()
    }
}

fn lock(messages: &Mutex<Messages>) -> MutexGuard<'_, Messages> {
    messages.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn listen(socket: UdpSocket, messages: Arc<Mutex<Messages>>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let datagram = frame::decode::<Datagram>(&buffer[..length], MAX_DATAGRAM_BYTES);
        let datagram = datagram.expect("daemons send well-formed datagrams");
        let message = match datagram.body {
            Body::Heartbeat { heartbeat, .. } => Message::Heartbeat(
                heartbeat.config_version,
                heartbeat.roster_version,
                heartbeat.state,
            ),
            Body::Leaving => Message::Leaving,
            Body::Load(_) | Body::Suspicions(_) | Body::SuspectsWanted | Body::Suspects(_) => {
                continue;
            }
        };
        record(&mut lock(&messages), &datagram.origin, message);
    }
}

/// Records a message that differs from the previous one of the same daemon.
///
/// The first heartbeat with a new version may still carry the state from before the change; the
/// next heartbeat replaces it. Leaving is announced three times and recorded once. Heartbeats in
/// the state `Unconfirmed` are ignored, since daemons may pause on a busy machine.
fn record(messages: &mut Messages, id: &str, message: Message) {
    if matches!(message, Message::Heartbeat(_, _, State::Unconfirmed)) {
        return;
    }
    let index = messages.iter().position(|(origin, _)| origin == id);
    let index = index.unwrap_or_else(|| {
        messages.push((id.to_owned(), Vec::new()));
        messages.len() - 1
    });
    let sent = &mut messages[index].1;
    if is_replaced(sent, message) {
        sent.pop();
    }
    let is_repeated = message == Message::Leaving && sent.contains(&message);
    if sent.last() != Some(&message) && !is_repeated {
        sent.push(message);
    }
}

/// Whether the last recorded message is the first one with its version and `message` carries the
/// same version.
fn is_replaced(sent: &[Message], message: Message) -> bool {
    let [
        ..,
        Message::Heartbeat(previous, _, _),
        Message::Heartbeat(config, _, _),
    ] = sent
    else {
        return false;
    };
    previous < config && matches!(message, Message::Heartbeat(current, _, _) if current == *config)
}
