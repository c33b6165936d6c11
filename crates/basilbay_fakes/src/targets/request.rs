//! HTTP handlers of a target's port: `/load`, `/health` and the requests to run.

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

/// Reported remaining time of a cold start, in milliseconds. The value is fixed: a target warms up
/// by completing requests, so it cannot know the time.
const REPORTED_COLD_MS: &str = "100";

/// Options from the headers of a request.
struct Options {
    /// The caller's `x-request-id`; empty if the request had none.
    request: Arc<str>,
    /// End of the caller's timeout; `None` if the request had none.
    deadline: Option<Instant>,
    /// Number of filler bytes; `None` sends the JSON alone.
    filler: Option<usize>,
    /// Whether the request crashes the target.
    poison: bool,
}

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
    let options = parse_options(&parts);
    let call = Call {
        request: options.request.clone(),
        key: header_text(&parts, header::IDEMPOTENCY_KEY).map(Arc::from),
        kind: kind.clone(),
    };
    if !body.is_end_stream() && web::read(body).await.is_err() {
        return Err(Closed);
    }
    match worker.start_run(&call) {
        Ok(running) => run(&worker, running, &options, &parts).await,
        Err(refusal) => Ok(refuse(&worker, refusal, &options)),
    }
}

/// Handles `GET /load`; the probe occupies a slot for `probe_cost_us`.
async fn load(worker: &Arc<Worker>) -> web::Response {
    let probe = worker.probe();
    let cost = Duration::from_micros(worker.spec.probe_cost_us);
    worker.timer.sleep_until(Instant::now() + cost).await;
    worker.wait_while_paused().await;
    drop(probe);
    web::json(StatusCode::OK, &worker.load())
}

/// Reports health, load and cold start in headers, under the names of the default dialect.
async fn health(worker: &Arc<Worker>) -> web::Response {
    let load = worker.load();
    let dialect = Dialect::default();
    let status = match &*load.state {
        "draining" => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    let mut response = web::empty(status);
    let percent = worker.slowdown_percent();
    let load_value = format!("{},0,{},{percent}", load.in_flight, load.slots);
    let cold_ms = if load.state == "cold" {
        REPORTED_COLD_MS
    } else {
        "0"
    };
    for (name, value) in [
        (&dialect.load, load_value.as_str()),
        (&dialect.responding_run, &worker.spec.id),
        (&dialect.cold_ms, cold_ms),
    ] {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn parse_options(parts: &Parts) -> Options {
    let timeout =
        header_text(parts, header::TIMEOUT_MS).and_then(|value| value.parse::<u64>().ok());
    let filler =
        header_text(parts, response::BODY_BYTES).and_then(|value| value.parse::<usize>().ok());
    Options {
        request: Arc::from(header_text(parts, response::REQUEST_ID).unwrap_or_default()),
        deadline: timeout.map(|millis| Instant::now() + Duration::from_millis(millis)),
        filler: filler.map(|count| count.min(response::MAX_BODY_BYTES)),
        poison: header_text(parts, response::POISON) == Some("1"),
    }
}

/// Value of a header; `None` if it is absent or contains other than visible ASCII characters.
fn header_text<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name)?.to_str().ok()
}

fn refuse(worker: &Worker, refusal: Refusal, options: &Options) -> web::Response {
    match refusal {
        Refusal::Fail => build_response(
            worker,
            StatusCode::INTERNAL_SERVER_ERROR,
            options,
            false,
            None,
        ),
        Refusal::Shed => {
            let mut response = build_response(
                worker,
                StatusCode::SERVICE_UNAVAILABLE,
                options,
                false,
                None,
            );
            let seconds = HeaderValue::from_static("1");
            response.headers_mut().insert(RETRY_AFTER, seconds);
            response
        }
    }
}

/// Runs an admitted request, calls the next service of its chain and responds.
async fn run(
    worker: &Arc<Worker>,
    running: Running,
    options: &Options,
    parts: &Parts,
) -> Result<web::Response> {
    if options.poison {
        return poison(worker, running).await;
    }
    if !wait_for_work(worker, running.end, options.deadline).await {
        drop(running);
        return Ok(build_response(
            worker,
            StatusCode::GATEWAY_TIMEOUT,
            options,
            true,
            None,
        ));
    }
    let subcall = match header_text(parts, response::CHAIN) {
        Some(services) => chain::call(worker, parts, services, options.deadline).await,
        None => None,
    };
    if !running.finish() {
        return Err(Closed);
    }
    let is_success = subcall.as_ref().is_none_or(|subcall| subcall.status == 200);
    let status = if is_success {
        StatusCode::OK
    } else {
        StatusCode::BAD_GATEWAY
    };
    Ok(build_response(worker, status, options, true, subcall))
}

/// Runs a request half-way and then crashes the target.
async fn poison(worker: &Arc<Worker>, running: Running) -> Result<web::Response> {
    let left = running.end.saturating_duration_since(Instant::now());
    worker.timer.sleep_until(Instant::now() + left / 2).await;
    worker.crash(Crash::default());
    drop(running);
    Err(Closed)
}

/// Waits for the end of the work and of any pause; returns false if the deadline passes first.
///
/// Deadlines are whole milliseconds, so that tokio's timer is precise enough for them.
async fn wait_for_work(worker: &Worker, end: Instant, deadline: Option<Instant>) -> bool {
    let work = async {
        worker.timer.sleep_until(end).await;
        worker.wait_while_paused().await;
    };
    let Some(deadline) = deadline else {
        work.await;
        return true;
    };
    tokio::time::timeout_at(deadline.into(), work).await.is_ok()
}

/// Builds a response; filler bytes are added only to a status 200.
fn build_response(
    worker: &Worker,
    status: StatusCode,
    options: &Options,
    ran: bool,
    subcall: Option<Subcall>,
) -> web::Response {
    let body = response::Body {
        target: worker.spec.id.clone(),
        request: options.request.to_string(),
        ran,
        chain: subcall.map(Box::new),
    };
    let mut response = web::json(status, &body);
    let filler = options.filler.filter(|_| status == StatusCode::OK);
    if let Some(count) = filler {
        let mut bytes = serde_json::to_vec(&body).unwrap_or_default();
        bytes.push(b'\n');
        bytes.extend(response::filler(&options.request, count));
        *response.body_mut() = web::body(bytes);
    }
    response
}
