//! W3C trace context: which trace a request belongs to and which span is above.

use std::fmt;

use http::HeaderMap;

use basilbay_wire::header;

/// Position of a hop in its trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// The whole call tree.
    pub trace: u128,
    /// This span.
    pub span: u64,
    /// Whether the caller asked for the trace to be kept.
    pub sampled: bool,
}

impl Context {
    /// Reads the header, or starts a trace where there is none that can be read.
    pub fn from_headers(headers: &HeaderMap, seed: u64) -> Self {
        headers
            .get(header::TRACEPARENT)
            .and_then(|value| value.to_str().ok())
            .and_then(parse)
            .unwrap_or_else(|| Self::start(seed))
    }

    /// A new trace.
    fn start(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            trace: rng.u128(1..),
            span: rng.u64(1..),
            sampled: false,
        }
    }

    /// A span below this one.
    pub fn child(&self, seed: u64) -> Self {
        Self {
            span: fastrand::Rng::with_seed(seed).u64(1..),
            ..*self
        }
    }
}

impl fmt::Display for Context {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(out, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

fn parse(value: &str) -> Option<Context> {
    let mut parts = value.split('-');
    let version = parts.next()?;
    let trace = parts.next().filter(|part| part.len() == 32)?;
    let span = parts.next().filter(|part| part.len() == 16)?;
    let flags = parts.next().filter(|part| part.len() == 2)?;
    if version.len() != 2 || version == "ff" {
        return None;
    }
    let context = Context {
        trace: u128::from_str_radix(trace, 16).ok()?,
        span: u64::from_str_radix(span, 16).ok()?,
        sampled: u8::from_str_radix(flags, 16).ok()? & 1 == 1,
    };
    (context.trace != 0 && context.span != 0).then_some(context)
}
