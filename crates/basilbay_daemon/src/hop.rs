//! Requests between daemons.
//!
//! The client side sends a request with a hop header to a peer and returns the response or a problem,
//! along with the load that the peer reports. The server side serves the request in the role that the
//! hop header names: it runs the request on the local target, or decides as owner of its key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{HeaderValue, RETRY_AFTER};
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tracing::Instrument;

use basilbay_model::id::InstanceId;
use basilbay_wire::frame;
use basilbay_wire::header;
use basilbay_wire::hop::{Hop, Role};
use basilbay_wire::load::Load;
use basilbay_wire::problem::{Cause, Document, Outcome, Problem};

use crate::body::{self, Body, Payload};
use crate::call::{Call, Options};
use crate::control;
use crate::daemon::Daemon;
use crate::link::Repeat;
use crate::owner;
use crate::pool::Failure;
use crate::request::Spec;
use crate::response::{self, Reply};
use crate::target;
use crate::trace::Context;

/// Maximum size of a problem document from a peer.
const MAX_PROBLEM_BYTES: usize = 16 * 1024;

/// Time after the deadline for which a refusal of the other daemon is still awaited. The refusal
/// states that the request did not run, whereas a 504 of this daemon leaves the outcome unknown.
const REFUSAL_GRACE: Duration = Duration::from_millis(25);

/// Result of sending a request to another daemon.
pub struct Exchange {
    /// Response or problem.
    pub reply: Reply,
    /// Load of that daemon's target; `None` if the response stated none.
    pub load: Option<Load>,
    /// Whether the daemon responded at all.
    pub is_reachable: bool,
}

/// Sends a request to another daemon and awaits the result; `repeat` tells what may be done with it if
/// that daemon is gone.
pub async fn send(
    daemon: &Arc<Daemon>,
    call: &Call,
    peer: &InstanceId,
    address: SocketAddr,
    options: Options,
    body: Body,
    repeat: Repeat<'_>,
) -> Exchange {
    let version = daemon.view().config.version;
    let now = Instant::now();
    let hop = call.hop(&daemon.settings.id, options, version, now);
    let trace = call.trace.child(daemon.next_seed());
    let request = call.peer_request(&hop, trace, body);
    let link = daemon.links.get(peer, address);
    let deadline = call.deadline + REFUSAL_GRACE;
    let sent = tokio::time::timeout_at(deadline.into(), link.send(request, repeat)).await;
    let problem = match sent {
        Ok(Ok(response)) => return read_response(response, deadline).await,
        Ok(Err(Failure::NotSent(error))) => {
            let detail = format!("request not sent to {peer}: {error:#}");
            Problem::not_run(Cause::PeerFailed, detail)
        }
        Ok(Err(Failure::Interrupted(error))) => {
            let detail = format!("the connection to {peer} failed before it responded: {error:#}");
            Problem::unknown(Cause::PeerFailed, detail)
        }
        Err(_) => {
            let detail = format!("{peer} did not respond before the deadline");
            Problem::unknown(Cause::DeadlinePassed, detail)
        }
    };
    Exchange {
        reply: Reply::Problem(problem),
        load: None,
        is_reachable: false,
    }
}

async fn read_response(response: Response<Incoming>, deadline: Instant) -> Exchange {
    let load = response
        .headers()
        .get(header::LOAD)
        .and_then(|value| frame::decode_header(value.as_bytes()).ok());
    let outcome = response
        .headers()
        .get(header::OUTCOME)
        .and_then(|value| value.to_str().ok())
        .and_then(Outcome::parse);
    let read = async {
        match outcome {
            Some(outcome) => Reply::Problem(read_problem(response, outcome).await),
            None => read_body(response).await,
        }
    };
    let reply = match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(reply) => reply,
        Err(_) => {
            let detail = "the response was not complete before the deadline";
            Reply::Problem(Problem::unknown(Cause::DeadlinePassed, detail))
        }
    };
    Exchange {
        reply,
        load,
        is_reachable: true,
    }
}

async fn read_body(response: Response<Incoming>) -> Reply {
    let is_bufferable = response::is_bufferable(&response);
    let (mut parts, incoming) = response.into_parts();
    parts.headers.remove(header::LOAD);
    if !is_bufferable {
        let body = incoming.map_err(body::Error::from).boxed_unsync();
        return Reply::Response(Response::from_parts(parts, body));
    }
    match incoming.collect().await {
        Ok(collected) => {
            let body = body::full(collected.to_bytes());
            Reply::Response(Response::from_parts(parts, body))
        }
        Err(error) => {
            let detail = format!("the response ended early: {error}");
            Reply::Problem(Problem::unknown(Cause::PeerFailed, detail))
        }
    }
}

