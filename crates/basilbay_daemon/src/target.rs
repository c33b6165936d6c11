//! Target role: admits requests to the local target and forwards them.
//!
//! A request holds a permit of the [`crate::admission`] module and a connection of the pool until the
//! response body ends. A response that cannot belong to the request becomes a problem.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use basilbay_admission::gate::Completion;
use basilbay_keys::suspect::{Disposition, Run};
use basilbay_wire::header;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::access_log;
use crate::admission::{Permit, Requirements};
use crate::body::{self, Body};
use crate::call::{Call, Options};
use crate::daemon::Daemon;
use crate::pool::{Connection, Failure};
use crate::response::{self, Reply};

/// Time after the deadline for which a caller may still read a response that the target has sent.
const SLOW_READER_GRACE: Duration = Duration::from_secs(10);

/// Runs a request on the local target once it is admitted.
pub async fn run(daemon: &Arc<Daemon>, call: &Call, options: Options, body: Body) -> Reply {
    let reply = match admit(daemon, call, options).await {
        Ok((permit, run)) => {
            let reply = forward(daemon, call, options.allowance, body, permit, run).await;
            if matches!(&reply, Reply::Problem(problem) if problem.outcome == Outcome::NotRun) {
                daemon.suspects.cancel_trial(run);
            }
            reply
        }
        Err(problem) => Reply::Problem(problem),
    };
    if let Reply::Problem(problem) = &reply {
        access_log::log_failed_run(daemon, call, problem);
    }
    reply
}

async fn admit(
    daemon: &Arc<Daemon>,
    call: &Call,
    options: Options,
) -> Result<(Permit, Run), Problem> {
    let service = &daemon.settings.service;
    if call.spec.service != *service {
        let detail = format!(
            "this daemon serves service '{service}', not '{}'",
            call.spec.service
        );
        return Err(Problem::not_run(Cause::ServiceOut, detail));
    }
    let suspects = &daemon.suspects;
    let disposition = suspects.check(daemon, call.fingerprint, Instant::now());
    if disposition == Disposition::Refused {
        return Err(poisoned());
    }
    let requirements = Requirements {
        weight: call.spec.weight,
        deadline: call.deadline,
        goal_at: call.goal_at,
        suspect: options.suspect || disposition.is_isolated(),
        may_wait: options.may_wait,
    };
    check_serving(daemon)?;
    let permit = daemon.admission.acquire(requirements).await?;
    // The process may have been paused while the request was queued.
    if let Err(problem) = check_serving(daemon) {
        permit.finish(Completion::Cancelled);
        return Err(problem);
    }
    // A crash may have been reported while the request was queued.
    let mut run = suspects.begin(daemon, call, options.aborted);
    if run.disposition.is_isolated() && !requirements.suspect {
        // The request became a suspect while it was queued, so others may run beside it.
        suspects.cancel_trial(run);
        run.disposition = match run.disposition {
            Disposition::Isolated => Disposition::Unrestricted,
            _ => Disposition::Refused,
        };
    }
    if run.disposition == Disposition::Refused {
        permit.finish(Completion::Cancelled);
        return Err(poisoned());
    }
    permit.record_run(run, options.repeat);
    Ok((permit, run))
}

fn poisoned() -> Problem {
    let detail = "targets crashed twice while they ran this request";
    Problem::not_run(Cause::Poisoned, detail)
}

/// Refuses requests while the configuration and roster of this daemon may be stale.
fn check_serving(daemon: &Daemon) -> Result<(), Problem> {
    if daemon.serving.may_serve(Instant::now()) {
        return Ok(());
    }
    let detail = "the daemon has not confirmed its configuration and roster";
    Err(Problem::not_run(Cause::Unconfirmed, detail))
}

