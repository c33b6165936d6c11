//! Connection pool for the local target.
//!
//! A connection carries one request at a time (HTTP/1.1). The pool opens connections in advance, so
//! that requests do not wait for the TCP handshake. A request whose caller disconnects closes its
//! connection, which tells the target that the request was cancelled.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::Context;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body::Body;

/// Result of opening a connection.
pub type Result<T> = anyhow::Result<T>;

/// Number of idle connections that the pool keeps open.
const MIN_IDLE: usize = 2;

/// A connection to the target.
pub type Connection = SendRequest<Body>;

/// Why a request got no response.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was written.
    NotSent(anyhow::Error),
    /// The connection failed after at least part of the request was written.
    Interrupted(anyhow::Error),
}

/// The connections to one target.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    max_connections: AtomicUsize,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Creates a pool without connections, which opens at most `max_connections`.
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            address,
            max_connections: AtomicUsize::new(max_connections),
            open: Arc::new(AtomicUsize::new(0)),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sets the maximum number of connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections
            .store(max_connections, Ordering::Relaxed);
    }

    /// Number of open connections, idle or in use.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request. The caller returns the connection with [`Pool::release`] once it has read the
    /// response.
    pub async fn send(
        &self,
        mut request: Request<Body>,
    ) -> std::result::Result<(Response<Incoming>, Connection), Failure> {
        loop {
            let (mut connection, is_reused) = match self.take_idle() {
                Some(connection) => (connection, true),
                None => (self.connect().await.map_err(Failure::NotSent)?, false),
            };
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The target had closed the idle connection before a byte was written.
                    Some(unsent) if is_reused => request = unsent,
                    Some(_) => return Err(Failure::NotSent(error.into_error().into())),
                    None => return Err(Failure::Interrupted(error.into_error().into())),
                },
            }
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    ///
    /// A target may respond before it has read the whole request. Such a connection is idle only once
    /// the rest of the request is written.
    pub fn release(self: &Arc<Self>, mut connection: Connection) {
        if connection.is_ready() || connection.is_closed() {
            self.lock().push(connection);
            return;
        }
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.ready().await.is_ok() {
                pool.lock().push(connection);
            }
        });
    }

    /// Drops all idle connections, after the target went down.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Drops idle connections that the target closed, then opens connections until enough are idle
    /// or the maximum is reached.
    pub async fn fill(&self) -> Result<()> {
        self.lock().retain(|connection| !connection.is_closed());
        while self.lock().len() < MIN_IDLE
            && self.open_count() < self.max_connections.load(Ordering::Relaxed)
        {
            let mut connection = self.connect().await?;
            connection.ready().await?;
            self.lock().push(connection);
        }
        Ok(())
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        loop {
            let connection = idle.pop()?;
            if connection.is_ready() {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<Connection> {
        let max_connections = self.max_connections.load(Ordering::Relaxed);
        anyhow::ensure!(
            self.open_count() < max_connections,
            "all {max_connections} connections to the target are in use"
        );
        let stream = TcpStream::connect(self.address)
            .await
            .with_context(|| format!("cannot connect to target at {}", self.address))?;
        stream.set_nodelay(true)?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await?;
        let open = self.open.clone();
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            // The request in flight receives the error if the connection breaks, so it is ignored here.
            let _ = driver.await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
        Ok(connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
