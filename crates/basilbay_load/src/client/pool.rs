//! Connection pool for one address: the caller port of a daemon, or a target.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1, http2};
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

/// Request with a complete body.
pub type Call = Request<Full<Bytes>>;

/// Reason for a missing response.
#[derive(Debug)]
pub enum Failure {
    /// Nothing of the request was sent; it is handed back.
    NotSent(Box<Call>),
    /// The connection failed after at least a part of the request was sent.
    Interrupted,
}

/// Client connection; an HTTP/2 connection is shared by all requests.
enum Connection {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

/// HTTP/1.1 connection to return to the pool; `None` for HTTP/2.
type Reusable = Option<http1::SendRequest<Full<Bytes>>>;

/// Connection over which a response body is still being received.
pub struct Lease {
    connection: Reusable,
}

/// Pool of connections to one address.
pub struct Pool {
    /// Remote address.
    pub address: SocketAddr,
    /// Whether connections use HTTP/2 instead of HTTP/1.1.
    pub http2: bool,
    /// Connections ready for a request; with HTTP/2 those that all requests share.
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, http2: bool) -> Self {
        Self {
            address,
            http2,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Opens connections in advance; HTTP/2 needs only one.
    pub async fn preconnect(&self, count: usize) -> anyhow::Result<()> {
        let count = if self.http2 { 1 } else { count };
        for _ in 0..count {
            let connection = self.connect().await?;
            self.idle().push(connection);
        }
        Ok(())
    }

    /// Sends a request; the lease is returned with [`Pool::release`] after the end of the body.
    pub async fn send(&self, mut call: Call) -> Result<(Response<Incoming>, Lease), Failure> {
        loop {
            let (connection, was_idle) = match self.acquire().await {
                Some(connection) => (connection, true),
                None => match self.connect().await {
                    Ok(connection) => (connection, false),
                    Err(_) => return Err(Failure::NotSent(Box::new(call))),
                },
            };
            let (sent, connection) = exchange(connection, call).await;
            match sent {
                Ok(response) => return Ok((response, Lease { connection })),
                // The peer closed an idle connection before anything was sent: try another one.
                Err(Failure::NotSent(unsent)) if was_idle => call = *unsent,
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Returns a connection whose response was read completely.
    pub fn release(&self, lease: Lease) {
        if let Some(connection) = lease.connection {
            self.idle().push(Connection::Http1(connection));
        }
    }

    async fn acquire(&self) -> Option<Connection> {
        if self.http2 {
            let mut idle = self.idle();
            idle.retain(|connection| !connection.is_closed());
            return idle.first().and_then(Connection::try_clone);
        }
        loop {
            let connection = self.idle().pop()?;
            let Connection::Http1(mut connection) = connection else {
                return Some(connection);
            };
            if connection.ready().await.is_ok() {
                return Some(Connection::Http1(connection));
            }
        }
    }

    async fn connect(&self) -> anyhow::Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        if self.http2 {
            let (connection, driver) = http2::handshake(TokioExecutor::new(), io).await?;
            tokio::spawn(driver);
            self.idle().push(Connection::Http2(connection.clone()));
            return Ok(Connection::Http2(connection));
        }
        let (connection, driver) = http1::handshake(io).await?;
        tokio::spawn(driver);
        Ok(Connection::Http1(connection))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    fn is_closed(&self) -> bool {
        match self {
            Self::Http1(connection) => connection.is_closed(),
            Self::Http2(connection) => connection.is_closed(),
        }
    }

    fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Http1(_) => None,
            Self::Http2(connection) => Some(Self::Http2(connection.clone())),
        }
    }
}

async fn exchange(
    connection: Connection,
    call: Call,
) -> (Result<Response<Incoming>, Failure>, Reusable) {
    match connection {
        Connection::Http1(mut connection) => {
            let sent = connection.try_send_request(call).await;
            (sent.map_err(to_failure), Some(connection))
        }
        Connection::Http2(mut connection) => {
            let sent = connection.try_send_request(call).await;
            (sent.map_err(to_failure), None)
        }
    }
}

fn to_failure(mut error: TrySendError<Call>) -> Failure {
    match error.take_message() {
        Some(unsent) => Failure::NotSent(Box::new(unsent)),
        None => Failure::Interrupted,
    }
}