async fn forward(
    daemon: &Arc<Daemon>,
    call: &Call,
    allowance: u8,
    body: Body,
    permit: Permit,
    run: Run,
) -> Reply {
    let trace = call.trace.child(daemon.next_seed());
    let target = daemon.local_target();
    let request = call.target_request(allowance, target.run.as_ref(), &daemon.dialect, trace, body);
    let deadline = call.deadline;
    let sent_at = Instant::now();
    let sent = tokio::time::timeout_at(deadline.into(), daemon.pool.send(request));
    let (response, connection) = match sent.await {
        Ok(Ok(received)) => received,
        Ok(Err(Failure::NotSent(error))) => {
            permit.retract_run();
            daemon.health.check_after_disconnect(daemon).await;
            permit.finish(Completion::Reset);
            let detail = format!("request not sent to the target: {error:#}");
            return Reply::Problem(Problem::not_run(Cause::TargetFailed, detail));
        }
        Ok(Err(Failure::Interrupted(error))) => {
            daemon.health.check_after_disconnect(daemon).await;
            permit.finish(Completion::Reset);
            let detail = format!("the target closed the connection before it responded: {error:#}");
            return Reply::Problem(Problem::unknown(Cause::TargetFailed, detail));
        }
        Err(_) => {
            let detail = "the target did not respond before the deadline";
            return Reply::Problem(Problem::unknown(Cause::DeadlinePassed, detail));
        }
    };
    if let Some(sample) = daemon.dialect.load_sample(response.headers()) {
        daemon.admission.observe_slowdown(sample.slowdown_percent);
    }
    // Checked first: a late copy of an earlier refusal says nothing about this request.
    if let Some(problem) = mismatch(daemon, call, &response) {
        permit.finish(Completion::Cancelled);
        return Reply::Problem(problem);
    }
    // Status 421 comes from another run, whose statements do not concern this one.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        let sent_by_target = target.has_sent(response.headers(), &daemon.dialect);
        daemon.observe_run(&target, sent_by_target.unwrap_or(target.run.is_none()));
    } else {
        daemon.observe_notice(response.headers(), sent_at);
    }
    if let Some(problem) = refusal(daemon, &response) {
        // The rest of the response is not read, so the connection is dropped with it.
        permit.finish(Completion::Failed);
        return Reply::Problem(problem);
    }
    if let Some(problem) = unsealed(daemon, &response) {
        permit.finish(Completion::Cancelled);
        return Reply::Problem(problem);
    }
    let reply = relay_response(daemon, response, connection, permit, run, deadline).await;
    if matches!(&reply, Reply::Problem(problem) if problem.cause == Cause::TargetFailed) {
        daemon.health.check_after_disconnect(daemon).await;
    }
    daemon.publish_load();
    reply
}

/// Returns the problem if the response states that the target did not run the request.
fn refusal(daemon: &Daemon, response: &Response<Incoming>) -> Option<Problem> {
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        let found = response.headers().get(&daemon.dialect.responding_run);
        let detail = format!("the target's address now belongs to another run: {found:?}");
        return Some(Problem::not_run(Cause::Misdirected, detail));
    }
    if !response.headers().contains_key(&daemon.dialect.not_run) {
        return None;
    }
    let cause = match status {
        StatusCode::BAD_REQUEST => Cause::BadRequest,
        _ => Cause::TargetBusy,
    };
    let detail = format!("the target refused the request without running it: {status}");
    Some(Problem::not_run(cause, detail))
}

/// Returns the problem if the response cannot be the target's response to this request.
fn mismatch(daemon: &Daemon, call: &Call, response: &Response<Incoming>) -> Option<Problem> {
    let dialect = &daemon.dialect;
    let headers = response.headers();
    let sent = call.request_id(dialect)?;
    let detail = match headers.get(&dialect.request_id) {
        Some(returned) if returned == sent => return None,
        Some(returned) => format!("the target responded to another request: {returned:?}"),
        None if dialect.echoes_request_id => "the target's response has no request id".to_owned(),
        None => return None,
    };
    Some(Problem::unknown(Cause::TargetFailed, detail))
}

