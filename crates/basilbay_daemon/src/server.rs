//! Accepts connections of callers and of other daemons.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};

use crate::body::Body;
use crate::daemon::Daemon;
use crate::{entry, hop, pipeline};

/// Time that a caller has to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of headers that the library reads; our own, smaller limit gives the better answer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Headers that the library reads before it refuses by itself.
pub const MAX_PARSED_HEADERS: usize = 256;

/// Pause after a connection could not be accepted, as when descriptors have run out.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time between two looks at a preface that came in parts.
const PREFACE_PAUSE: Duration = Duration::from_millis(5);

/// What a connection of HTTP/2 with prior knowledge begins with.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Requests that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1024;

/// Who connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Callers.
    Callers,
    /// Other daemons.
    Peers,
}

/// Serves connections until the daemon stops, then lets running requests finish.
pub async fn accept(daemon: Arc<Daemon>, listener: TcpListener, side: Side) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = daemon.stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, from)) => serve(&daemon, stream, side, from.ip(), &graceful),
            Err(error) => {
                tracing::warn!(%error, ?side, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    let until = daemon.stop_deadline();
    if tokio::time::timeout_at(until.into(), graceful.shutdown())
        .await
        .is_err()
    {
        tracing::warn!(
            ?side,
            "connections were still open when the time to stop was over"
        );
    }
}

fn serve(
    daemon: &Arc<Daemon>,
    stream: TcpStream,
    side: Side,
    from: IpAddr,
    graceful: &GracefulShutdown,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_PARSED_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(READ_BUFFER_BYTES as u32);
    let daemon = daemon.clone();
    if side == Side::Callers {
        let watcher = graceful.watcher();
        tokio::spawn(async move {
            let is_http2 = tokio::select! {
                is_http2 = begins_as_http2(&stream) => is_http2,
                // Nothing was asked for yet.
                () = daemon.stop.cancelled() => return,
            };
            if is_http2 {
                let service =
                    service_fn(move |request| handle(daemon.clone(), side, from, request));
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                if let Err(error) = watcher.watch(connection.into_owned()).await {
                    tracing::debug!(error, "connection ended");
                }
                return;
            }
            pipeline::serve(daemon, stream, from).await;
            drop(watcher);
        });
        return;
    }
    let service = service_fn(move |request| handle(daemon.clone(), side, from, request));
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(error, "connection ended");
        }
    });
}

/// Whether the first bytes of a connection are the preface of HTTP/2.
async fn begins_as_http2(stream: &TcpStream) -> bool {
    let mut first = [0; HTTP2_PREFACE.len()];
    loop {
        match stream.peek(&mut first).await {
            Ok(count) if count < first.len() && count > 0 => {
                if !HTTP2_PREFACE.starts_with(&first[..count]) {
                    return false;
                }
                // The rest of the preface is on its way.
                tokio::time::sleep(PREFACE_PAUSE).await;
            }
            Ok(_) => return first == HTTP2_PREFACE,
            Err(_) => return false,
        }
    }
}

async fn handle(
    daemon: Arc<Daemon>,
    side: Side,
    from: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let response = match side {
        Side::Callers => entry::serve(&daemon, request, from).await,
        Side::Peers => hop::serve(&daemon, request).await,
    };
    Ok(response)
}
