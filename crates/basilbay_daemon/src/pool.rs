//! Kept connections to the own target.
//!
//! A connection carries one request at a time (HTTP/1.1). Connections are opened ahead of need,
//! so that no request pays for the opening; a request whose caller goes away closes its
//! connection, which is how the target learns of the cancellation.

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

/// Idle connections that are kept ready.
const MIN_IDLE: usize = 2;

/// A connection to the target.
pub type Connection = SendRequest<Body>;

/// Why a request got no answer.
#[derive(Debug)]
pub enum Failure {
    /// No byte of it was written.
    NotSent(anyhow::Error),
    /// It was written at least in part.
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
    /// A pool without connections.
    pub fn new(address: SocketAddr, max_connections: usize) -> Self {
        Self {
            address,
            max_connections: AtomicUsize::new(max_connections),
            open: Arc::new(AtomicUsize::new(0)),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Changes how many connections the target accepts.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections
            .store(max_connections, Ordering::Relaxed);
    }

    /// Connections that are open.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request; the connection comes back through [`Pool::release`] after the answer's end.
    pub async fn send(
        &self,
        mut request: Request<Body>,
    ) -> std::result::Result<(Response<Incoming>, Connection), Failure> {
        loop {
            let (mut connection, was_kept) = match self.take().await {
                Some(connection) => (connection, true),
                None => (self.connect().await.map_err(Failure::NotSent)?, false),
            };
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The target had closed a kept connection before a byte was written.
                    Some(unsent) if was_kept => request = unsent,
                    Some(_) => return Err(Failure::NotSent(error.into_error().into())),
                    None => return Err(Failure::Interrupted(error.into_error().into())),
                },
            }
        }
    }

    /// Takes back a connection whose answer was read to its end.
    pub fn release(&self, connection: Connection) {
        self.lock().push(connection);
    }

    /// Drops the kept connections, after the target went away.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Opens connections until enough are idle; those that the target closed do not count.
    pub async fn fill(&self) -> Result<()> {
        self.lock().retain(|connection| !connection.is_closed());
        while self.lock().len() < MIN_IDLE
            && self.open_count() < self.max_connections.load(Ordering::Relaxed)
        {
            let connection = self.connect().await?;
            self.release(connection);
        }
        Ok(())
    }

    async fn take(&self) -> Option<Connection> {
        loop {
            let mut connection = self.lock().pop()?;
            if connection.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<Connection> {
        let max_connections = self.max_connections.load(Ordering::Relaxed);
        anyhow::ensure!(
            self.open_count() < max_connections,
            "all {max_connections} connections are in use"
        );
        let stream = TcpStream::connect(self.address)
            .await
            .with_context(|| format!("target {} refuses connections", self.address))?;
        stream.set_nodelay(true)?;
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await?;
        let open = self.open.clone();
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            // The error of a broken connection reaches the request that was on it.
            let _ = driver.await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
        Ok(connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
