//! Message bodies in transit: buffered while small, so that a retry can send them again, and streamed
//! otherwise.

use std::pin::Pin;
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

/// Largest body that is buffered; larger ones are streamed and cannot be sent twice.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

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
    /// The bytes read so far, and the remaining stream; it can be sent once.
    Streaming(Bytes, Incoming),
    /// The body was streamed to an attempt and cannot be sent again.
    Consumed,
}

impl Payload {
    /// Reads a body until its end, or until it exceeds [`MAX_BUFFERED_BYTES`].
    pub async fn read(mut incoming: Incoming) -> Result<Self> {
        if incoming.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let mut buffered = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            if let Ok(data) = frame?.into_data() {
                buffered.extend_from_slice(&data);
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Ok(Self::Streaming(buffered.freeze(), incoming));
            }
        }
        Ok(Self::Buffered(buffered.freeze()))
    }

    /// Like [`Payload::read`], but fails once the deadline passes.
    pub async fn read_until(
        incoming: Incoming,
        deadline: Instant,
    ) -> std::result::Result<Self, Problem> {
        match tokio::time::timeout_at(deadline.into(), Self::read(incoming)).await {
            Ok(Ok(payload)) => Ok(payload),
            Ok(Err(error)) => {
                let detail = format!("the request body ended early: {error}");
                Err(Problem::not_run(Cause::BadRequest, detail))
            }
            Err(_) => {
                let detail = "the request body was not complete before the deadline";
                Err(Problem::not_run(Cause::DeadlinePassed, detail))
            }
        }
    }

    /// The bytes read so far; empty once the body was streamed.
    pub fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) | Self::Streaming(bytes, _) => bytes,
            Self::Consumed => &[],
        }
    }

    /// Returns the body for one attempt; `None` if it was streamed to an earlier one. Only a buffered
    /// body can be taken more than once.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streaming(..) | Self::Consumed => match std::mem::replace(self, Self::Consumed) {
                Self::Streaming(prefix, rest) => Some(Prefixed::new(prefix, rest).boxed_unsync()),
                _ => None,
            },
        }
    }

    /// Whether the body can be sent more than once.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// A body that yields bytes that were already read, followed by the remaining stream.
struct Prefixed {
    prefix: Option<Bytes>,
    rest: Incoming,
}

impl Prefixed {
    fn new(prefix: Bytes, rest: Incoming) -> Self {
        Self {
            prefix: Some(prefix),
            rest,
        }
    }
}

impl HttpBody for Prefixed {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest)
            .poll_frame(context)
            .map(|frame| frame.map(|result| result.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint();
        let length = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + length);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + length);
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
