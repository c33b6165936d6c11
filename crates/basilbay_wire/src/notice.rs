//! What a target states about itself in the head of a response, beside its load: the rate of
//! requests that it accepts, and whether it is leaving.

use http::{HeaderMap, HeaderName};

/// Requests per second, of all callers together.
pub type Rate = f64;

/// Rate limit in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The response states no limit.
    #[default]
    Absent,
    /// The target accepts this rate; 0 means no requests at all.
    Stated(Rate),
    /// The stated limit is not a rate.
    Malformed,
}

impl RateLimit {
    /// Parses a decimal number of requests per second.
    pub fn parse(value: &str) -> Self {
        match value.trim().parse::<Rate>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::Stated(rate),
            _ => Self::Malformed,
        }
    }
}

/// Statements of a target in the head of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The rate that the target accepts.
    pub rate_limit: RateLimit,
    /// Whether the target is about to end and should get no new requests.
    pub is_leaving: bool,
}

impl Notice {
    /// Reads the statements from the headers with the given names.
    pub fn read(headers: &HeaderMap, rate_limit: &HeaderName, leaving: &HeaderName) -> Self {
        let rate_limit = match headers.get(rate_limit) {
            None => RateLimit::Absent,
            Some(value) => value
                .to_str()
                .map_or(RateLimit::Malformed, RateLimit::parse),
        };
        let is_leaving = headers
            .get(leaving)
            .is_some_and(|value| value.as_bytes().trim_ascii() != b"0");
        Self {
            rate_limit,
            is_leaving,
        }
    }
}
