//! Answers, and the headers that may travel on.

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

/// Seconds after which a refused caller may try again.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// Seconds after which a caller that found all targets full may try again, least and most: the
/// spread keeps callers that were refused together from coming back together.
const RETRY_FULL: (f64, f64) = (0.2, 0.6);

/// Seconds after which a caller may try again whose request met a daemon or target that was going
/// or coming, least and most: a peer takes over as soon as the news is there.
const RETRY_ELSEWHERE: (f64, f64) = (0.1, 0.4);

/// Headers that belong to one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("upgrade"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
];

/// What an attempt brought.
pub enum Reply {
    /// The target's answer.
    Response(Response<Body>),
    /// No answer of the target.
    Problem(Problem),
}

impl Reply {
    /// Whether the target broke off, so that the request may have crashed it.
    pub fn is_aborted(&self) -> bool {
        let Self::Problem(problem) = self else {
            return false;
        };
        problem.cause == Cause::TargetFailed && problem.outcome == Outcome::Unknown
    }
}

/// Makes the answer for a problem.
pub fn from_problem(problem: &Problem, instance: &str, dialect: &Dialect) -> Response<Body> {
    let (status, text) = document(problem, instance, dialect);
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

/// The bytes of an answer to a connection that ends with it, where there is no request to answer.
pub fn encode_problem(problem: &Problem, instance: &str, dialect: &Dialect) -> Vec<u8> {
    let (status, text) = document(problem, instance, dialect);
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

/// Status and body of a problem.
fn document(problem: &Problem, instance: &str, dialect: &Dialect) -> (StatusCode, Vec<u8>) {
    let status = dialect.status(problem);
    let mut document = problem.document(instance);
    document.status = status.as_u16();
    let text = serde_json::to_vec(&document).unwrap_or_else(|error| {
        tracing::error!(%error, "a problem document cannot be written");
        Vec::new()
    });
    (status, text)
}

/// When a refused caller may try again.
fn retry_after(cause: Cause, dialect: &Dialect) -> HeaderValue {
    if dialect.status_mapping == Mapping::Cause {
        return RETRY_AFTER_SECONDS;
    }
    let (least, most) = match cause {
        Cause::NoCapacity | Cause::TargetBusy => RETRY_FULL,
        _ => RETRY_ELSEWHERE,
    };
    let seconds = least + fastrand::f64() * (most - least);
    HeaderValue::try_from(format!("{seconds:.3}")).unwrap_or(RETRY_AFTER_SECONDS)
}

/// Drops the headers that must not travel on, those named by `Connection` included.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Whether an answer is small and known to be so.
pub fn is_bufferable(response: &Response<impl hyper::body::Body>) -> bool {
    let length = response
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    length.is_some_and(|length| length <= body::MAX_BUFFERED_BYTES)
}

/// Puts a header with a value that is known to be valid text.
pub fn insert_header(headers: &mut HeaderMap, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}
