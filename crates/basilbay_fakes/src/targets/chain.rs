//! Calls from within a request to the next service of its chain.

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

/// Client that the targets of one process share.
pub(super) type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// Headers that are passed on as they are; the time left is counted down.
const PASSED_ON: [&str; 3] = [header::TRACEPARENT, header::ALLOWANCE, header::DEPTH];

/// Longest wait for an answer when the request has no deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Makes a client that keeps connections to the daemons.
pub(super) fn client() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new()).build(connector)
}

/// Calls the first of the services, with the rest of the chain in the header.
///
/// A service may carry a path, as in `paydesk/pay`; without one the path of the request is used.
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
    let Some(request) = request(worker, parts, service, path, rest, deadline) else {
        return Some(subcall);
    };
    let wait = deadline.map_or(DEFAULT_WAIT, |deadline| {
        deadline.saturating_duration_since(Instant::now())
    });
    let answered = tokio::time::timeout(wait, send(worker, request, &mut subcall)).await;
    if answered.is_err() {
        subcall.status = 0;
    }
    Some(subcall)
}

fn request(
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
    for name in PASSED_ON {
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
