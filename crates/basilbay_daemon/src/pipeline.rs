//! HTTP/1 connections of callers, with pipelining.
//!
//! A caller may send further requests before it has received the first response. hyper serves the
//! requests of a connection one after the other and does not notice that the caller disconnected while
//! bytes of the next request are buffered. This module therefore splits the byte stream into requests
//! and gives each one to hyper on an in-memory connection of its own; the responses are written in the
//! order of the requests. A caller that closes its connection cancels all of them at once.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use futures::FutureExt;
use http::Request;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, Interest, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_events::metrics;
use basilbay_wire::problem::{Cause, Problem};

use crate::call::Caller;
use crate::daemon::Daemon;
use crate::framing::{self, Decoder};
use crate::{entry, response};

/// Buffer size of an in-memory connection.
const PIPE_BYTES: usize = 64 * 1024;

/// Bytes of a response that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// Maximum number of requests of one connection in flight; further ones wait in its buffer.
const MAX_PIPELINED: usize = 16;

/// Buffered request bytes of one connection above which reading from the caller pauses.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;

/// Time for which a closing connection is still read: closing a socket with unread data resets it, and
/// the caller could lose the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks whether the caller has closed a connection that stays unread.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for the rest of request headers that had arrived in part when the daemon stopped.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that hyper serves on an in-memory connection.
struct Pending {
    /// Side of the in-memory connection that yields the response.
    response: ReadHalf<DuplexStream>,
    /// Serves the request; returns whether the response was written completely.
    task: AbortOnDropHandle<bool>,
}

/// The request whose body is still being received.
struct Upload {
    decoder: Decoder,
    /// Received bytes that are not yet written to the in-memory connection.
    unsent: BytesMut,
    /// Side of the in-memory connection that takes the request.
    writer: WriteHalf<DuplexStream>,
}

/// Announcement of the close. The connection decides which request is its last, since it knows which
/// bytes have arrived; the response to that request announces the close.
#[derive(Default)]
struct Closing {
    /// Number of the last request that the connection accepts, from 1; 0 until that is decided.
    last: AtomicU64,
    is_announced: AtomicBool,
}

impl Closing {
    /// Whether the response to a request announces the close.
    fn announce(&self, number: u64) -> bool {
        let is_last = self.last.load(Ordering::Acquire) == number;
        if is_last {
            self.is_announced.store(true, Ordering::Release);
        }
        is_last
    }
}

/// State of one connection of a caller.
struct Connection {
    daemon: Arc<Daemon>,
    caller: Caller,
    /// Received bytes that are not yet assigned to a request.
    buffer: BytesMut,
    /// Requests in flight, in the order of their responses.
    pending: VecDeque<Pending>,
    /// The request whose body is being received; `None` between requests.
    upload: Option<Upload>,
    /// Number of requests started so far.
    started: u64,
    closing: Arc<Closing>,
    /// Whether the connection accepts no further requests and closes after the pending responses.
    is_closing: bool,
    /// Number of bytes that had arrived when the daemon stopped and are not yet assigned to a
    /// request: their requests are still served. `None` while the daemon runs.
    arrived: Option<usize>,
    /// Whether the latest request is of HTTP/1.0, whose responses may end with the connection.
    is_http10: bool,
    /// Framing error in the received bytes; it is reported after all pending responses.
    error: Option<framing::Error>,
}

