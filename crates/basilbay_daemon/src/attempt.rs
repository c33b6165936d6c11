//! One attempt of a call, with an optional hedge.
//!
//! An attempt sends the request to the target that the router picked, and returns the response or a
//! problem. If that target is late, the request is hedged: it is sent to a second target as well, and
//! the first response wins.

use std::sync::Arc;
use std::time::Instant;

use basilbay_events::metrics;
use basilbay_model::id::InstanceId;
use basilbay_routing::cluster::CallId;
use basilbay_routing::retry::{Attempts, Failure};
use basilbay_routing::router::{self, Exclusions, Pick};
use basilbay_wire::hop::Role;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::body::{Body, Payload};
use crate::call::{Call, Options};
use crate::daemon::{Daemon, Shard};
use crate::entry;
use crate::hop::{self, Exchange};
use crate::link::Repeat;
use crate::response::Reply;
use crate::target;

/// Result of an attempt at one target.
pub struct Completion {
    /// Instance that the request was sent to.
    pub id: InstanceId,
    /// Response or problem.
    pub reply: Reply,
}

impl Completion {
    fn is_response(&self) -> bool {
        matches!(&self.reply, Reply::Response(response) if !entry::is_unavailable(response))
    }

    fn failure(&self) -> Failure {
        match &self.reply {
            Reply::Response(_) => Failure::UNKNOWN,
            Reply::Problem(problem) => Failure::from(problem),
        }
    }
}

/// Sends the attempts of one call.
#[derive(Clone, Copy)]
pub struct Dispatcher<'a> {
    /// Daemon that sends the attempts.
    pub daemon: &'a Arc<Daemon>,
    /// The request.
    pub call: &'a Call,
    /// State of the service that is called.
    pub shard: &'a Shard,
    /// Id of the call in the router.
    pub call_id: CallId,
}

impl<'a> Dispatcher<'a> {
    /// Sends the request to the picked target, and hedges it if the first target is late; neither is
    /// sent to the excluded targets.
    ///
    /// A noisy neighbour can delay a request by tens of milliseconds after it has started, which target
    /// selection cannot foresee. The first response is taken and the other request cancelled.
    pub async fn run(
        self,
        pick: Pick,
        body: Body,
        attempts: &mut Attempts,
        exclusions: &Exclusions,
        payload: &mut Payload,
    ) -> Completion {
        let may_hedge = attempts.idempotent && payload.is_complete();
        let may_repeat = attempts.idempotent && payload.is_replayable();
        let delay = self.shard.router().hedge_delay().filter(|_| may_hedge);
        let first_id = pick.id.clone();
        let aborted = self.was_aborted();
        let options = Options {
            role: Role::Run,
            allowance: attempts.allowance.downstream(),
            may_wait: pick.may_wait,
            suspect: attempts.may_have_run() || aborted,
            aborted,
            repeat: attempts.is_repeat(),
        };
        let first = self.attempt(pick, attempts, options, body, may_repeat);
        let Some(delay) = delay else {
            return first.await;
        };
        tokio::pin!(first);
        if let Ok(completion) = tokio::time::timeout(delay, &mut first).await {
            return completion;
        }
        let Some((pick, body)) = self.hedge(&first_id, attempts, exclusions, payload) else {
            return first.await;
        };
        // A request that crashes targets may run beside this one and be hedged as well. The hedge is
        // marked as suspect, so that the two do not share a second target: after two shared crashes it
        // would be impossible to determine which of them is the cause.
        let options = Options {
            allowance: attempts.allowance.downstream(),
            may_wait: pick.may_wait,
            suspect: true,
            repeat: true,
            ..options
        };
        let second = self.attempt(pick, attempts, options, body, may_repeat);
        tokio::pin!(second);
        let (first_done, last_done) = tokio::select! {
            completion = &mut first => {
                if completion.is_response() {
                    return completion;
                }
                (completion, second.await)
            }
            completion = &mut second => {
                if completion.is_response() {
                    return completion;
                }
                (completion, first.await)
            }
        };
        if !last_done.is_response() {
            attempts.record(first_done.failure());
            if first_done.reply.is_aborted() {
                attempts.record_aborted();
            }
        }
        last_done
    }

