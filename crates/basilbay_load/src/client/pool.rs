//! Kept connections to the caller port of one daemon.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1, http2};
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

/// A request of a caller.
pub type Call = Request<Full<Bytes>>;

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing of the request was sent; it comes back.
    NotSent(Box<Call>),
    /// It was sent at least in part.
    Interrupted,
}

/// A connection; one of HTTP/2 is shared by all requests.
enum Connection {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

type Reusable = Option<http1::SendRequest<Full<Bytes>>>;

/// The connection that an answer's body still comes over.
pub struct Lease {
    connection: Reusable,
}

/// The caller port of one daemon.
pub struct Pool {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is used with HTTP/2.
    pub http2: bool,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// A door without connections.
    pub fn new(address: SocketAddr, http2: bool) -> Self {
        Self {
            address,
            http2,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Opens connections ahead of need; one is enough for HTTP/2.
    pub async fn preconnect(&self, count: usize) -> anyhow::Result<()> {
        let count = if self.http2 { 1 } else { count };
        for _ in 0..count {
            let connection = self.connect().await?;
            self.idle().push(connection);
        }
        Ok(())
    }

    /// Sends a request; the lease goes back with [`Pool::release`] after the body's end.
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
                // The daemon closed a kept connection before anything was sent.
                Err(Failure::NotSent(unsent)) if was_idle => call = *unsent,
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Takes a connection back whose answer was read to its end.
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
            (sent.map_err(failure), Some(connection))
        }
        Connection::Http2(mut connection) => {
            let sent = connection.try_send_request(call).await;
            (sent.map_err(failure), None)
        }
    }
}

fn failure(mut error: TrySendError<Call>) -> Failure {
    match error.take_message() {
        Some(unsent) => Failure::NotSent(Box::new(unsent)),
        None => Failure::Interrupted,
    }
}
