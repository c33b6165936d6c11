//! Connections of callers that speak HTTP/1.
//!
//! A caller may send further requests before the first one is answered. The library serves one
//! request of a connection after the other and, while bytes of the next one wait, does not see that
//! the caller went away. So the bytes are cut into requests here, each of which is served by the
//! library on an in-memory connection of its own; the answers are written in the order of the
//! requests. A caller that closes its connection ends all of them at once.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use http::Request;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_wire::problem::{Cause, Problem};

use crate::daemon::Daemon;
use crate::framing::{self, Decoder};
use crate::{entry, response};

/// Bytes in flight on an in-memory connection.
const PIPE_BYTES: usize = 64 * 1024;

/// Bytes read from a caller at once.
const READ_BYTES: usize = 16 * 1024;

/// Requests of one connection that are served at the same time; more wait in its buffers.
const MAX_AHEAD: usize = 16;

/// Bytes of further requests that are read while that many are served.
const MAX_BUFFERED: usize = 256 * 1024;

/// Time for which a connection that ends is still read, so that the caller gets the answer and not
/// a reset.
const LINGER: Duration = Duration::from_millis(500);

/// A request on its in-memory connection.
struct Served {
    answer: ReadHalf<DuplexStream>,
    closes: bool,
    /// Ends with whether the answer was written whole.
    task: AbortOnDropHandle<bool>,
}

/// The request whose body is still coming.
struct Coming {
    decoder: Decoder,
    /// Bytes of the body that are not handed on yet.
    ready: BytesMut,
    pipe: WriteHalf<DuplexStream>,
}

/// One connection.
struct Connection {
    daemon: Arc<Daemon>,
    /// Address of the caller.
    caller: IpAddr,
    buffer: BytesMut,
    served: VecDeque<Served>,
    coming: Option<Coming>,
    /// Requests that were taken so far.
    started: Arc<AtomicU64>,
    /// Whether no further request is taken.
    is_ending: bool,
    /// Answer to bytes that are no request, sent after all others.
    fault: Option<framing::Error>,
}

/// Serves a connection until one side ends it.
pub async fn serve(daemon: Arc<Daemon>, stream: TcpStream, caller: IpAddr) {
    let (mut reader, mut writer) = stream.into_split();
    let mut connection = Connection {
        daemon: daemon.clone(),
        caller,
        buffer: BytesMut::new(),
        served: VecDeque::new(),
        coming: None,
        started: Arc::default(),
        is_ending: false,
        fault: None,
    };
    let mut answer = BytesMut::with_capacity(READ_BYTES);
    loop {
        if let Err(fault) = connection.cut().await {
            tracing::info!(?fault, "the body of a request cannot be read");
            return;
        }
        if connection.served.is_empty() {
            if let Some(fault) = connection.fault {
                refuse(&daemon, &mut writer, fault_problem(fault)).await;
                break;
            }
            if connection.is_ending {
                break;
            }
        }
        let limits = daemon.view().config.limits.clone();
        let is_idle = connection.served.is_empty() && connection.coming.is_none();
        let patience = match (is_idle, connection.buffer.is_empty()) {
            (true, true) => limits.idle_timeout,
            (true, false) => limits.header_timeout,
            (false, _) => Duration::MAX,
        };
        let held = connection
            .coming
            .as_ref()
            .map_or(0, |coming| coming.ready.len());
        let reads = connection.buffer.len() + held < MAX_BUFFERED;
        tokio::select! {
            read = reader.read_buf(&mut connection.buffer), if reads => {
                // A caller that is gone, or will send no more, is not answered any more.
                if !matches!(read, Ok(count) if count > 0) {
                    if !connection.served.is_empty() && daemon.log_limiters.abandoned.try_acquire(Instant::now()) {
                        let requests = connection.served.len();
                        emit!(catalogue::LEFT_BY_CALLER, requests);
                    }
                    return;
                }
            }
            written = hand_on(&mut connection.coming) => {
                if let Err(error) = written {
                    // Whoever answers before the end of the body does not read the rest.
                    tracing::debug!(%error, "the rest of a body is dropped");
                    connection.drop_body();
                }
            }
            read = next_part(&mut connection.served, &mut answer) => {
                match read {
                    // What follows a broken answer would be taken for the rest of it.
                    Ok(0) if !connection.answered().await => return,
                    Ok(0) => {}
                    Ok(_) => {
                        if writer.write_all_buf(&mut answer).await.is_err() {
                            return;
                        }
                    }
                    Err(_) => return,
                }
            }
            () = daemon.stop.cancelled(), if !connection.is_ending => connection.is_ending = true,
            () = tokio::time::sleep(patience.min(limits.idle_timeout)), if is_idle => {
                if !connection.buffer.is_empty() {
                    let detail = "the headers were not complete in time";
                    refuse(&daemon, &mut writer, Problem::not_run(Cause::TooSlow, detail)).await;
                }
                break;
            }
        }
    }
    end(reader, writer).await;
}

