//! An instance on the list that only listens and notes what daemons say in datagrams.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilbay_fakes::platform::list::Entry;
use basilbay_model::roster;
use basilbay_wire::datagram::{Body, Datagram};
use basilbay_wire::frame::{self, MAX_DATAGRAM_BYTES};
use basilbay_wire::load::State;
use tokio::net::UdpSocket;

/// Time after which something that must be said counts as missing.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What a daemon said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// Its versions and what it does with new work.
    Beat(u64, u64, State),
    /// That its target leaves.
    Leaving,
}

type Said = Vec<(String, Vec<Word>)>;

/// The listener.
pub(crate) struct Tap {
    address: SocketAddr,
    said: Arc<Mutex<Said>>,
}

impl Tap {
    /// Listens on a free port for as long as the runtime lives.
    pub(crate) async fn start() -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let socket = socket.expect("a free port");
        let address = socket.local_addr().expect("it is bound");
        let said = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(listen(socket, said.clone()));
        Self { address, said }
    }

    /// Its place on the list: a failure domain and a service of its own.
    pub(crate) fn entry(&self) -> Entry {
        Entry {
            id: Arc::from("tap"),
            service: Arc::from("tap"),
            domain: Arc::from("d-tap"),
            region: Arc::from(""),
            peer: self.address,
            admin: self.address,
            listen: self.address,
            state: roster::State::Live,
            listed_ago_ms: 0,
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&self) {
        lock(&self.said).clear();
    }

    /// Waits until a word is the last one of each of these daemons.
    pub(crate) async fn until(&self, ids: &[&str], word: Word) {
        let start = Instant::now();
        while !ids.iter().all(|id| self.last(id) == Some(word)) {
            let said = lock(&self.said).clone();
            assert!(
                start.elapsed() < PATIENCE,
                "not {word:?} of {ids:?}: {said:?}"
            );
            tokio::time::sleep(LOOK).await;
        }
    }

    /// What a daemon said, in order.
    pub(crate) fn said(&self, id: &str) -> Vec<Word> {
        let said = lock(&self.said);
        let own = said.iter().find(|(origin, _)| origin == id);
        own.map(|(_, words)| words.clone()).unwrap_or_default()
    }

    fn last(&self, id: &str) -> Option<Word> {
        self.said(id).last().copied()
    }
}

fn lock(said: &Mutex<Said>) -> MutexGuard<'_, Said> {
    said.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn listen(socket: UdpSocket, said: Arc<Mutex<Said>>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let datagram = frame::decode::<Datagram>(&buffer[..length], MAX_DATAGRAM_BYTES);
        let datagram = datagram.expect("daemons send sound datagrams");
        let word = match datagram.body {
            Body::Heartbeat { beat, .. } => {
                Word::Beat(beat.config_version, beat.roster_version, beat.state)
            }
            Body::Leaving => Word::Leaving,
            Body::Load(_) | Body::Suspicions(_) => continue,
        };
        note(&mut lock(&said), &datagram.origin, word);
    }
}

/// Notes a word that differs from the last one.
///
/// A beat that says a new version at once may carry the state from before it, and the next one
/// replaces it. The word of leaving is said three times. A busy machine makes daemons pause; beats that say so are left out.
fn note(said: &mut Said, id: &str, word: Word) {
    if matches!(word, Word::Beat(_, _, State::Unconfirmed)) {
        return;
    }
    let index = said.iter().position(|(origin, _)| origin == id);
    let index = index.unwrap_or_else(|| {
        said.push((id.to_owned(), Vec::new()));
        said.len() - 1
    });
    let words = &mut said[index].1;
    if is_replaced(words, word) {
        words.pop();
    }
    let is_repeated = word == Word::Leaving && words.contains(&word);
    if words.last() != Some(&word) && !is_repeated {
        words.push(word);
    }
}

/// Whether the last word said a new version first and this one says the state for it.
fn is_replaced(words: &[Word], word: Word) -> bool {
    let [.., Word::Beat(before, _, _), Word::Beat(config, _, _)] = words else {
        return false;
    };
    before < config && matches!(word, Word::Beat(said, _, _) if said == *config)
}
