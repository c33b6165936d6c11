//! Links to other daemons: one persistent HTTP/2 connection per peer.
//!
//! A link connects on first use and again after its connection has closed. Keep-alive pings detect a
//! peer that vanished without closing the connection. A request that must not be repeated is sent only
//! if the peer has answered a moment ago; see [`basilbay_routing::liveness`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;

use basilbay_model::id::InstanceId;
use basilbay_routing::liveness::{Check, Liveness};
use basilbay_wire::control::PING_PATH;

use crate::body::{self, Body};
use crate::pool::Failure;

/// Result of connecting to a daemon.
pub type Result<T> = anyhow::Result<T>;

/// Time after which a daemon that has not accepted the connection counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval of HTTP/2 keep-alive pings while requests are in flight.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Time without an acknowledgement after which the other daemon counts as lost, and all requests on
/// the connection with it. A daemon that has no processor for a while, or whose link is full, still
/// works on its requests, most of which must not be sent again.
const PING_TIMEOUT: Duration = Duration::from_millis(1600);

/// Time limit for the answer to a ping that a request waits for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without a response after which a request that may be sent again has its peer pinged; most
/// responses take less.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for the answer to that ping. It is longer than [`ANSWER_TIMEOUT`], because the request
/// may be running and another run takes room from others.
const WATCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Flow-control window of a stream. Responses are small, and a slow reader blocks no more than this.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of the whole connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// What may be done with a request whose peer does not answer a ping.
#[derive(Clone, Copy)]
pub enum Repeat<'a> {
    /// It must not be sent again, so its response is awaited.
    Never,
    /// It may be sent again. Its response is awaited until the function tells that it can be run
    /// elsewhere: the peer may be busy and still work on it.
    Elsewhere(&'a (dyn Fn() -> bool + Sync)),
}

/// The connection to one other daemon.
#[derive(Debug)]
pub struct Link {
    peer: InstanceId,
    address: SocketAddr,
    sender: tokio::sync::Mutex<Option<SendRequest<Body>>>,
    liveness: Mutex<Liveness>,
}

impl Link {
    fn new(peer: &InstanceId, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            peer: peer.clone(),
            address,
            sender: tokio::sync::Mutex::new(None),
            liveness: Mutex::default(),
        })
    }

    /// Sends a request; `repeat` tells what may be done with it if the peer is gone. If the open
    /// connection turns out to be closed before the request was written, the request is sent on a new
    /// connection.
    pub async fn send(
        &self,
        mut request: Request<Body>,
        repeat: Repeat<'_>,
    ) -> std::result::Result<Response<Incoming>, Failure> {
        let is_repeatable = matches!(repeat, Repeat::Elsewhere(_));
        loop {
            let (mut sender, is_reused) = self.sender().await.map_err(Failure::NotSent)?;
            let check = self.liveness().check(is_repeatable, Instant::now());
            match check {
                Check::Send => {}
                Check::Ping => {
                    let answer = self.ping(sender.clone(), ANSWER_TIMEOUT);
                    answer.await.map_err(Failure::NotSent)?;
                }
                Check::Avoid => {
                    let error = anyhow::anyhow!("{} did not answer a ping", self.peer);
                    return Err(Failure::NotSent(error));
                }
            }
            let pings = sender.clone();
            let answered = tokio::select! {
                biased;
                answered = sender.try_send_request(request) => answered,
                error = self.watch(pings, repeat) => return Err(Failure::Interrupted(error)),
            };
            match answered {
                Ok(response) => {
                    self.liveness().record_answer(Instant::now());
                    return Ok(response);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(Failure::NotSent(error.into_error().into())),
                    None => return Err(Failure::Interrupted(error.into_error().into())),
                },
            }
        }
    }

    /// Waits for the answer to a ping. A request that is sent later on the same connection would wait
    /// as long, so a late answer means that the peer is too busy for it.
    async fn ping(&self, mut sender: SendRequest<Body>, timeout: Duration) -> Result<()> {
        let uri = format!("http://{}{PING_PATH}", self.address);
        let request = Request::get(uri).body(body::empty())?;
        let answer = sender.send_request(request);
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(_)) => {
                self.liveness().record_answer(Instant::now());
                Ok(())
            }
            Ok(Err(error)) => Err(error).context("the connection failed during a ping"),
            Err(_) => {
                self.liveness().record_silence(Instant::now());
                let peer = &self.peer;
                anyhow::bail!("{peer} did not answer a ping within {timeout:?}")
            }
        }
    }

    /// Waits until the peer proves to be unreachable while a request waits for its response, and the
    /// request can be run elsewhere.
    async fn watch(&self, sender: SendRequest<Body>, repeat: Repeat<'_>) -> anyhow::Error {
        let Repeat::Elsewhere(can_run) = repeat else {
            return std::future::pending().await;
        };
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            let check = self.liveness().check(false, Instant::now());
            if check == Check::Send {
                continue;
            }
            let ping = self.ping(sender.clone(), WATCH_TIMEOUT).await;
            if let Err(error) = ping
                && can_run()
            {
                return error;
            }
        }
    }

    fn liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects unless a connection is open.
    pub async fn open(&self) -> Result<()> {
        self.sender().await.map(|_| ())
    }

    async fn sender(&self) -> Result<(SendRequest<Body>, bool)> {
        let mut cached = self.sender.lock().await;
        if let Some(sender) = cached.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok((sender.clone(), true));
        }
        let sender = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.address))
            .await
            .with_context(|| {
                format!(
                    "daemon of {} did not accept a connection within {CONNECT_TIMEOUT:?}",
                    self.peer
                )
            })??;
        *cached = Some(sender.clone());
        self.liveness().record_answer(Instant::now());
        Ok((sender, false))
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("cannot connect to daemon at {address}"))?;
    stream.set_nodelay(true)?;
    let (sender, driver) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        // The requests in flight receive the error if the connection breaks, so it is ignored here.
        let _ = driver.await;
    });
    Ok(sender)
}

/// The links of a daemon to its peers.
#[derive(Debug, Default)]
pub struct Links {
    /// Sorted by peer.
    links: Mutex<Vec<Arc<Link>>>,
}

impl Links {
    /// Returns the link to a peer; creates it if there is none or if the address changed. It connects
    /// with the first request.
    pub fn get(&self, peer: &InstanceId, address: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        match links.binary_search_by(|link| link.peer.cmp(peer)) {
            Ok(index) => {
                if links[index].address != address {
                    links[index] = Link::new(peer, address);
                }
                links[index].clone()
            }
            Err(index) => {
                let link = Link::new(peer, address);
                links.insert(index, link.clone());
                link
            }
        }
    }

    /// Drops the links to peers for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|link| keep(&link.peer));
    }
}
