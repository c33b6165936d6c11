//! HTTP handlers of the platform: `/config` and `/instances` for readers, `/fake/` for control.

use std::sync::Arc;
use std::time::Duration;

use basilbay_model::id::Version;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use super::config::{self, Text};
use super::{Services, Shared};
use crate::clock;
use crate::web::{self, Closed, Response, Result};

/// Maximum wait of a watch whose request has no `wait_ms`.
const DEFAULT_WAIT_MS: u64 = 30_000;

/// Longest wait of a watch; larger values of `wait_ms` are reduced to it.
const MAX_WAIT_MS: u64 = 60_000;

pub(super) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Response> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/config") if shared.services != Services::List => {
            config(&shared, &request).await
        }
        (&Method::GET, "/instances") if shared.services != Services::Config => {
            instances(&shared, &request).await
        }
        (_, path) if path.starts_with("/fake/") => Ok(control(&shared, request).await),
        _ => Ok(web::empty(StatusCode::NOT_FOUND)),
    }
}

/// Handles `/config`: responds at once, or watches if the request has the parameter `after`.
async fn config(shared: &Shared, request: &Request<Incoming>) -> Result<Response> {
    let Some(after) = web::query(request, "after") else {
        shared.state().counts.record("/config");
        let delay_ms = shared.state().faults.config.delay_ms;
        delay(delay_ms).await;
        return Ok(match current(shared)? {
            Some(text) => config_response(&text),
            None => web::empty(StatusCode::NOT_FOUND),
        });
    };
    shared.state().counts.record("/config watch");
    let Ok(after) = after.parse::<Version>() else {
        return Ok(web::text(
            StatusCode::BAD_REQUEST,
            "query parameter after is not a version\n",
        ));
    };
    let wait_ms = match web::query(request, "wait_ms").map(str::parse::<u64>) {
        None => DEFAULT_WAIT_MS,
        Some(Ok(wait_ms)) => wait_ms.min(MAX_WAIT_MS),
        Some(Err(_)) => {
            return Ok(web::text(
                StatusCode::BAD_REQUEST,
                "query parameter wait_ms is not a whole number\n",
            ));
        }
    };
    watch(shared, after, Duration::from_millis(wait_ms)).await
}

/// Long-polls for a configuration newer than `after`; responds 304 when the wait ends without one.
async fn watch(shared: &Shared, after: Version, wait: Duration) -> Result<Response> {
    let deadline = Instant::now() + wait;
    let mut changes = shared.changes.subscribe();
    loop {
        changes.borrow_and_update();
        let newer = current(shared)?.filter(|text| text.version > after);
        if newer.is_some() {
            break;
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            break;
        }
    }
    let delay_ms = shared.state().faults.config.delay_ms;
    delay(delay_ms).await;
    let newer = current(shared)?.filter(|text| text.version > after);
    Ok(newer.map_or_else(
        || web::empty(StatusCode::NOT_MODIFIED),
        |text| config_response(&text),
    ))
}

/// Returns the text that readers get under the current faults; `None` if nothing was published.
fn current(shared: &Shared) -> Result<Option<Text>> {
    let state = shared.state();
    let fault = state.faults.config;
    if fault.down {
        return Err(Closed);
    }
    Ok(state.config.read(fault.stale_version))
}

/// A response with the text and its version as `ETag`.
fn config_response(text: &Text) -> Response {
    let mut response = web::text(StatusCode::OK, text.bytes.clone());
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", text.version)) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// Handles `/instances`; the parameter `have` is the version that the reader has.
async fn instances(shared: &Shared, request: &Request<Incoming>) -> Result<Response> {
    shared.state().counts.record("/instances");
    let delay_ms = shared.state().faults.instances.delay_ms;
    delay(delay_ms).await;
    let state = shared.state();
    let fault = state.faults.instances;
    if fault.down {
        return Err(Closed);
    }
    let mut roster = state.list.read(clock::unix_ms(), fault.lag_ms);
    drop(state);
    let reader_version = web::query(request, "have").and_then(|have| have.parse::<Version>().ok());
    // Only an equal version omits the instances. To any other version, also a newer one, the full
    // list is sent, so that the reader sees when the list went back.
    if reader_version == Some(roster.version) {
        roster.instances.clear();
    }
    Ok(web::json(StatusCode::OK, &roster))
}

async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Handles the paths under `/fake/`.
async fn control(shared: &Shared, request: Request<Incoming>) -> Response {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if let Some(rest) = path.strip_prefix("/fake/instances/") {
        return instance(shared, &method, rest);
    }
    match (&method, path.as_str()) {
        (&Method::PUT, "/fake/config") => publish(shared, request.into_body()).await,
        (&Method::PUT, "/fake/instances") => {
            let entries = web::read_json(request.into_body()).await;
            web::no_content(entries.and_then(|entries| {
                let replaced = shared.state().list.replace(entries, clock::unix_ms());
                replaced.map_err(anyhow::Error::from)
            }))
        }
        (&Method::PUT, "/fake/faults") => {
            let faults = web::read_json(request.into_body()).await;
            web::no_content(faults.map(|faults| shared.set_faults(faults)))
        }
        (&Method::GET, "/fake/faults") => web::json(StatusCode::OK, &shared.state().faults),
        (&Method::GET, "/fake/counts") => {
            web::json(StatusCode::OK, &shared.state().counts.report())
        }
        _ => web::empty(StatusCode::NOT_FOUND),
    }
}

/// Handles `/fake/instances/ID` and `/fake/instances/ID/leaving`.
fn instance(shared: &Shared, method: &Method, rest: &str) -> Response {
    let changed = match (method, rest.split_once('/')) {
        (&Method::POST, Some((id, "leaving"))) => {
            shared.state().list.mark_leaving(id, clock::unix_ms())
        }
        (&Method::DELETE, None) => shared.state().list.remove(rest, clock::unix_ms()),
        _ => return web::empty(StatusCode::NOT_FOUND),
    };
    match changed {
        Ok(()) => web::empty(StatusCode::NO_CONTENT),
        Err(error) => web::text(StatusCode::NOT_FOUND, format!("{error}\n")),
    }
}

async fn publish(shared: &Shared, body: Incoming) -> Response {
    let text = match web::read(body).await {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) => return web::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
    };
    match shared.publish(&text) {
        Ok(version) => web::text(StatusCode::OK, format!("{version}\n")),
        Err(error @ config::Error::Size) => {
            web::text(StatusCode::PAYLOAD_TOO_LARGE, format!("{error}\n"))
        }
        Err(error) => web::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}