/// Reads a part of the answer that is due next; waits while none is.
async fn next_part(served: &mut VecDeque<Served>, answer: &mut BytesMut) -> std::io::Result<usize> {
    match served.front_mut() {
        Some(first) => {
            answer.reserve(READ_BYTES);
            first.answer.read_buf(answer).await
        }
        None => std::future::pending().await,
    }
}

/// Hands on a part of a body; waits while there is none.
async fn hand_on(coming: &mut Option<Coming>) -> std::io::Result<()> {
    match coming {
        Some(coming) if !coming.ready.is_empty() => {
            let written = coming.pipe.write(&coming.ready).await?;
            coming.ready.advance(written);
            Ok(())
        }
        _ => std::future::pending().await,
    }
}

/// Ends a connection so that what was written arrives.
async fn end(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
) {
    if writer.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; 1024];
    let drained = async { while matches!(reader.read(&mut rest).await, Ok(count) if count > 0) {} };
    // A caller that does not close in time is reset, which is all that is left to do.
    let _ = tokio::time::timeout(LINGER, drained).await;
}

fn fault_problem(fault: framing::Error) -> Problem {
    match fault {
        framing::Error::Malformed => {
            Problem::not_run(Cause::BadRequest, "the bytes are no request")
        }
        framing::Error::HeadersTooLarge => {
            Problem::not_run(Cause::HeadersTooLarge, "more bytes than the limits allow")
        }
    }
}

/// Writes an answer after which the connection ends.
async fn refuse(daemon: &Daemon, writer: &mut tokio::net::tcp::OwnedWriteHalf, problem: Problem) {
    tracing::info!(%problem, "connection refused");
    let bytes = response::encode_problem(&problem, &daemon.settings.id, &daemon.dialect);
    if let Err(error) = writer.write_all(&bytes).await {
        tracing::debug!(%error, "caller went away before the refusal");
    }
}

impl Connection {
    /// Hands what was read to the requests that it belongs to; an error ends the connection.
    async fn cut(&mut self) -> std::result::Result<(), framing::Error> {
        loop {
            if let Some(coming) = &mut self.coming {
                let taken = coming.decoder.decode(&self.buffer)?;
                coming.ready.unsplit(self.buffer.split_to(taken));
                if !coming.decoder.is_done() || !coming.ready.is_empty() {
                    return Ok(());
                }
                if let Err(error) = coming.pipe.shutdown().await {
                    tracing::debug!(%error, "a request ended before its body did");
                }
                self.coming = None;
            }
            if self.is_ending || self.served.len() >= MAX_AHEAD || self.buffer.is_empty() {
                return Ok(());
            }
            let most = self.daemon.view().config.limits.header_bytes as usize;
            match framing::parse_head(&self.buffer, most) {
                Ok(Some(head)) => self.start(head),
                Ok(None) => return Ok(()),
                Err(fault) => {
                    self.fault = Some(fault);
                    self.is_ending = true;
                    return Ok(());
                }
            }
        }
    }

    fn start(&mut self, head: framing::Head) {
        let (ours, theirs) = tokio::io::duplex(PIPE_BYTES);
        let (answer, pipe) = tokio::io::split(ours);
        let daemon = self.daemon.clone();
        let number = self.started.fetch_add(1, Ordering::AcqRel) + 1;
        let started = self.started.clone();
        let caller = self.caller;
        let service = service_fn(move |request: Request<Incoming>| {
            let daemon = daemon.clone();
            let started = started.clone();
            async move {
                let mut response = entry::serve(&daemon, request, caller).await;
                // Only behind the last request that was taken: the answers to others still follow.
                if daemon.stop.is_cancelled() && started.load(Ordering::Acquire) == number {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let serving = http1::Builder::new()
            .half_close(true)
            .max_headers(crate::server::MAX_PARSED_HEADERS)
            .serve_connection(TokioIo::new(theirs), service);
        let task = tokio::spawn(async move {
            match serving.await {
                Ok(()) => true,
                Err(error) => {
                    tracing::debug!(%error, "an answer broke off");
                    false
                }
            }
        });
        let bytes = self.buffer.split_to(head.length);
        self.is_ending |= head.closes;
        self.served.push_back(Served {
            answer,
            closes: head.closes,
            task: AbortOnDropHandle::new(task),
        });
        self.coming = Some(Coming {
            decoder: Decoder::new(head.body),
            ready: bytes,
            pipe,
        });
    }

    /// Reads the rest of a body without handing it on.
    fn drop_body(&mut self) {
        if let Some(coming) = &mut self.coming {
            coming.ready.clear();
        }
    }

    /// Notes that the first answer ended; whether it was written whole.
    async fn answered(&mut self) -> bool {
        let Some(served) = self.served.pop_front() else {
            return true;
        };
        let closes = served.closes;
        let is_whole = served.task.await.unwrap_or(false);
        // Without the rest of its body the next request cannot be found.
        if closes || (self.served.is_empty() && self.coming.is_some()) {
            self.is_ending = true;
            self.served.clear();
            self.coming = None;
        }
        is_whole
    }
}
