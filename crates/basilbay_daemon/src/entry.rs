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

use crate::answer::{self, Reply};
use crate::attempt::Route;
use crate::body::{Body, Received};
use crate::daemon::Daemon;
use crate::errand::Errand;
use crate::home;
use crate::intake;
use crate::record::{self, Trail};
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
        Ok((errand, body)) => {
            let span = errand.span("entry", &daemon.settings.id);
            dispatch(daemon, errand, body).instrument(span).await
        }
        Err(problem) => {
            let id = stated.as_ref().and_then(|value| value.to_str().ok());
            record::unread(daemon, id.unwrap_or_default(), &problem);
            Reply::Problem(problem)
        }
    };
    let outcome = match &reply {
        Reply::Answer(_) => metrics::CALLS_ANSWERED,
        Reply::Problem(problem) if problem.outcome == Outcome::NotRun => metrics::CALLS_NOT_RUN,
        Reply::Problem(_) => metrics::CALLS_UNKNOWN,
    };
    daemon.metrics.count(outcome, 1);
    daemon
        .metrics
        .time(metrics::CALL_TIME, received_at.elapsed());
    match reply {
        Reply::Answer(response) => response,
        Reply::Problem(problem) => {
            tracing::debug!(%problem, "answered with a problem");
            answer::of_problem(&problem, &daemon.settings.id, &daemon.dialect)
        }
    }
}

async fn receive(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<(Errand, Received), Problem> {
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
    let intake = intake::read(&parts, &view.config, &daemon.dialect, daemon.next_seed())?;
    check_body(&parts.headers, view.config.limits.body_bytes)?;
    let trace = Context::from_headers(&parts.headers, daemon.next_seed()).child(daemon.next_seed());
    let mut errand = Errand::new(parts, intake, trace, now);
    errand.caller = Some(caller);
    let headers = &mut errand.headers;
    headers.remove(&daemon.dialect.expected_run);
    let caller = &daemon.settings.service;
    answer::put(headers, daemon.dialect.caller_service.as_str(), caller);
    let body = Received::read_until(incoming, errand.deadline)
        .await
        .map_err(|problem| errand.intake.of_this_send(problem))?;
    errand.fingerprint = suspect::fingerprint(
        &errand.intake.service,
        errand.method.as_str(),
        errand.path.as_str(),
        errand.intake.key.as_deref(),
        body.prefix(),
    );
    Ok((errand, body))
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

async fn dispatch(daemon: &Arc<Daemon>, errand: Errand, body: Received) -> Reply {
    if errand.intake.idempotent {
        return route(daemon, &errand, body).await;
    }
    match errand.intake.key.as_deref().map(home::parse) {
        None => route(daemon, &errand, body).await,
        Some(Ok(key)) => home::route(daemon, errand, body, key).await,
        Some(Err(problem)) => Reply::Problem(problem),
    }
}

/// Tries targets until one answers or no further attempt is allowed.
pub async fn route(daemon: &Arc<Daemon>, errand: &Errand, body: Received) -> Reply {
    let started = Instant::now();
    let mut trail = Trail::new(started);
    let reply = attempt(daemon, errand, body, &mut trail).await;
    record::request(daemon, errand, &reply, trail.text(), started);
    reply
}

async fn attempt(
    daemon: &Arc<Daemon>,
    errand: &Errand,
    body: Received,
    trail: &mut Trail,
) -> Reply {
    let Some(shard) = daemon.shard(&errand.intake.service) else {
        return Reply::Problem(no_target(errand));
    };
    let attempts = shard.router().begin_call(
        errand.intake.idempotent,
        errand.deadline,
        errand.intake.allowance,
    );
    let mut course = Course {
        call: daemon.next_call_id(),
        attempts,
        tried: Exclusions::default(),
        answer: None,
        last: None,
        body,
    };
    loop {
        let now = Instant::now();
        let picked = shard.router().pick(course.call, &course.tried, now);
        let Some(pick) = picked else {
            return course.give_up(errand);
        };
        let Some(taken) = course.body.take() else {
            let now = Instant::now();
            let id = &pick.id;
            shard
                .router()
                .finish(id, course.call, Ending::Abandoned, now);
            return course.give_up(errand);
        };
        let route = Route {
            daemon,
            errand,
            shard: &shard,
            call: course.call,
        };
        let body = &mut course.body;
        let ended = route.run(pick, taken, &mut course.attempts, body).await;
        trail.note(&ended.id, &ended.reply);
        if !course.goes_on(ended.reply, ended.id, &mut shard.router().budget) {
            return course.give_up(errand);
        }
        daemon.metrics.count(metrics::ATTEMPTS_REPEATED, 1);
    }
}

/// The attempts of one call so far.
struct Course {
    call: CallId,
    attempts: Attempts,
    tried: Exclusions,
    /// Answer of a target that could not serve, for when no other target does better.
    answer: Option<Response<Body>>,
    last: Option<Problem>,
    body: Received,
}

impl Course {
    /// Takes the end of an attempt; false when it is the last one.
    fn goes_on(&mut self, reply: Reply, id: InstanceId, budget: &mut Budget) -> bool {
        let outcome = match &reply {
            Reply::Answer(response) if is_overloaded(response) => Some(Outcome::Unknown),
            Reply::Answer(_) => None,
            Reply::Problem(problem) if is_local(problem) => Some(problem.outcome),
            Reply::Problem(_) => None,
        };
        if reply.is_broken() {
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
            Reply::Answer(response) => self.answer = Some(response),
            Reply::Problem(problem) => self.last = Some(problem),
        }
        let Some(outcome) = outcome else {
            return false;
        };
        // A target that turned the request away itself was burdened by it all the same.
        let is_paid = !burdens || budget.withdraw(Instant::now());
        is_paid
            && self.body.is_kept()
            && self.attempts.should_retry(outcome, budget, Instant::now())
    }

    /// The last word to the caller: an answer of a target if there is one.
    fn give_up(self, errand: &Errand) -> Reply {
        if let Some(response) = self.answer {
            return Reply::Answer(response);
        }
        let problem = self.last.unwrap_or_else(|| no_target(errand));
        Reply::Problem(Problem {
            outcome: self.attempts.reported_outcome(problem.outcome),
            ..problem
        })
    }
}

/// Whether the target itself says that it cannot serve; an idempotent request may try another.
pub fn is_overloaded(response: &Response<Body>) -> bool {
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

fn no_target(errand: &Errand) -> Problem {
    let detail = format!(
        "no target of service '{}' takes work",
        errand.intake.service
    );
    Problem::not_run(Cause::ServiceOut, detail)
}