    /// Picks a second target that can run the request without queueing; `None` if no other target is
    /// available, the hedge budget is exhausted or the body cannot be sent again.
    fn hedge(
        &self,
        first_id: &InstanceId,
        attempts: &mut Attempts,
        exclusions: &Exclusions,
        payload: &mut Payload,
    ) -> Option<(Pick, Body)> {
        let now = Instant::now();
        let mut router = self.shard.router();
        if !router.has_alternative(first_id, now) {
            return None;
        }
        if !attempts.try_hedge(&mut router.budget, now) {
            return None;
        }
        let mut exclusions = exclusions.clone();
        exclusions.failed.push(first_id.clone());
        let pick = router.pick(self.call_id, &exclusions, now)?;
        self.daemon.metrics.count(metrics::ATTEMPTS_HEDGED, 1);
        let pick = Pick {
            may_wait: false,
            ..pick
        };
        Some((pick, payload.take()?))
    }

    fn attempt(
        self,
        pick: Pick,
        attempts: &Attempts,
        options: Options,
        body: Body,
        may_repeat: bool,
    ) -> impl Future<Output = Completion> + use<'a> {
        self.send(pick.id, options, body, may_repeat.then_some(*attempts))
    }

    fn was_aborted(self) -> bool {
        let suspects = &self.daemon.suspects;
        suspects.was_aborted(self.call.fingerprint, Instant::now())
    }

    /// Sends the request to a target; `attempts` is given if it may be sent again.
    async fn send(
        self,
        id: InstanceId,
        options: Options,
        body: Body,
        attempts: Option<Attempts>,
    ) -> Completion {
        let guard = InFlight {
            shard: self.shard,
            id: id.clone(),
            call_id: self.call_id,
            is_finished: false,
        };
        let exchange = self.exchange(&id, options, body, attempts).await;
        guard.finish(&exchange);
        let suspects = &self.daemon.suspects;
        suspects.record_attempt(self.call.fingerprint, &exchange.reply, Instant::now());
        Completion {
            id,
            reply: exchange.reply,
        }
    }

    async fn exchange(
        self,
        id: &InstanceId,
        options: Options,
        body: Body,
        attempts: Option<Attempts>,
    ) -> Exchange {
        let daemon = self.daemon;
        if *id == daemon.settings.id {
            return Exchange {
                reply: target::run(daemon, self.call, options, body).await,
                load: Some(daemon.admission.load()),
                is_reachable: true,
            };
        }
        let view = daemon.view();
        match view.roster.instance(id) {
            Some(instance) => {
                let address = instance.peer;
                let can_run_elsewhere = || {
                    let (now, router) = (Instant::now(), self.shard.router());
                    let again = attempts.is_some_and(|it| it.may_run_again(&router.budget, now));
                    again && router.has_alternative(id, now)
                };
                let repeat = match attempts {
                    Some(_) => Repeat::Elsewhere(&can_run_elsewhere),
                    None => Repeat::Never,
                };
                hop::send(daemon, self.call, id, address, options, body, repeat).await
            }
            None => Exchange {
                reply: Reply::Problem(Problem::not_run(
                    Cause::PeerFailed,
                    format!("instance {id} is no longer in the roster"),
                )),
                load: None,
                is_reachable: false,
            },
        }
    }
}

/// Drop guard of an attempt that the router counts as in flight; an attempt that is dropped with its
/// call is reported as abandoned.
struct InFlight<'a> {
    shard: &'a Shard,
    id: InstanceId,
    call_id: CallId,
    is_finished: bool,
}

impl InFlight<'_> {
    fn finish(mut self, exchange: &Exchange) {
        self.is_finished = true;
        let now = Instant::now();
        let mut router = self.shard.router();
        router.finish(&self.id, self.call_id, completion(exchange), now);
        if let Some(load) = &exchange.load {
            router.update_load(&self.id, load, now);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let mut router = self.shard.router();
            router.finish(
                &self.id,
                self.call_id,
                router::Completion::Cancelled,
                Instant::now(),
            );
        }
    }
}

fn completion(exchange: &Exchange) -> router::Completion {
    match &exchange.reply {
        Reply::Response(response) if entry::is_unavailable(response) => router::Completion::Failed,
        Reply::Response(_) => router::Completion::Answered,
        Reply::Problem(problem) if problem.cause == Cause::DeadlinePassed => {
            router::Completion::Cancelled
        }
        Reply::Problem(problem)
            if !exchange.is_reachable || problem.outcome == Outcome::Unknown =>
        {
            router::Completion::Failed
        }
        Reply::Problem(_) => router::Completion::Refused,
    }
}
