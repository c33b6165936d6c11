//! Accepts connections of callers and of other daemons.
//!
//! Connections of callers go to [`pipeline`] if they speak HTTP/1 and to hyper if they start with
//! the HTTP/2 preface; connections of other daemons always go to hyper.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::call::Caller;
use crate::daemon::Daemon;
use crate::{entry, hop, pipeline};

/// Time limit for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of the headers that hyper reads. The configured limit is smaller, so that a request
/// beyond it receives a problem response of the daemon and not hyper's bare error.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of headers that the HTTP parsers accept; they reject a request with more.
pub const MAX_PARSED_HEADERS: usize = 256;

/// Delay after a failed `accept`, such as when the process has no free file descriptors.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time between two checks of a connection whose first bytes are an incomplete preface.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after the stop for which a connection may still send its first request; callers connect when
/// they have one, so it is on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);

/// First bytes of an HTTP/2 connection with prior knowledge.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Bytes of a request body that another daemon may send before the request is admitted. A body is read
/// only then, so a refused upload costs the link no more than this, at each target that refuses it.
const UNADMITTED_BODY_BYTES: u32 = 16 * 1024;

/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1024;

/// The listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Listener for callers.
    Callers,
    /// Listener for other daemons.
    Peers,
}

/// Accepts connections until the daemon stops, then waits for running requests until the drain
/// deadline.
pub async fn accept(daemon: Arc<Daemon>, listener: TcpListener, side: Side) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = daemon.stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, address)) => serve(&daemon, stream, side, address.ip(), &graceful),
            Err(error) => {
                tracing::warn!(
                    %error,
                    ?side,
                    "failed to accept a connection; retrying in {ACCEPT_RETRY_DELAY:?}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections that the system has accepted may have sent a request already.
    while let Some(Ok((stream, address))) = listener.accept().now_or_never() {
        serve(&daemon, stream, side, address.ip(), &graceful);
    }
    drop(listener);
    let deadline = daemon.drain_deadline();
    if tokio::time::timeout_at(deadline.into(), graceful.shutdown())
        .await
        .is_err()
    {
        tracing::warn!(
            ?side,
            "closing connections that were still open at the drain deadline"
        );
    }
}

fn serve(
    daemon: &Arc<Daemon>,
    stream: TcpStream,
    side: Side,
    client: IpAddr,
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
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(READ_BUFFER_BYTES as u32);
    if side == Side::Peers {
        builder
            .http2()
            .initial_stream_window_size(UNADMITTED_BODY_BYTES);
    }
    let daemon = daemon.clone();
    let caller = Caller {
        address: client,
        connection: daemon.next_connection_id(),
    };
    // The accepting task waits until all watchers are dropped.
    let watcher = graceful.watcher();
    tokio::spawn(async move {
        if side == Side::Peers {
            serve_with_hyper(&daemon, stream, side, caller, &builder).await;
        } else if let Some((stream, is_http2)) = first_bytes(&daemon, stream).await {
            if is_http2 {
                serve_with_hyper(&daemon, stream, side, caller, &builder).await;
            } else {
                pipeline::serve(daemon, stream, caller).await;
            }
        }
        drop(watcher);
    });
}

/// Serves a connection until one side closes it. After the stop, the first request is still awaited for
/// [`FIRST_REQUEST_GRACE`]: hyper closes a connection whose preface it has not read yet.
async fn serve_with_hyper(
    daemon: &Arc<Daemon>,
    stream: TcpStream,
    side: Side,
    caller: Caller,
    builder: &Builder<TokioExecutor>,
) {
    let is_requested = CancellationToken::new();
    let service = service_fn(|request| {
        is_requested.cancel();
        handle(daemon.clone(), side, caller, request)
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let stopped = async {
        daemon.stop.cancelled().await;
        let first_request = is_requested.cancelled();
        let _ = tokio::time::timeout(FIRST_REQUEST_GRACE, first_request).await;
    };
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(error, ?side, "connection of {} failed", caller.address);
    }
}

/// Waits for the first bytes of a connection, and returns whether it starts with the HTTP/2 preface;
/// `None` if there are none some time after the stop.
async fn first_bytes(daemon: &Daemon, mut stream: TcpStream) -> Option<(TcpStream, bool)> {
    let is_http2 = tokio::select! {
        biased;
        is_http2 = begins_as_http2(&stream) => Some(is_http2),
        () = stopped_without_request(daemon) => None,
    };
    if let Some(is_http2) = is_http2 {
        return Some((stream, is_http2));
    }
    // The runtime may not have noticed bytes that have arrived, which the system knows.
    let socket = stream.into_std().ok()?;
    if !matches!(socket.peek(&mut [0]), Ok(count) if count > 0) {
        return None;
    }
    stream = TcpStream::from_std(socket).ok()?;
    let is_http2 = tokio::time::timeout(FIRST_REQUEST_GRACE, begins_as_http2(&stream)).await;
    Some((stream, is_http2.ok()?))
}

/// Waits until the daemon has stopped and a new connection had time to send its first request.
async fn stopped_without_request(daemon: &Daemon) {
    daemon.stop.cancelled().await;
    tokio::time::sleep(FIRST_REQUEST_GRACE).await;
}

/// Whether a connection starts with the HTTP/2 preface.
async fn begins_as_http2(stream: &TcpStream) -> bool {
    let mut first = [0; HTTP2_PREFACE.len()];
    loop {
        match stream.peek(&mut first).await {
            Ok(count) if count < first.len() && count > 0 => {
                if !HTTP2_PREFACE.starts_with(&first[..count]) {
                    return false;
                }
                // The rest of the preface has not arrived yet.
                tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
            }
            Ok(_) => return first == HTTP2_PREFACE,
            Err(_) => return false,
        }
    }
}

async fn handle(
    daemon: Arc<Daemon>,
    side: Side,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let response = match side {
        Side::Callers => entry::serve(&daemon, request, caller).await,
        Side::Peers => hop::serve(&daemon, request).await,
    };
    Ok(response)
}