/// Returns the problem if the response claims success without the header that the target adds to
/// every complete response.
fn unsealed(daemon: &Daemon, response: &Response<Incoming>) -> Option<Problem> {
    let seal = daemon.dialect.seal.as_ref()?;
    if !response.status().is_success() || response.headers().contains_key(seal) {
        return None;
    }
    let detail = format!("the target's response has no {seal} header");
    Some(Problem::unknown(Cause::TargetFailed, detail))
}

async fn relay_response(
    daemon: &Arc<Daemon>,
    response: Response<Incoming>,
    connection: Connection,
    permit: Permit,
    run: Run,
    deadline: Instant,
) -> Reply {
    let is_bufferable = response::is_bufferable(&response);
    let (mut parts, incoming) = response.into_parts();
    response::strip_hop_by_hop_headers(&mut parts.headers);
    for name in [header::OUTCOME, header::LOAD, header::REPLAYED] {
        parts.headers.remove(name);
    }
    parts.headers.remove(&daemon.dialect.load);
    let completion = if parts.status.is_server_error() {
        Completion::Failed
    } else {
        Completion::Answered
    };
    let tracked = Tracked {
        completion,
        incoming,
        held: Some((connection, permit)),
        daemon: daemon.clone(),
        run,
        limit: (!is_bufferable).then(|| Limit::new(deadline)),
    };
    if !is_bufferable {
        return Reply::Response(Response::from_parts(parts, tracked.boxed_unsync()));
    }
    match tokio::time::timeout_at(deadline.into(), tracked.collect()).await {
        Ok(Ok(collected)) => {
            let body = body::full(collected.to_bytes());
            Reply::Response(Response::from_parts(parts, body))
        }
        Ok(Err(error)) => {
            let detail = format!("the target's response ended early: {error}");
            Reply::Problem(Problem::unknown(Cause::TargetFailed, detail))
        }
        Err(_) => {
            let detail = "the target's response was not complete before the deadline";
            Reply::Problem(Problem::unknown(Cause::DeadlinePassed, detail))
        }
    }
}

/// A response body that holds the permit and the connection until it ends.
struct Tracked {
    incoming: Incoming,
    completion: Completion,
    held: Option<(Connection, Permit)>,
    daemon: Arc<Daemon>,
    run: Run,
    /// When a streamed body ends at the latest; `None` for one that is collected.
    limit: Option<Limit>,
}

/// Time limit of a streamed response body, so that a body without end does not hold its slot
/// forever.
struct Limit {
    deadline: Instant,
    /// Wakes the task while the target sends nothing.
    timer: Pin<Box<Sleep>>,
}

impl Limit {
    fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            timer: Box::pin(tokio::time::sleep_until(deadline.into())),
        }
    }

    /// Whether the body must end. Bytes that the target has sent already are forwarded for another
    /// [`SLOW_READER_GRACE`], since the caller may still be reading.
    fn is_exceeded(&mut self, is_pending: bool, context: &mut Context<'_>) -> bool {
        if is_pending {
            return self.timer.as_mut().poll(context).is_ready();
        }
        Instant::now() >= self.deadline + SLOW_READER_GRACE
    }
}

impl Tracked {
    fn finish(&mut self) {
        if let Some((connection, permit)) = self.held.take() {
            let daemon = &self.daemon;
            daemon.pool.release(connection);
            permit.finish(self.completion);
            daemon
                .suspects
                .record_completion(daemon, self.run, Instant::now());
        }
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<body::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        let is_pending = polled.is_pending();
        let limit = self.limit.as_mut();
        if limit.is_some_and(|limit| limit.is_exceeded(is_pending, context)) {
            self.held = None;
            let error = "the target's response was not complete before the deadline";
            return Poll::Ready(Some(Err(error.into())));
        }
        match polled {
            Poll::Ready(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                if self.incoming.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                if let Some((_, permit)) = self.held.take() {
                    let daemon = self.daemon.clone();
                    // The request counts as running during the check, since it may be the cause.
                    tokio::spawn(async move {
                        daemon.health.check_after_disconnect(&daemon).await;
                        permit.finish(Completion::Reset);
                    });
                }
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        // The inner body may already be at its end, but only polling that end returns the connection to
        // the pool.
        self.held.is_none() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
