//! Links to other daemons: one HTTP/2 connection each, cached open.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;

use basilbay_model::id::InstanceId;

use crate::body::Body;
use crate::pool::Failure;

/// Result of opening a link.
pub type Result<T> = anyhow::Result<T>;

/// Time after which a daemon that does not accept a connection counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval of pings while requests are on a link, and the wait for their answer. A daemon that is
/// gone without a word is noticed within two of them; one that is starved of processor time answers
/// within one.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Bytes in flight on a stream; answers are small, and a slow reader holds no more than this.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes in flight on a link.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// The way to one other daemon.
#[derive(Debug)]
pub struct Link {
    peer: InstanceId,
    address: SocketAddr,
    sender: tokio::sync::Mutex<Option<SendRequest<Body>>>,
}

impl Link {
    fn new(peer: &InstanceId, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            peer: peer.clone(),
            address,
            sender: tokio::sync::Mutex::new(None),
        })
    }

    /// Sends a request.
    pub async fn send(
        &self,
        mut request: Request<Body>,
    ) -> std::result::Result<Response<Incoming>, Failure> {
        loop {
            let (mut sender, is_reused) = self.sender().await.map_err(Failure::NotSent)?;
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(Failure::NotSent(error.into_error().into())),
                    None => return Err(Failure::Interrupted(error.into_error().into())),
                },
            }
        }
    }

    /// Opens the link if it is not open.
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
            .with_context(|| format!("daemon of {} does not accept connections", self.peer))??;
        *cached = Some(sender.clone());
        Ok((sender, false))
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("daemon at {address} refuses connections"))?;
    stream.set_nodelay(true)?;
    let (sender, driver) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        // The error of a broken link reaches the requests that were on it.
        let _ = driver.await;
    });
    Ok(sender)
}

/// The links of a daemon, sorted by peer.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<Vec<Arc<Link>>>,
}

impl Links {
    /// Finds or makes the link to a peer at an address; it is opened with the first request.
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

    /// Drops the links to peers that are gone.
    pub fn retain(&self, stays: impl Fn(&InstanceId) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|link| stays(&link.peer));
    }
}
