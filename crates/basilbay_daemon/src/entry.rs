//! Entry role: takes a caller's request, finds a target for it and answers.

use std::sync::Arc;
use std::time::Instant;

use http::{Request, Response};
use hyper::body::Incoming;

use basilbay_model::id::InstanceId;
use basilbay_routing::retry::Attempts;
use basilbay_routing::router::Ending;
use basilbay_wire::hop::Role;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::answer::{self, Reply};
use crate::body::{Body, Received};
use crate::daemon::{Daemon, View};
use crate::errand::Errand;
use crate::hop::{self, Return};
use crate::intake;
use crate::target;
use crate::trace::Context;

/// Serves a request of a caller.
pub async fn serve(daemon: &Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let reply = match receive(daemon, request).await {
        Ok((errand, body)) => route(daemon, &errand, body).await,
        Err(problem) => Reply::Problem(problem),
    };
    match reply {
        Reply::Answer(response) => response,
        Reply::Problem(problem) => {
            tracing::debug!(%problem, "answered with a problem");
            answer::of_problem(&problem, &daemon.settings.id)
        }
    }
}

async fn receive(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
) -> Result<(Errand, Received), Problem> {
    let now = Instant::now();
    let (parts, incoming) = request.into_parts();
    let intake = intake::read(&parts, &daemon.view().config)?;
    let trace = Context::from_headers(&parts.headers, daemon.draw()).child(daemon.draw());
    let errand = Errand::new(parts, intake, trace, now);
    let reading = Received::read(incoming);
    match tokio::time::timeout_at(errand.deadline.into(), reading).await {
        Ok(Ok(body)) => Ok((errand, body)),
        Ok(Err(error)) => {
            let detail = format!("the request's body broke off: {error}");
            Err(Problem::not_run(Cause::BadRequest, detail))
        }
        Err(_) => {
            let detail = "the request's body was not complete before the deadline";
            Err(Problem::not_run(Cause::DeadlinePassed, detail))
        }
    }
}

/// Tries targets until one answers or no further attempt is allowed.
pub async fn route(daemon: &Arc<Daemon>, errand: &Errand, mut body: Received) -> Reply {
    let Some(router) = daemon.router(&errand.intake.service) else {
        let detail = format!("no targets of service '{}'", errand.intake.service);
        return Reply::Problem(Problem::not_run(Cause::ServiceOut, detail));
    };
    let call = daemon.next_call();
    let mut attempts = router.lock().attempts(
        errand.intake.idempotent,
        errand.deadline,
        errand.intake.allowance,
    );
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut last = None;
    loop {
        let picked = router.lock().pick(call, &tried, Instant::now());
        let Some(id) = picked else {
            return Reply::Problem(last.unwrap_or_else(|| no_target(errand)));
        };
        let Some(taken) = body.take() else {
            router
                .lock()
                .end(&id, call, Ending::Abandoned, Instant::now());
            return Reply::Problem(last.unwrap_or_else(|| no_target(errand)));
        };
        let view = daemon.view();
        let returned = attempt(daemon, &view, errand, &id, &attempts, taken).await;
        let ending = ending_of(&returned);
        let now = Instant::now();
        let problem = {
            let mut router = router.lock();
            router.end(&id, call, ending, now);
            if let Some(load) = &returned.load {
                router.hear(&id, load, now);
            }
            match returned.reply {
                Reply::Answer(response) => return Reply::Answer(response),
                Reply::Problem(problem) => {
                    if !may_retry(&problem, &body, &mut attempts, &mut router.budget, now) {
                        return Reply::Problem(problem);
                    }
                    problem
                }
            }
        };
        tried.push(id);
        last = Some(problem);
    }
}

fn may_retry(
    problem: &Problem,
    body: &Received,
    attempts: &mut Attempts,
    budget: &mut basilbay_routing::retry::Budget,
    now: Instant,
) -> bool {
    body.is_kept() && problem.cause.is_local() && attempts.again(problem.outcome, budget, now)
}

async fn attempt(
    daemon: &Arc<Daemon>,
    view: &View,
    errand: &Errand,
    id: &InstanceId,
    attempts: &Attempts,
    body: Body,
) -> Return {
    let allowance = attempts.allowance.passed_on();
    if *id == daemon.settings.id {
        return Return {
            reply: target::run(daemon, errand, allowance, body).await,
            load: Some(daemon.admission.load()),
            is_reachable: true,
        };
    }
    match view.roster.instance(id) {
        Some(instance) => {
            let address = instance.peer;
            hop::send(daemon, errand, id, address, Role::Run, allowance, body).await
        }
        None => Return {
            reply: Reply::Problem(Problem::not_run(
                Cause::PeerFailed,
                format!("{id} left the instance list"),
            )),
            load: None,
            is_reachable: false,
        },
    }
}

fn ending_of(returned: &Return) -> Ending {
    match &returned.reply {
        Reply::Answer(_) => Ending::Answered,
        Reply::Problem(problem) if problem.cause == Cause::DeadlinePassed => Ending::Abandoned,
        Reply::Problem(problem)
            if !returned.is_reachable || problem.outcome == Outcome::Unknown =>
        {
            Ending::Failed
        }
        Reply::Problem(_) => Ending::Refused,
    }
}

fn no_target(errand: &Errand) -> Problem {
    let detail = format!(
        "no target of service '{}' takes work",
        errand.intake.service
    );
    Problem::not_run(Cause::ServiceOut, detail)
}
