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
    Broken,
}

/// A connection; one of HTTP/2 is shared by all requests.
enum Connection {
    One(http1::SendRequest<Full<Bytes>>),
    Two(http2::SendRequest<Full<Bytes>>),
}

type Kept = Option<http1::SendRequest<Full<Bytes>>>;

/// The connection that an answer's body still comes over.
pub struct Lease {
    connection: Kept,
}

/// The caller port of one daemon.
pub struct Door {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is used with HTTP/2.
    pub http2: bool,
    idle: Mutex<Vec<Connection>>,
}

impl Door {
    /// A door without connections.
    pub fn new(address: SocketAddr, http2: bool) -> Self {
        Self {
            address,
            http2,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Opens connections ahead of need; one is enough for HTTP/2.
    pub async fn fill(&self, count: usize) -> anyhow::Result<()> {
        let count = if self.http2 { 1 } else { count };
        for _ in 0..count {
            let connection = self.open().await?;
            self.idle().push(connection);
        }
        Ok(())
    }

    /// Sends a request; the lease goes back with [`Door::give_back`] after the body's end.
    pub async fn send(&self, mut call: Call) -> Result<(Response<Incoming>, Lease), Failure> {
        loop {
            let (connection, was_kept) = match self.take().await {
                Some(connection) => (connection, true),
                None => match self.open().await {
                    Ok(connection) => (connection, false),
                    Err(_) => return Err(Failure::NotSent(Box::new(call))),
                },
            };
            let (sent, connection) = exchange(connection, call).await;
            match sent {
                Ok(response) => return Ok((response, Lease { connection })),
                // The daemon closed a kept connection before anything was sent.
                Err(Failure::NotSent(unsent)) if was_kept => call = *unsent,
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Takes a connection back whose answer was read to its end.
    pub fn give_back(&self, lease: Lease) {
        if let Some(connection) = lease.connection {
            self.idle().push(Connection::One(connection));
        }
    }

    async fn take(&self) -> Option<Connection> {
        if self.http2 {
            let mut idle = self.idle();
            idle.retain(|connection| !connection.is_closed());
            return idle.first().and_then(Connection::share);
        }
        loop {
            let connection = self.idle().pop()?;
            let Connection::One(mut connection) = connection else {
                return Some(connection);
            };
            if connection.ready().await.is_ok() {
                return Some(Connection::One(connection));
            }
        }
    }

    async fn open(&self) -> anyhow::Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        if self.http2 {
            let (connection, driver) = http2::handshake(TokioExecutor::new(), io).await?;
            tokio::spawn(driver);
            self.idle().push(Connection::Two(connection.clone()));
            return Ok(Connection::Two(connection));
        }
        let (connection, driver) = http1::handshake(io).await?;
        tokio::spawn(driver);
        Ok(Connection::One(connection))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    fn is_closed(&self) -> bool {
        match self {
            Self::One(connection) => connection.is_closed(),
            Self::Two(connection) => connection.is_closed(),
        }
    }

    fn share(&self) -> Option<Self> {
        match self {
            Self::One(_) => None,
            Self::Two(connection) => Some(Self::Two(connection.clone())),
        }
    }
}

async fn exchange(
    connection: Connection,
    call: Call,
) -> (Result<Response<Incoming>, Failure>, Kept) {
    match connection {
        Connection::One(mut connection) => {
            let sent = connection.try_send_request(call).await;
            (sent.map_err(failure), Some(connection))
        }
        Connection::Two(mut connection) => {
            let sent = connection.try_send_request(call).await;
            (sent.map_err(failure), None)
        }
    }
}

fn failure(mut error: TrySendError<Call>) -> Failure {
    match error.take_message() {
        Some(unsent) => Failure::NotSent(Box::new(unsent)),
        None => Failure::Broken,
    }
}
