//! Answers, and the headers that may travel on.

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use http::{Response, StatusCode};

use basilbay_wire::header;
use basilbay_wire::problem::{self, Problem};

use crate::body::{self, Body};

/// Seconds after which a refused caller may try again.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

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
    Answer(Response<Body>),
    /// No answer of the target.
    Problem(Problem),
}

/// Makes the answer for a problem.
pub fn of_problem(problem: &Problem, instance: &str) -> Response<Body> {
    let document = problem.document(instance);
    let text = serde_json::to_vec(&document).unwrap_or_default();
    let status = problem.cause.status();
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
        headers.insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    response
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
pub fn is_small(response: &Response<impl hyper::body::Body>) -> bool {
    let length = response
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    length.is_some_and(|length| length <= body::MAX_KEPT_BYTES)
}

/// Puts a header with a value that is known to be valid text.
pub fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
