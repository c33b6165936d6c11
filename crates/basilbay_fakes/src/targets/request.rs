//! Requests on a target's own port.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_wire::dialect::Dialect;
use basilbay_wire::header;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};

use super::chain;
use super::fault::Crash;
use super::response::{self, Subcall};
use super::state::Refusal;
use super::worker::{Call, Running, Worker};
use crate::web::{self, Closed, Result};

/// Time for which a cold target says that it stays cold: it warms by working, so it cannot know.
const COLD_MS: &str = "100";

/// What the headers of a request ask for.
struct Wish {
    request: Arc<str>,
    deadline: Option<Instant>,
    filler: Option<usize>,
    poison: bool,
}

/// Handles one request.
pub(super) async fn handle(
    worker: Arc<Worker>,
    request: Request<Incoming>,
) -> Result<web::Response> {
    if request.method() == Method::GET && request.uri().path() == "/load" {
        return Ok(load(&worker).await);
    }
    if request.method() == Method::GET && request.uri().path() == "/health" {
        return Ok(health(&worker).await);
    }
    let (parts, body) = request.into_parts();
    let Some(kind) = worker.spec.kind(parts.uri.path()) else {
        return Ok(web::empty(StatusCode::NOT_FOUND));
    };
    let wish = wish(&parts);
    let call = Call {
        request: wish.request.clone(),
        key: text(&parts, header::IDEMPOTENCY_KEY).map(Arc::from),
        kind: kind.clone(),
    };
    if !body.is_end_stream() && web::read(body).await.is_err() {
        return Err(Closed);
    }
    match worker.begin(&call) {
        Ok(running) => run(&worker, running, &wish, &parts).await,
        Err(refusal) => Ok(refuse(&worker, refusal, &wish)),
    }
}

async fn load(worker: &Arc<Worker>) -> web::Response {
    let probing = worker.probe();
    let cost = Duration::from_micros(worker.spec.probe_cost_us);
    worker.timer.sleep_until(Instant::now() + cost).await;
    worker.resumed().await;
    drop(probing);
    web::json(StatusCode::OK, &worker.load())
}

/// Health, load and cold start in headers, as the default dialect names them.
async fn health(worker: &Arc<Worker>) -> web::Response {
    let load = worker.load();
    let dialect = Dialect::default();
    let status = match &*load.state {
        "draining" => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    let mut reply = web::empty(status);
    let percent = worker.pace_percent();
    let figures = format!("{},0,{},{percent}", load.in_flight, load.slots);
    let cold_ms = if load.state == "cold" { COLD_MS } else { "0" };
    for (name, value) in [
        (&dialect.load, figures.as_str()),
        (&dialect.responding_run, &worker.spec.id),
        (&dialect.cold_ms, cold_ms),
    ] {
        if let Ok(value) = HeaderValue::from_str(value) {
            reply.headers_mut().insert(name, value);
        }
    }
    reply
}

fn wish(parts: &Parts) -> Wish {
    let timeout = text(parts, header::TIMEOUT_MS).and_then(|value| value.parse::<u64>().ok());
    let filler = text(parts, response::BODY_BYTES).and_then(|value| value.parse::<usize>().ok());
    Wish {
        request: Arc::from(text(parts, response::REQUEST_ID).unwrap_or_default()),
        deadline: timeout.map(|millis| Instant::now() + Duration::from_millis(millis)),
        filler: filler.map(|count| count.min(response::MAX_BODY_BYTES)),
        poison: text(parts, response::POISON) == Some("1"),
    }
}

/// Text of a header.
fn text<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name)?.to_str().ok()
}

fn refuse(worker: &Worker, refusal: Refusal, wish: &Wish) -> web::Response {
    match refusal {
        Refusal::Fail => reply(worker, StatusCode::INTERNAL_SERVER_ERROR, wish, false, None),
        Refusal::Shed => {
            let mut reply = reply(worker, StatusCode::SERVICE_UNAVAILABLE, wish, false, None);
            let seconds = HeaderValue::from_static("1");
            reply.headers_mut().insert(RETRY_AFTER, seconds);
            reply
        }
    }
}

async fn run(
    worker: &Arc<Worker>,
    running: Running,
    wish: &Wish,
    parts: &Parts,
) -> Result<web::Response> {
    if wish.poison {
        return poison(worker, running).await;
    }
    if !wait(worker, running.end, wish.deadline).await {
        drop(running);
        return Ok(reply(worker, StatusCode::GATEWAY_TIMEOUT, wish, true, None));
    }
    let subcall = match text(parts, response::CHAIN) {
        Some(services) => chain::call(worker, parts, services, wish.deadline).await,
        None => None,
    };
    if !running.finish() {
        return Err(Closed);
    }
    let is_good = subcall.as_ref().is_none_or(|subcall| subcall.status == 200);
    let status = if is_good {
        StatusCode::OK
    } else {
        StatusCode::BAD_GATEWAY
    };
    Ok(reply(worker, status, wish, true, subcall))
}

/// Runs a request that crashes the target half-way.
async fn poison(worker: &Arc<Worker>, running: Running) -> Result<web::Response> {
    let left = running.end.saturating_duration_since(Instant::now());
    worker.timer.sleep_until(Instant::now() + left / 2).await;
    worker.crash(Crash::default());
    drop(running);
    Err(Closed)
}

/// Waits for the end of the work and of a pause; false when the deadline passes first.
///
/// Deadlines are whole milliseconds, so that tokio's timer is precise enough for them.
async fn wait(worker: &Worker, end: Instant, deadline: Option<Instant>) -> bool {
    let work = async {
        worker.timer.sleep_until(end).await;
        worker.resumed().await;
    };
    let Some(deadline) = deadline else {
        work.await;
        return true;
    };
    tokio::time::timeout_at(deadline.into(), work).await.is_ok()
}

fn reply(
    worker: &Worker,
    status: StatusCode,
    wish: &Wish,
    ran: bool,
    subcall: Option<Subcall>,
) -> web::Response {
    let content = response::Body {
        target: worker.spec.id.clone(),
        request: wish.request.to_string(),
        ran,
        chain: subcall.map(Box::new),
    };
    let mut reply = web::json(status, &content);
    let filler = wish.filler.filter(|_| status == StatusCode::OK);
    if let Some(count) = filler {
        let mut bytes = serde_json::to_vec(&content).unwrap_or_default();
        bytes.push(b'\n');
        bytes.extend(response::filler(&wish.request, count));
        *reply.body_mut() = web::body(bytes);
    }
    reply
}