/// Serves a connection until one side closes it.
pub async fn serve(daemon: Arc<Daemon>, stream: TcpStream, caller: Caller) {
    let (mut reader, mut writer) = stream.into_split();
    let mut connection = Connection {
        daemon: daemon.clone(),
        caller,
        buffer: BytesMut::new(),
        pending: VecDeque::new(),
        upload: None,
        started: 0,
        closing: Arc::default(),
        is_closing: false,
        arrived: None,
        is_http10: false,
        error: None,
    };
    let mut response = BytesMut::with_capacity(READ_BYTES);
    loop {
        if let Err(error) = connection.split_requests().await {
            tracing::info!(fault = ?error, "closing connection: malformed request body");
            connection.abandon_upload();
        }
        if connection.pending.is_empty() {
            if let Some(error) = connection.error {
                refuse(&daemon, &mut writer, framing_problem(error)).await;
                break;
            }
            if connection.is_closing {
                break;
            }
        }
        let limits = daemon.view().config.limits.clone();
        let is_idle = connection.pending.is_empty() && connection.upload.is_none();
        let timeout = match (is_idle, connection.buffer.is_empty()) {
            (true, true) => limits.idle_timeout,
            (true, false) if connection.arrived.is_some() => {
                limits.header_timeout.min(STOP_TIMEOUT)
            }
            (true, false) => limits.header_timeout,
            (false, _) => Duration::MAX,
        };
        let unsent = connection
            .upload
            .as_ref()
            .map_or(0, |upload| upload.unsent.len());
        let may_read = connection.buffer.len() + unsent < MAX_READ_AHEAD_BYTES;
        tokio::select! {
            read = reader.read_buf(&mut connection.buffer), if may_read => {
                // The caller disconnected or closed its sending side: all its requests are cancelled.
                if !matches!(read, Ok(count) if count > 0) {
                    if !connection.pending.is_empty() && daemon.log_limiters.abandoned.try_acquire(Instant::now()) {
                        let requests = connection.pending.len();
                        emit!(catalogue::LEFT_BY_CALLER, requests, connection = caller.connection);
                    }
                    return;
                }
            }
            written = forward_body(&mut connection.upload) => {
                if let Err(error) = written {
                    // A response that ends before the request body does leaves the rest unread.
                    tracing::debug!(%error, "response complete before the request body; discarding the rest of the body");
                    connection.discard_body();
                }
            }
            read = read_response(&mut connection.pending, &mut response) => {
                match read {
                    Ok(0) if !connection.finish_response().await => {
                        connection.drop_pending("incomplete response before them");
                        if connection.is_http10 {
                            // An orderly close would look like the end of the response.
                            reset(&reader);
                            return;
                        }
                        // A reset would discard earlier responses that the caller has not read yet.
                        break;
                    }
                    Ok(0) => {}
                    Ok(_) => {
                        if writer.write_all_buf(&mut response).await.is_err() {
                            connection.drop_pending("the caller does not receive");
                            return;
                        }
                    }
                    Err(_) => {
                        connection.drop_pending("response could not be read");
                        return;
                    }
                }
            }
            () = daemon.stop.cancelled(), if connection.arrived.is_none() => {
                connection.stop(&reader);
            }
            () = tokio::time::sleep(timeout.min(limits.idle_timeout)), if is_idle => {
                if !connection.buffer.is_empty() {
                    let waited = timeout.min(limits.idle_timeout);
                    let detail = format!("the request headers were not complete within {waited:?}");
                    refuse(&daemon, &mut writer, Problem::not_run(Cause::TooSlow, detail)).await;
                }
                break;
            }
        }
    }
    let is_announced = connection.closing.is_announced.load(Ordering::Acquire);
    if connection.arrived.is_some() && !is_announced {
        close_unread(reader, writer, daemon.drain_deadline()).await;
    } else {
        close(reader, writer).await;
    }
}

/// Reads a part of the next response to write; pends while no request is in flight.
async fn read_response(
    pending: &mut VecDeque<Pending>,
    buffer: &mut BytesMut,
) -> std::io::Result<usize> {
    match pending.front_mut() {
        Some(first) => {
            buffer.reserve(READ_BYTES);
            first.response.read_buf(buffer).await
        }
        None => std::future::pending().await,
    }
}

/// Writes a part of the request body to the in-memory connection; pends while there is none.
async fn forward_body(upload: &mut Option<Upload>) -> std::io::Result<()> {
    match upload {
        Some(upload) if !upload.unsent.is_empty() => {
            let written = upload.writer.write(&upload.unsent).await?;
            upload.unsent.advance(written);
            Ok(())
        }
        _ => std::future::pending().await,
    }
}

/// Closes a connection whose caller may just be sending another request. It stays unread, so that the
/// caller knows that it was not run.
async fn close_unread(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    deadline: Instant,
) {
    if writer.shutdown().await.is_err() {
        return;
    }
    let linger_until = Instant::now() + LINGER_TIMEOUT;
    loop {
        let ready = reader.ready(Interest::READABLE).now_or_never();
        if matches!(ready, Some(Ok(ready)) if ready.is_read_closed()) {
            return;
        }
        // Closing a socket with unread bytes resets the connection, and the caller may not have read
        // the last response yet.
        let peeked = reader.peek(&mut [0]).now_or_never();
        let has_unread = matches!(peeked, Some(Ok(count)) if count > 0);
        let until = if has_unread { deadline } else { linger_until };
        if Instant::now() >= until {
            return;
        }
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
}

/// Makes the connection end with a reset.
fn reset(reader: &tokio::net::tcp::OwnedReadHalf) {
    let stream: &TcpStream = reader.as_ref();
    if let Err(error) = stream.set_zero_linger() {
        tracing::debug!(%error, "cannot reset the connection of a caller");
    }
}

/// Closes a connection in such a way that the caller receives everything that was written.
async fn close(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
) {
    if writer.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1024];
    let drained = async { while matches!(reader.read(&mut rest).await, Ok(count) if count > 0) {} };
    // A caller that does not close its side in time gets a reset.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drained).await;
}

fn framing_problem(error: framing::Error) -> Problem {
    match error {
        framing::Error::Malformed => Problem::not_run(
            Cause::BadRequest,
            "the bytes are not a valid HTTP/1 request",
        ),
        framing::Error::HeadersTooLarge => Problem::not_run(
            Cause::HeadersTooLarge,
            "the request headers exceed the size or count limit",
        ),
    }
}

/// Writes a problem response, after which the connection closes.
async fn refuse(daemon: &Daemon, writer: &mut tokio::net::tcp::OwnedWriteHalf, problem: Problem) {
    tracing::info!(%problem, "refusing a request and closing the connection");
    let bytes = response::encode_problem(&problem, &daemon.settings.id, &daemon.dialect);
    if let Err(error) = writer.write_all(&bytes).await {
        tracing::debug!(%error, "caller disconnected before it received the refusal");
    }
}

