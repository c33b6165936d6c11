//! Calls from within a request to the next service of its call chain.

use std::time::{Duration, Instant};

use basilbay_wire::header;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response, body::Incoming};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::response::{self, Body, Subcall};
use super::worker::Worker;

/// HTTP client shared by the targets of a process.
pub(super) type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// Headers that are propagated unchanged; the timeout is propagated too, less the time spent.
const PROPAGATED: [&str; 3] = [header::TRACEPARENT, header::ALLOWANCE, header::DEPTH];

/// Timeout of a call when the request has no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates a client that pools its connections to the daemons.
pub(super) fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new()).build(connector)
}

/// Calls the first of `services` and sends the rest of the chain along in a header.
///
/// Returns `None` if `services` is empty.
///
/// A service may have a path, as in `paydesk/pay`; without one, the path of the request is used.
pub(super) async fn call(
    worker: &Worker,
    parts: &Parts,
    services: &str,
    deadline: Option<Instant>,
) -> Option<Subcall> {
    let (next, rest) = services.split_once(',').unwrap_or((services, ""));
    let next = next.trim();
    if next.is_empty() {
        return None;
    }
    let (service, path) = match next.find('/') {
        Some(start) => next.split_at(start),
        None => (next, parts.uri.path()),
    };
    let mut subcall = Subcall {
        service: service.to_owned(),
        status: 0,
        outcome: None,
        body: None,
    };
    let Some(request) = build_request(worker, parts, service, path, rest, deadline) else {
        return Some(subcall);
    };
    let timeout = deadline.map_or(DEFAULT_TIMEOUT, |deadline| {
        deadline.saturating_duration_since(Instant::now())
    });
    let completed = tokio::time::timeout(timeout, send(worker, request, &mut subcall)).await;
    if completed.is_err() {
        subcall.status = 0;
    }
    Some(subcall)
}

/// Builds the request to the next service; `None` if the target has no entry address or the request
/// is not valid HTTP.
fn build_request(
    worker: &Worker,
    parts: &Parts,
    service: &str,
    path: &str,
    rest: &str,
    deadline: Option<Instant>,
) -> Option<Request<Empty<Bytes>>> {
    let entry = worker.spec.entry?;
    let mut builder = Request::builder()
        .method(parts.method.clone())
        .uri(format!("http://{entry}{path}"))
        .header(HOST, service);
    for name in PROPAGATED {
        if let Some(value) = parts.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    if let Some(value) = parts.headers.get(response::REQUEST_ID) {
        let id = format!("{}/{service}", value.to_str().ok()?);
        builder = builder.header(response::REQUEST_ID, id);
    }
    if let Some(deadline) = deadline {
        let left = deadline.saturating_duration_since(Instant::now());
        builder = builder.header(header::TIMEOUT_MS, left.as_millis().to_string());
    }
    if !rest.is_empty() {
        builder = builder.header(response::CHAIN, rest);
    }
    builder.body(Empty::new()).ok()
}

async fn send(worker: &Worker, request: Request<Empty<Bytes>>, subcall: &mut Subcall) {
    let Ok(response) = worker.client.request(request).await else {
        return;
    };
    let status = response.status().as_u16();
    subcall.outcome = outcome(&response);
    if let Ok(body) = response.into_body().collect().await {
        subcall.status = status;
        subcall.body = serde_json::from_slice::<Body>(&body.to_bytes()).ok();
    }
}

fn outcome(response: &Response<Incoming>) -> Option<String> {
    let value = response.headers().get(header::OUTCOME)?;
    value.to_str().ok().map(str::to_owned)
}
