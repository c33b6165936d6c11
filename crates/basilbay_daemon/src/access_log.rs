//! Access log: one line per request at the daemon where it entered, and one at the daemon whose target
//! refused or failed it.
//!
//! Each kind of line has its own rate limiter, so that a burst of failures cannot flood the log; the
//! number of suppressed lines is logged instead.

use std::fmt::Write;
use std::time::Instant;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_events::rate::Limiter;
use basilbay_model::id::InstanceId;
use basilbay_wire::problem::{Outcome, Problem};

use crate::call::{Call, Caller};
use crate::daemon::Daemon;
use crate::response::Reply;

/// Rate limiters of the access log, one per kind of line.
#[derive(Debug, Default)]
pub struct Limiters {
    answered: Limiter,
    not_served: Limiter,
    failed_runs: Limiter,
    /// Limits the lines on callers that disconnected.
    pub abandoned: Limiter,
    /// Limits the lines on requests whose connection the daemon closed.
    pub dropped: Limiter,
}

impl Limiters {
    /// Logs how many lines were suppressed since the last call, if any.
    pub fn report(&self) {
        let suppressed = [
            self.answered.take_suppressed(),
            self.not_served.take_suppressed(),
            self.failed_runs.take_suppressed(),
            self.abandoned.take_suppressed(),
            self.dropped.take_suppressed(),
        ];
        if suppressed.iter().any(|count| *count > 0) {
            let [answered, not_served, failed_runs, abandoned, dropped] = suppressed;
            emit!(
                catalogue::LINES_LEFT_OUT,
                answered,
                not_served,
                run = failed_runs,
                left = abandoned,
                dropped
            );
        }
    }
}

/// The attempts of a request as text: target, result and elapsed time of each.
#[derive(Clone, Debug)]
pub struct Trail {
    started: Instant,
    text: String,
}

impl Trail {
    /// Creates an empty trail; times are relative to `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            text: String::new(),
        }
    }

    /// Appends the result of an attempt.
    pub fn record(&mut self, id: &InstanceId, reply: &Reply) {
        let elapsed_ms = self.started.elapsed().as_millis();
        let separator = if self.text.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = match reply {
            Reply::Response(response) => {
                let status = response.status().as_u16();
                write!(self.text, "{separator}{id}:{status}@{elapsed_ms}ms")
            }
            Reply::Problem(problem) => {
                let (cause, outcome) = (problem.cause.slug(), problem.outcome.as_str());
                write!(
                    self.text,
                    "{separator}{id}:{cause}/{outcome}@{elapsed_ms}ms"
                )
            }
        };
    }

    /// Returns the text for the log, attempts separated by spaces.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Returns the id that the log uses for a request: the caller's request id, or else the trace id.
pub fn request_id(daemon: &Daemon, call: &Call) -> String {
    let request_id = call.request_id(&daemon.dialect);
    match request_id.and_then(|value| value.to_str().ok()) {
        Some(id) => id.to_owned(),
        None => format!("{:032x}", call.trace.trace),
    }
}

/// Logs the result of a caller's request; `attempts` is the text of its [`Trail`], and `started` is
/// when the first attempt began.
pub fn log_request(daemon: &Daemon, call: &Call, reply: &Reply, attempts: &str, started: Instant) {
    let limiters = &daemon.log_limiters;
    let now = Instant::now();
    let took_ms = now.saturating_duration_since(started).as_millis() as u64;
    let remaining_ms = call.timeout_ms(now);
    match reply {
        Reply::Response(response) if limiters.answered.try_acquire(now) => {
            emit!(
                catalogue::REQUEST_ANSWERED,
                request = request_id(daemon, call),
                service = %call.spec.service,
                kind = %call.spec.kind,
                caller = ?call.caller.map(|caller| caller.address),
                connection = call.caller.map(|caller| caller.connection),
                status = response.status().as_u16(),
                took_ms,
                left_ms = remaining_ms,
                tries = attempts,
                config = daemon.view().config.version,
            );
        }
        Reply::Problem(problem) if limiters.not_served.try_acquire(now) => {
            emit!(
                catalogue::REQUEST_NOT_SERVED,
                request = request_id(daemon, call),
                service = %call.spec.service,
                kind = %call.spec.kind,
                connection = call.caller.map(|caller| caller.connection),
                cause = problem.cause.slug(),
                outcome = problem.outcome.as_str(),
                detail = %problem.detail,
                took_ms,
                left_ms = remaining_ms,
                tries = attempts,
                config = daemon.view().config.version,
                roster = daemon.view().roster.version,
            );
        }
        _ => {}
    }
}

/// Logs a request that was refused before it could be parsed and classified. `request` is its request
/// id; empty if the caller sent none.
pub fn log_unparsed(daemon: &Daemon, caller: Caller, request: &str, problem: &Problem) {
    if daemon.log_limiters.not_served.try_acquire(Instant::now()) {
        emit!(
            catalogue::REQUEST_NOT_SERVED,
            request,
            connection = caller.connection,
            cause = problem.cause.slug(),
            outcome = problem.outcome.as_str(),
            detail = %problem.detail,
            config = daemon.view().config.version,
        );
    }
}

/// Logs that the local target did not run a request or gave no complete response.
pub fn log_failed_run(daemon: &Daemon, call: &Call, problem: &Problem) {
    if !daemon.log_limiters.failed_runs.try_acquire(Instant::now()) {
        return;
    }
    let load = daemon.admission.load();
    let event = match problem.outcome {
        Outcome::NotRun => catalogue::RUN_REFUSED,
        Outcome::Unknown => catalogue::RUN_FAILED,
    };
    emit!(
        event,
        request = request_id(daemon, call),
        kind = %call.spec.kind,
        cause = problem.cause.slug(),
        detail = %problem.detail,
        state = ?load.state,
        running = load.in_flight,
        limit = load.limit,
        waiting = load.queued,
        left_ms = call.timeout_ms(Instant::now()),
    );
}
