//! Message bodies in transit.
//!
//! A small request body is received in full before the request is sent. A larger one is forwarded
//! while it is received; what was received is kept up to a limit, so that a request which a target
//! refused without running it can be sent to another one.

use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use basilbay_wire::problem::{Cause, Problem};

/// A type-erased body that is sent to a caller, another daemon or a target.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Error that ended a body early.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Largest body that is buffered; larger ones are streamed.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Largest part of one streamed request body that is kept for another attempt.
const MAX_KEPT_BODY_BYTES: usize = 1024 * 1024;

/// Most bytes of streamed request bodies that the process keeps.
const MAX_KEPT_BYTES: usize = 24 * 1024 * 1024;

/// Bytes of streamed request bodies that are kept at present.
static KEPT_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that consists of the given bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The body of a received request.
pub enum Payload {
    /// The whole body; it can be sent any number of times.
    Buffered(Bytes),
    /// A body that is still being received.
    Streaming(Stream),
}

impl Payload {
    /// Reads a body until its end, or until it exceeds [`MAX_BUFFERED_BYTES`]. A body of more than
    /// `limit` bytes is refused, also if it exceeds them only after it has been forwarded in part.
    pub async fn read_until(
        incoming: Incoming,
        limit: u64,
        deadline: Instant,
    ) -> std::result::Result<Self, Problem> {
        match tokio::time::timeout_at(deadline.into(), Self::read(incoming, limit)).await {
            Ok(result) => result,
            Err(_) => {
                let detail = "the request body was not complete before the deadline";
                Err(Problem::not_run(Cause::DeadlinePassed, detail))
            }
        }
    }

    async fn read(mut incoming: Incoming, limit: u64) -> std::result::Result<Self, Problem> {
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let mut buffered = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|error| {
                let detail = format!("the request body ended early: {error}");
                Problem::not_run(Cause::BadRequest, detail)
            })?;
            if let Ok(data) = frame.into_data() {
                buffered.extend_from_slice(&data);
            }
            if buffered.len() as u64 > limit {
                let detail = format!("request body exceeds the limit of {limit} bytes");
                return Err(Problem::not_run(Cause::BodyTooLarge, detail));
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                let stream = Stream::new(buffered.freeze(), incoming, limit);
                return Ok(Self::Streaming(stream));
            }
        }
        Ok(Self::Buffered(buffered.freeze()))
    }

    /// The bytes that were read before the first attempt.
    pub fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(stream) => &stream.prefix,
        }
    }

    /// Returns the body for one attempt; `None` if an earlier attempt used up bytes that were not
    /// kept. The body of the previous attempt, if it is a stream, fails from then on.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streaming(stream) => stream.take(),
        }
    }

    /// Whether the body can be sent again, once the previous attempt has ended.
    pub fn is_replayable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(stream) => stream.lock().is_replayable(),
        }
    }

    /// Whether the body can be sent to two targets at the same time.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// A body that is forwarded while it is received, and kept so that it can be sent again after a
/// refusal.
pub struct Stream {
    prefix: Bytes,
    shared: Arc<Mutex<Received>>,
}

/// The received part of a streamed body.
struct Received {
    incoming: Incoming,
    /// All frames since the start of the body; cleared once they are no longer kept.
    kept: Vec<Bytes>,
    /// Whether `kept` holds all that was received.
    is_kept: bool,
    received_bytes: u64,
    /// Largest accepted body, in bytes.
    limit: u64,
    /// Number of the latest attempt; the bodies of earlier ones are no longer read.
    attempt: u32,
    /// Bytes of `kept` that count toward [`MAX_KEPT_BYTES`].
    charged: usize,
}

impl Stream {
    fn new(prefix: Bytes, incoming: Incoming, limit: u64) -> Self {
        let mut received = Received {
            incoming,
            kept: Vec::new(),
            is_kept: true,
            received_bytes: 0,
            limit,
            attempt: 0,
            charged: 0,
        };
        received.record(&prefix);
        Self {
            prefix,
            shared: Arc::new(Mutex::new(received)),
        }
    }

    fn take(&self) -> Option<Body> {
        let mut received = self.lock();
        let is_first = received.attempt == 0;
        if !is_first && !received.is_replayable() {
            return None;
        }
        received.attempt += 1;
        let body = Attempt {
            shared: self.shared.clone(),
            attempt: received.attempt,
            next: 0,
            // A first attempt needs the prefix even if there was no memory to keep it.
            prefix: (is_first && !received.is_kept).then(|| self.prefix.clone()),
        };
        Some(body.boxed_unsync())
    }

    fn lock(&self) -> MutexGuard<'_, Received> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Received {
    fn is_replayable(&self) -> bool {
        self.is_kept
    }

    /// Counts received bytes and keeps them while the limits allow it.
    fn record(&mut self, data: &Bytes) {
        self.received_bytes += data.len() as u64;
        if !self.is_kept {
            return;
        }
        let total = KEPT_BYTES.fetch_add(data.len(), Ordering::Relaxed) + data.len();
        self.charged += data.len();
        self.kept.push(data.clone());
        if self.charged > MAX_KEPT_BODY_BYTES || total > MAX_KEPT_BYTES {
            self.is_kept = false;
            self.release();
        }
    }

    fn release(&mut self) {
        self.kept = Vec::new();
        KEPT_BYTES.fetch_sub(std::mem::take(&mut self.charged), Ordering::Relaxed);
    }
}

impl Drop for Received {
    fn drop(&mut self) {
        self.release();
    }
}

/// The body of one attempt: the kept frames, then the rest of the stream.
struct Attempt {
    shared: Arc<Mutex<Received>>,
    attempt: u32,
    /// Index of the next kept frame.
    next: usize,
    prefix: Option<Bytes>,
}

impl HttpBody for Attempt {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let this = &mut *self;
        let mut received = this.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if received.attempt != this.attempt {
            return Poll::Ready(Some(Err("the request is sent to another target".into())));
        }
        if let Some(prefix) = this.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        if let Some(data) = received.kept.get(this.next) {
            this.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(data.clone()))));
        }
        let polled = Pin::new(&mut received.incoming).poll_frame(context);
        let Poll::Ready(Some(Ok(frame))) = polled else {
            return polled.map(|end| end.map(|result| result.map_err(Into::into)));
        };
        if let Some(data) = frame.data_ref() {
            received.record(data);
            this.next = received.kept.len();
        }
        if received.received_bytes > received.limit {
            let detail = format!("request body exceeds {} bytes", received.limit);
            return Poll::Ready(Some(Err(detail.into())));
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        let received = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        self.prefix.is_none()
            && self.next >= received.kept.len()
            && received.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let received = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let unread = received.kept.iter().skip(self.next).map(Bytes::len);
        let unread = unread.sum::<usize>() + self.prefix.as_ref().map_or(0, Bytes::len);
        let rest = received.incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + unread as u64);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + unread as u64);
        }
        hint
    }
}

/// Collects a whole body; fails if it is longer than `limit` bytes.
pub async fn read_all(incoming: Incoming, limit: usize) -> anyhow::Result<Bytes> {
    let limited = Limited::new(incoming, limit);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(anyhow::anyhow!(error)),
    }
}