impl Connection {
    /// Assigns the received bytes to requests and starts those whose head is complete. An error means
    /// that a request body is malformed, which ends the connection.
    async fn split_requests(&mut self) -> std::result::Result<(), framing::Error> {
        loop {
            if let Some(upload) = &mut self.upload {
                let taken = upload.decoder.decode(&self.buffer)?;
                let bytes = self.buffer.split_to(taken);
                upload.unsent.unsplit(bytes);
                if let Some(arrived) = &mut self.arrived {
                    *arrived = arrived.saturating_sub(taken);
                }
                if !upload.decoder.is_done() || !upload.unsent.is_empty() {
                    self.decide_last();
                    return Ok(());
                }
                if let Err(error) = upload.writer.shutdown().await {
                    tracing::debug!(%error, "request ended before its body was received");
                }
                self.upload = None;
            }
            self.decide_last();
            if self.is_closing || self.pending.len() >= MAX_PIPELINED || self.buffer.is_empty() {
                return Ok(());
            }
            let limit = self.daemon.view().config.limits.header_bytes as usize;
            match framing::parse_head(&self.buffer, limit) {
                Ok(Some(head)) => self.start(head),
                Ok(None) => return Ok(()),
                Err(error) => {
                    self.error = Some(error);
                    self.is_closing = true;
                    return Ok(());
                }
            }
        }
    }

    /// Accepts no further requests once those that had arrived when the daemon stopped have started.
    fn decide_last(&mut self) {
        if self.arrived == Some(0) && !self.is_closing {
            self.accept_no_more();
        }
    }

    /// Makes the latest request the last one of the connection.
    fn accept_no_more(&mut self) {
        self.is_closing = true;
        self.closing.last.store(self.started, Ordering::Release);
    }

    /// Accepts no requests but those of which a byte has arrived by now.
    fn stop(&mut self, reader: &tokio::net::tcp::OwnedReadHalf) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES
            && matches!(reader.try_read_buf(&mut self.buffer), Ok(count) if count > 0)
        {}
        self.arrived = Some(self.buffer.len());
    }

    /// Starts to serve a request whose head is at the start of the buffer.
    fn start(&mut self, head: framing::Head) {
        self.started += 1;
        let number = self.started;
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        let (response, writer) = tokio::io::split(near);
        let daemon = self.daemon.clone();
        let closing = self.closing.clone();
        let caller = self.caller;
        let service = service_fn(move |request: Request<Incoming>| {
            let daemon = daemon.clone();
            let closing = closing.clone();
            async move {
                let mut response = entry::serve(&daemon, request, caller).await;
                if closing.announce(number) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .half_close(true)
            .max_headers(crate::server::MAX_PARSED_HEADERS)
            .serve_connection(TokioIo::new(far), service);
        let task = tokio::spawn(async move {
            match connection.await {
                Ok(()) => true,
                Err(error) => {
                    tracing::debug!(%error, "in-memory connection failed before the response was complete");
                    false
                }
            }
        });
        let bytes = self.buffer.split_to(head.length);
        if let Some(arrived) = &mut self.arrived {
            *arrived = arrived.saturating_sub(head.length);
        }
        self.is_http10 = head.is_http10;
        if head.closes {
            self.accept_no_more();
        }
        self.pending.push_back(Pending {
            response,
            task: AbortOnDropHandle::new(task),
        });
        self.upload = Some(Upload {
            decoder: Decoder::new(head.body),
            unsent: bytes,
            writer,
        });
    }

    /// Drops the request whose body is malformed, and accepts no further ones. Those before it keep
    /// their responses.
    fn abandon_upload(&mut self) {
        self.upload = None;
        self.buffer.clear();
        self.is_closing = true;
        if self.pending.pop_back().is_some() {
            self.record_dropped(1, "malformed request body");
        }
    }

    /// Discards the received part of the request body; later parts are handled likewise.
    fn discard_body(&mut self) {
        if let Some(upload) = &mut self.upload {
            upload.unsent.clear();
        }
    }

    /// Drops the pending requests because the connection closes without their responses.
    fn drop_pending(&mut self, reason: &'static str) {
        let requests = self.pending.len();
        self.pending.clear();
        if requests > 0 {
            self.record_dropped(requests, reason);
        }
    }

    fn record_dropped(&self, requests: usize, reason: &'static str) {
        let daemon = &self.daemon;
        daemon
            .metrics
            .count(metrics::CALLS_DROPPED, requests as u64);
        if daemon.log_limiters.dropped.try_acquire(Instant::now()) {
            let connection = self.caller.connection;
            emit!(catalogue::RESPONSES_DROPPED, connection, requests, reason);
        }
    }

    /// Removes the first pending request after its response; returns whether it was complete.
    async fn finish_response(&mut self) -> bool {
        let Some(pending) = self.pending.pop_front() else {
            return true;
        };
        let is_complete = pending.task.await.unwrap_or(false);
        // If the body of the finished request is incomplete, the start of the next one is unknown.
        if self.pending.is_empty() && self.upload.is_some() {
            self.is_closing = true;
            self.upload = None;
        }
        is_complete
    }
}
