//! Entry role: receives a caller's request, sends it to a target and returns the response.
//!
//! A request that is idempotent or has no idempotency key is routed here, with retries within the
//! retry budget and the deadline. A keyed request that is not idempotent is forwarded to the owner of
//! its key, which routes it with the same code.

use std::sync::Arc;
use std::time::Instant;

use http::header::{CONTENT_LENGTH, HeaderMap};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tracing::Instrument;

use basilbay_events::metrics;
use basilbay_keys::suspect;
use basilbay_model::id::InstanceId;
use basilbay_routing::cluster::CallId;
use basilbay_routing::retry::{Attempts, Budget, Failure};
use basilbay_routing::router::{Completion, Exclusions};
use basilbay_wire::header;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::access_log::{self, Trail};
use crate::attempt::Dispatcher;
use crate::body::{Body, Payload};
use crate::call::{Call, Caller};
use crate::daemon::Daemon;
use crate::owner;
use crate::request;
use crate::response::{self, Reply};
use crate::trace::Context;

/// Serves a request of a caller.
pub async fn serve(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<Body> {
    let received_at = Instant::now();
    let request_id = request.headers().get(&daemon.dialect.request_id).cloned();
    let reply = match receive(daemon, request, caller).await {
        Ok((call, payload)) => {
            let span = call.span("entry", &daemon.settings.id);
            dispatch(daemon, call, payload).instrument(span).await
        }
        Err(problem) => {
            let id = request_id.as_ref().and_then(|value| value.to_str().ok());
            access_log::log_unparsed(daemon, caller, id.unwrap_or_default(), &problem);
            Reply::Problem(problem)
        }
    };
    let outcome = match &reply {
        Reply::Response(_) => metrics::CALLS_ANSWERED,
        Reply::Problem(problem) if problem.outcome == Outcome::NotRun => metrics::CALLS_NOT_RUN,
        Reply::Problem(_) => metrics::CALLS_UNKNOWN,
    };
    daemon.metrics.count(outcome, 1);
    daemon
        .metrics
        .time(metrics::CALL_TIME, received_at.elapsed());
    match reply {
        Reply::Response(response) => response,
        Reply::Problem(problem) => {
            tracing::debug!(%problem, "request ended with a problem response");
            response::from_problem(&problem, &daemon.settings.id, &daemon.dialect)
        }
    }
}

async fn receive(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
    caller: Caller,
) -> Result<(Call, Payload), Problem> {
    let now = Instant::now();
    let (parts, incoming) = request.into_parts();
    if !daemon.serving.may_serve(now) {
        let problem = Problem::not_run(
            Cause::Unconfirmed,
            "the daemon has not confirmed its configuration and roster",
        );
        // Only the owner of a key knows whether an earlier request with the same key ran.
        let is_keyed = parts.headers.contains_key(header::IDEMPOTENCY_KEY);
        return Err(if is_keyed {
            problem.into_unknown()
        } else {
            problem
        });
    }
    let view = daemon.view();
    let spec = request::parse(&parts, &view.config, &daemon.dialect, daemon.next_seed())?;
    check_body_size(&parts.headers, view.config.limits.body_bytes)?;
    let trace = Context::from_headers(&parts.headers, daemon.next_seed()).child(daemon.next_seed());
    let mut call = Call::new(parts, spec, trace, now);
    call.caller = Some(caller);
    if daemon
        .latest_deadline()
        .is_some_and(|latest| call.deadline > latest)
    {
        let detail = "the daemon stops before the deadline of the request";
        let problem = Problem::not_run(Cause::Leaving, detail);
        return Err(call.spec.early_refusal(problem));
    }
    let headers = &mut call.headers;
    headers.remove(&daemon.dialect.expected_run);
    let caller = &daemon.settings.service;
    response::insert_header(headers, daemon.dialect.caller_service.as_str(), caller);
    let payload = Payload::read_until(incoming, view.config.limits.body_bytes, call.deadline)
        .await
        .map_err(|problem| call.spec.early_refusal(problem))?;
    call.fingerprint = suspect::fingerprint(
        &call.spec.service,
        call.method.as_str(),
        call.path.as_str(),
        call.spec.key.as_deref(),
        payload.prefix(),
    );
    Ok((call, payload))
}

/// Refuses a body whose `Content-Length` exceeds the limit.
fn check_body_size(headers: &HeaderMap, limit: u64) -> Result<(), Problem> {
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    match length {
        Some(length) if length > limit => {
            let detail =
                format!("request body of {length} bytes exceeds the limit of {limit} bytes");
            Err(Problem::not_run(Cause::BodyTooLarge, detail))
        }
        _ => Ok(()),
    }
}

async fn dispatch(daemon: &Arc<Daemon>, call: Call, payload: Payload) -> Reply {
    if call.spec.idempotent {
        return route(daemon, &call, payload).await;
    }
    match call.spec.key.as_deref().map(owner::parse) {
        None => route(daemon, &call, payload).await,
        Some(Ok(key)) => owner::forward(daemon, call, payload, key).await,
        Some(Err(problem)) => Reply::Problem(problem),
    }
}

/// Sends attempts until a target responds or no further attempt is allowed.
pub async fn route(daemon: &Arc<Daemon>, call: &Call, payload: Payload) -> Reply {
    let started = Instant::now();
    let mut trail = Trail::new(started);
    let reply = run_attempts(daemon, call, payload, &mut trail).await;
    access_log::log_request(daemon, call, &reply, trail.text(), started);
    reply
}

async fn run_attempts(
    daemon: &Arc<Daemon>,
    call: &Call,
    payload: Payload,
    trail: &mut Trail,
) -> Reply {
    let Some(shard) = daemon.shard(&call.spec.service) else {
        return Reply::Problem(no_target(call));
    };
    let repeat_share = daemon.admission.repeat_share();
    let attempts = {
        let spec = &call.spec;
        let mut router = shard.router();
        router.begin_call(spec.idempotent, call.deadline, spec.allowance, repeat_share)
    };
    let mut progress = Progress {
        call_id: daemon.next_call_id(),
        attempts,
        exclusions: Exclusions::default(),
        unavailable: None,
        last_problem: None,
        payload,
    };
    loop {
        let now = Instant::now();
        let picked = shard
            .router()
            .pick(progress.call_id, &progress.exclusions, now);
        let Some(pick) = picked else {
            return progress.into_reply(call);
        };
        let Some(body) = progress.payload.take() else {
            let now = Instant::now();
            let id = &pick.id;
            shard
                .router()
                .finish(id, progress.call_id, Completion::Cancelled, now);
            return progress.into_reply(call);
        };
        let dispatcher = Dispatcher {
            daemon,
            call,
            shard: &shard,
            call_id: progress.call_id,
        };
        let payload = &mut progress.payload;
        let exclusions = &progress.exclusions;
        let completion = dispatcher
            .run(pick, body, &mut progress.attempts, exclusions, payload)
            .await;
        trail.record(&completion.id, &completion.reply);
        if !progress.record(completion.reply, completion.id, &mut shard.router().budget) {
            return progress.into_reply(call);
        }
        daemon.metrics.count(metrics::ATTEMPTS_REPEATED, 1);
    }
}

/// State of the retry loop of one call.
struct Progress {
    /// Id of the call in the router.
    call_id: CallId,
    attempts: Attempts,
    /// Targets that failed or were full, which the next pick avoids.
    exclusions: Exclusions,
    /// Response of a target that was unavailable; returned if no other target responds.
    unavailable: Option<Response<Body>>,
    /// Problem of the latest failed attempt.
    last_problem: Option<Problem>,
    payload: Payload,
}

impl Progress {
    /// Records the result of an attempt; returns whether to send another one.
    fn record(&mut self, reply: Reply, id: InstanceId, budget: &mut Budget) -> bool {
        let failure = match &reply {
            Reply::Response(response) if is_unavailable(response) => Some(Failure::UNKNOWN),
            Reply::Response(_) => None,
            Reply::Problem(problem) if is_target_specific(problem) => Some(Failure::from(problem)),
            Reply::Problem(_) => None,
        };
        if reply.is_aborted() {
            self.attempts.record_aborted();
        }
        let is_temporary = |cause| matches!(cause, Cause::NoCapacity | Cause::TargetSlowed);
        if matches!(&reply, Reply::Problem(problem) if is_temporary(problem.cause)) {
            self.exclusions.full.push(id);
        } else {
            self.exclusions.failed.push(id);
        }
        match reply {
            Reply::Response(response) => self.unavailable = Some(response),
            Reply::Problem(problem) => self.last_problem = Some(problem),
        }
        let Some(failure) = failure else {
            return false;
        };
        self.payload.is_replayable() && self.attempts.should_retry(failure, budget, Instant::now())
    }

    /// Returns the final result: a response of a target if there is one, else the latest problem.
    fn into_reply(self, call: &Call) -> Reply {
        if let Some(response) = self.unavailable {
            return Reply::Response(response);
        }
        let problem = self.last_problem.unwrap_or_else(|| no_target(call));
        Reply::Problem(Problem {
            outcome: self.attempts.reported_outcome(problem.outcome),
            ..problem
        })
    }
}

/// Whether the target reports that it is unavailable; an idempotent request may then be retried at
/// another target.
pub fn is_unavailable(response: &Response<Body>) -> bool {
    matches!(
        response.status(),
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Whether the problem concerns one target only, so that another target may serve the request.
fn is_target_specific(problem: &Problem) -> bool {
    let expired_in_queue =
        problem.cause == Cause::DeadlinePassed && problem.outcome == Outcome::NotRun;
    problem.cause.is_target_specific() || expired_in_queue
}

fn no_target(call: &Call) -> Problem {
    let detail = format!(
        "no target of service '{}' accepts requests",
        call.spec.service
    );
    Problem::not_run(Cause::ServiceOut, detail)
}
