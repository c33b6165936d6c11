//! W3C trace context: parses and writes the `traceparent` header, so that all hops of a call tree share
//! one trace id.

use std::fmt;

use http::HeaderMap;

use basilbay_wire::header;

/// Trace id and span id of one hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// Id of the trace; all hops of a call tree share it.
    pub trace: u128,
    /// Id of the current span.
    pub span: u64,
    /// Whether the caller set the `sampled` flag.
    pub sampled: bool,
}

impl Context {
    /// Reads the `traceparent` header; starts a new trace if it is missing or invalid.
    pub fn from_headers(headers: &HeaderMap, seed: u64) -> Self {
        headers
            .get(header::TRACEPARENT)
            .and_then(|value| value.to_str().ok())
            .and_then(parse)
            .unwrap_or_else(|| Self::start(seed))
    }

    /// Starts a new trace with random ids.
    fn start(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            trace: rng.u128(1..),
            span: rng.u64(1..),
            sampled: false,
        }
    }

    /// Returns the context of a child span.
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
