//! Builds responses for problems, and removes the headers that a proxy must not forward.
//!
//! A [`Problem`] becomes an `application/problem+json` response whose status and `Retry-After` follow
//! the configured dialect.

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use http::{Response, StatusCode};

use basilbay_wire::dialect::{Dialect, Mapping};
use basilbay_wire::header;
use basilbay_wire::problem::{self, Cause, Outcome, Problem};

use crate::body::{self, Body};

/// `Retry-After` of a refusal, in whole seconds, for dialects that derive the status from the cause.
const DEFAULT_RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Range of `Retry-After` in seconds when all targets were full. The jitter keeps callers that were
/// refused at the same time from retrying at the same time.
const FULL_RETRY_SECONDS: (f64, f64) = (0.2, 0.6);

/// Range of `Retry-After` in seconds for all other refusals, which meet a daemon or target that is
/// starting or leaving. It is shorter because a peer replaces that one as soon as the change has
/// propagated.
const HANDOVER_RETRY_SECONDS: (f64, f64) = (0.1, 0.4);

/// Hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("upgrade"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
];

/// Result of a request: a response, or the problem that prevented one.
pub enum Reply {
    /// The target's response.
    Response(Response<Body>),
    /// No response of the target; the daemon reports this problem in its place.
    Problem(Problem),
}

impl Reply {
    /// Whether the target dropped the connection after the request was sent, so that the request may
    /// have crashed it.
    pub fn is_aborted(&self) -> bool {
        let Self::Problem(problem) = self else {
            return false;
        };
        problem.cause == Cause::TargetFailed && problem.outcome == Outcome::Unknown
    }
}

/// Builds the response for a problem.
pub fn from_problem(problem: &Problem, instance: &str, dialect: &Dialect) -> Response<Body> {
    let (status, text) = render(problem, instance, dialect);
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static(problem::CONTENT_TYPE),
    );
    headers.insert(
        header::OUTCOME,
        HeaderValue::from_static(problem.outcome.as_str()),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, retry_after(problem.cause, dialect));
    }
    response
}

/// Encodes a problem as a raw HTTP/1.1 response that closes the connection, for bytes that could not
/// be parsed as a request.
pub fn encode_problem(problem: &Problem, instance: &str, dialect: &Dialect) -> Vec<u8> {
    let (status, text) = render(problem, instance, dialect);
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {}\r\n{}: {}\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        problem::CONTENT_TYPE,
        header::OUTCOME,
        problem.outcome.as_str(),
        text.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(&text);
    bytes
}

/// Returns the status and the JSON body of a problem.
fn render(problem: &Problem, instance: &str, dialect: &Dialect) -> (StatusCode, Vec<u8>) {
    let status = dialect.status(problem);
    let mut document = problem.document(instance);
    document.status = status.as_u16();
    let text = serde_json::to_vec(&document).unwrap_or_else(|error| {
        tracing::error!(%error, "cannot serialize problem document");
        Vec::new()
    });
    (status, text)
}

/// Returns the `Retry-After` value, with random jitter where the dialect allows fractions.
fn retry_after(cause: Cause, dialect: &Dialect) -> HeaderValue {
    if dialect.status_mapping == Mapping::Cause {
        return DEFAULT_RETRY_AFTER;
    }
    let (min, max) = match cause {
        Cause::NoCapacity | Cause::TargetBusy => FULL_RETRY_SECONDS,
        _ => HANDOVER_RETRY_SECONDS,
    };
    let seconds = min + fastrand::f64() * (max - min);
    HeaderValue::try_from(format!("{seconds:.3}")).unwrap_or(DEFAULT_RETRY_AFTER)
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Whether the response states a `Content-Length` that is small enough to buffer it.
pub fn is_bufferable(response: &Response<impl hyper::body::Body>) -> bool {
    let length = response
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    length.is_some_and(|length| length <= body::MAX_BUFFERED_BYTES)
}

/// Inserts a header; a name or value that is not valid in HTTP is skipped.
pub fn insert_header(headers: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}