async fn read_problem(response: Response<Incoming>, outcome: Outcome) -> Problem {
    let limited = Limited::new(response.into_body(), MAX_PROBLEM_BYTES);
    let document = match limited.collect().await {
        Ok(collected) => serde_json::from_slice::<Document>(&collected.to_bytes()).ok(),
        Err(_) => None,
    };
    match document {
        Some(document) => Problem {
            outcome,
            ..Problem::from_document(&document)
        },
        None => Problem {
            cause: Cause::PeerFailed,
            outcome,
            detail: Arc::from("the daemon refused the request without a valid problem document"),
        },
    }
}

/// Serves a request that another daemon sent.
pub async fn serve(daemon: &Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    if let Some(response) = control::serve_pull(daemon, uri.path(), uri.query()) {
        return response;
    }
    let now = Instant::now();
    let reply = match parse_request(request, now) {
        Ok((call, hop, incoming)) => {
            let span = call.span("target", &daemon.settings.id);
            let reply = dispatch(daemon, call, &hop, incoming)
                .instrument(span)
                .await;
            daemon.record_load_sent(&hop.origin, now);
            reply
        }
        Err(problem) => Reply::Problem(problem),
    };
    let mut response = match reply {
        Reply::Response(response) => response,
        Reply::Problem(problem) => {
            response::from_problem(&problem, &daemon.settings.id, &daemon.dialect)
        }
    };
    let headers = response.headers_mut();
    if headers.contains_key(header::OUTCOME) {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("0"));
    }
    let load = frame::encode_header(&daemon.admission.load());
    response::insert_header(headers, header::LOAD, &load);
    response
}

async fn dispatch(daemon: &Arc<Daemon>, call: Call, hop: &Hop, incoming: Incoming) -> Reply {
    match hop.role {
        Role::Run => {
            let body = incoming.map_err(body::Error::from).boxed_unsync();
            let options = Options {
                role: hop.role,
                allowance: hop.allowance,
                may_wait: hop.may_wait,
                suspect: hop.suspect,
                aborted: hop.aborted,
                repeat: hop.repeat,
            };
            target::run(daemon, &call, options, body).await
        }
        Role::Owner => serve_as_owner(daemon, call, incoming).await,
    }
}

async fn serve_as_owner(daemon: &Arc<Daemon>, call: Call, incoming: Incoming) -> Reply {
    if !daemon.serving.may_serve(Instant::now()) {
        // The stored keys are valid, but the roster that determines the owner may be stale.
        let detail = "the daemon has not confirmed its configuration and roster";
        return Reply::Problem(Problem::unknown(Cause::Unconfirmed, detail));
    }
    let Some(text) = call.spec.key.clone() else {
        let detail = "the request to the owner of a key has no idempotency key";
        return Reply::Problem(Problem::not_run(Cause::BadRequest, detail));
    };
    let key = match owner::parse(&text) {
        Ok(key) => key,
        Err(problem) => return Reply::Problem(problem),
    };
    match Payload::read_until(incoming, u64::MAX, call.deadline).await {
        Ok(payload) => owner::handle(daemon, call, payload, key).await,
        // The store was not consulted, and an earlier request with the same key may have run.
        Err(problem) => Reply::Problem(problem.into_unknown()),
    }
}

fn parse_request(
    request: Request<Incoming>,
    now: Instant,
) -> Result<(Call, Hop, Incoming), Problem> {
    let (parts, incoming) = request.into_parts();
    let Some(value) = parts.headers.get(header::HOP) else {
        let detail = format!("request has no {} header", header::HOP);
        return Err(Problem::not_run(Cause::BadRequest, detail));
    };
    let hop: Hop = frame::decode_header(value.as_bytes()).map_err(|error| {
        Problem::not_run(
            Cause::BadRequest,
            format!("invalid {} header: {error}", header::HOP),
        )
    })?;
    let key = parts
        .headers
        .get(header::IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .map(Arc::from);
    let host = parts.uri.host().unwrap_or(&hop.service);
    let spec = Spec {
        host: Arc::from(host),
        service: hop.service.clone(),
        kind: hop.kind.clone(),
        idempotent: hop.idempotent,
        weight: hop.weight,
        timeout: Duration::from_millis(u64::from(hop.timeout_ms)),
        goal: Duration::from_millis(u64::from(hop.goal_ms)),
        key,
        depth: hop.depth,
        allowance: hop.allowance,
    };
    let trace = Context::from_headers(&parts.headers, 0);
    let mut call = Call::new(parts, spec, trace, now);
    call.fingerprint = hop.fingerprint;
    Ok((call, hop, incoming))
}
