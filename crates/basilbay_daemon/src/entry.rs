//! Entry role: takes a caller's request, finds a target for it and answers.

use std::net::IpAddr;
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
use basilbay_routing::retry::{Attempts, Budget};
use basilbay_routing::router::{Ending, Exclusions};
use basilbay_wire::header;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::access_log::{self, Trail};
use crate::attempt::Dispatcher;
use crate::body::{Body, Payload};
use crate::call::Call;
use crate::daemon::Daemon;
use crate::home;
use crate::request;
use crate::response::{self, Reply};
use crate::trace::Context;

/// Serves a request of a caller.
pub async fn serve(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Response<Body> {
    let received_at = Instant::now();
    let stated = request.headers().get(&daemon.dialect.request_id).cloned();
    let reply = match receive(daemon, request, caller).await {
        Ok((call, body)) => {
            let span = call.span("entry", &daemon.settings.id);
            dispatch(daemon, call, body).instrument(span).await
        }
        Err(problem) => {
            let id = stated.as_ref().and_then(|value| value.to_str().ok());
            access_log::log_unparsed(daemon, id.unwrap_or_default(), &problem);
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
            tracing::debug!(%problem, "answered with a problem");
            response::from_problem(&problem, &daemon.settings.id, &daemon.dialect)
        }
    }
}

async fn receive(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<(Call, Payload), Problem> {
    let now = Instant::now();
    let (parts, incoming) = request.into_parts();
    if !daemon.serving.may_serve(now) {
        let problem = Problem::not_run(Cause::Unconfirmed, "the daemon is confirming its view");
        // Of a key only its home knows whether an earlier send ran.
        let is_keyed = parts.headers.contains_key(header::IDEMPOTENCY_KEY);
        return Err(if is_keyed {
            problem.into_unknown()
        } else {
            problem
        });
    }
    let view = daemon.view();
    let spec = request::parse(&parts, &view.config, &daemon.dialect, daemon.next_seed())?;
    check_body(&parts.headers, view.config.limits.body_bytes)?;
    let trace = Context::from_headers(&parts.headers, daemon.next_seed()).child(daemon.next_seed());
    let mut call = Call::new(parts, spec, trace, now);
    call.caller = Some(caller);
    let headers = &mut call.headers;
    headers.remove(&daemon.dialect.expected_run);
    let caller = &daemon.settings.service;
    response::insert_header(headers, daemon.dialect.caller_service.as_str(), caller);
    let body = Payload::read_until(incoming, call.deadline)
        .await
        .map_err(|problem| call.spec.refuse_send(problem))?;
    call.fingerprint = suspect::fingerprint(
        &call.spec.service,
        call.method.as_str(),
        call.path.as_str(),
        call.spec.key.as_deref(),
        body.prefix(),
    );
    Ok((call, body))
}

/// Refuses a body that is stated to be larger than the limits allow.
fn check_body(headers: &HeaderMap, most: u64) -> Result<(), Problem> {
    let stated = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    match stated {
        Some(length) if length > most => {
            let detail = format!("{length} bytes of body; at most {most}");
            Err(Problem::not_run(Cause::BodyTooLarge, detail))
        }
        _ => Ok(()),
    }
}

async fn dispatch(daemon: &Arc<Daemon>, call: Call, body: Payload) -> Reply {
    if call.spec.idempotent {
        return route(daemon, &call, body).await;
    }
    match call.spec.key.as_deref().map(home::parse) {
        None => route(daemon, &call, body).await,
        Some(Ok(key)) => home::route(daemon, call, body, key).await,
        Some(Err(problem)) => Reply::Problem(problem),
    }
}

/// Tries targets until one answers or no further attempt is allowed.
pub async fn route(daemon: &Arc<Daemon>, call: &Call, body: Payload) -> Reply {
    let started = Instant::now();
    let mut trail = Trail::new(started);
    let reply = attempt(daemon, call, body, &mut trail).await;
    access_log::log_request(daemon, call, &reply, trail.text(), started);
    reply
}

async fn attempt(daemon: &Arc<Daemon>, call: &Call, body: Payload, trail: &mut Trail) -> Reply {
    let Some(shard) = daemon.shard(&call.spec.service) else {
        return Reply::Problem(no_target(call));
    };
    let attempts =
        shard
            .router()
            .begin_call(call.spec.idempotent, call.deadline, call.spec.allowance);
    let mut progress = Progress {
        call_id: daemon.next_call_id(),
        attempts,
        tried: Exclusions::default(),
        answer: None,
        last: None,
        body,
    };
    loop {
        let now = Instant::now();
        let picked = shard.router().pick(progress.call_id, &progress.tried, now);
        let Some(pick) = picked else {
            return progress.give_up(call);
        };
        let Some(taken) = progress.body.take() else {
            let now = Instant::now();
            let id = &pick.id;
            shard
                .router()
                .finish(id, progress.call_id, Ending::Abandoned, now);
            return progress.give_up(call);
        };
        let dispatcher = Dispatcher {
            daemon,
            call,
            shard: &shard,
            call_id: progress.call_id,
        };
        let body = &mut progress.body;
        let ended = dispatcher
            .run(pick, taken, &mut progress.attempts, body)
            .await;
        trail.note(&ended.id, &ended.reply);
        if !progress.goes_on(ended.reply, ended.id, &mut shard.router().budget) {
            return progress.give_up(call);
        }
        daemon.metrics.count(metrics::ATTEMPTS_REPEATED, 1);
    }
}

/// The attempts of one call so far.
struct Progress {
    call_id: CallId,
    attempts: Attempts,
    tried: Exclusions,
    /// Answer of a target that could not serve, for when no other target does better.
    answer: Option<Response<Body>>,
    last: Option<Problem>,
    body: Payload,
}

impl Progress {
    /// Takes the end of an attempt; false when it is the last one.
    fn goes_on(&mut self, reply: Reply, id: InstanceId, budget: &mut Budget) -> bool {
        let outcome = match &reply {
            Reply::Response(response) if is_unavailable(response) => Some(Outcome::Unknown),
            Reply::Response(_) => None,
            Reply::Problem(problem) if is_local(problem) => Some(problem.outcome),
            Reply::Problem(_) => None,
        };
        if reply.is_aborted() {
            self.attempts.record_broken();
        }
        let burdens =
            matches!(&reply, Reply::Problem(problem) if problem.cause == Cause::TargetBusy);
        let is_passing = |cause| matches!(cause, Cause::NoCapacity | Cause::TargetSlowed);
        if matches!(&reply, Reply::Problem(problem) if is_passing(problem.cause)) {
            self.tried.full.push(id);
        } else {
            self.tried.failed.push(id);
        }
        match reply {
            Reply::Response(response) => self.answer = Some(response),
            Reply::Problem(problem) => self.last = Some(problem),
        }
        let Some(outcome) = outcome else {
            return false;
        };
        // A target that turned the request away itself was burdened by it all the same.
        let is_paid = !burdens || budget.withdraw(Instant::now());
        is_paid
            && self.body.is_replayable()
            && self.attempts.should_retry(outcome, budget, Instant::now())
    }

    /// The last word to the caller: an answer of a target if there is one.
    fn give_up(self, call: &Call) -> Reply {
        if let Some(response) = self.answer {
            return Reply::Response(response);
        }
        let problem = self.last.unwrap_or_else(|| no_target(call));
        Reply::Problem(Problem {
            outcome: self.attempts.reported_outcome(problem.outcome),
            ..problem
        })
    }
}

/// Whether the target itself says that it cannot serve; an idempotent request may try another.
pub fn is_unavailable(response: &Response<Body>) -> bool {
    matches!(
        response.status(),
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Whether another target may do better.
fn is_local(problem: &Problem) -> bool {
    let found_full = problem.cause == Cause::DeadlinePassed && problem.outcome == Outcome::NotRun;
    problem.cause.is_target_specific() || found_full
}

fn no_target(call: &Call) -> Problem {
    let detail = format!("no target of service '{}' takes work", call.spec.service);
    Problem::not_run(Cause::ServiceOut, detail)
}
