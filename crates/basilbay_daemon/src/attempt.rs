//! One attempt of a call: at one target, or at a second one beside it when the first is late.

use std::sync::Arc;
use std::time::Instant;

use basilbay_events::metrics;
use basilbay_model::id::InstanceId;
use basilbay_routing::cluster::CallId;
use basilbay_routing::retry::Attempts;
use basilbay_routing::router::{Ending, Exclusions, Pick};
use basilbay_wire::hop::Role;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::body::{Body, Payload};
use crate::call::{Call, Options};
use crate::daemon::{Daemon, Shard};
use crate::entry;
use crate::hop::{self, Exchange};
use crate::response::Reply;
use crate::target;

/// How an attempt ended, and at which target.
pub struct Completion {
    /// The target's instance.
    pub id: InstanceId,
    /// What came back.
    pub reply: Reply,
}

impl Completion {
    fn is_answer(&self) -> bool {
        matches!(&self.reply, Reply::Response(response) if !entry::is_unavailable(response))
    }

    fn outcome(&self) -> Outcome {
        match &self.reply {
            Reply::Response(_) => Outcome::Unknown,
            Reply::Problem(problem) => problem.outcome,
        }
    }
}

/// A call on its way to the targets of its service.
#[derive(Clone, Copy)]
pub struct Dispatcher<'a> {
    /// The daemon.
    pub daemon: &'a Arc<Daemon>,
    /// The request.
    pub call: &'a Call,
    /// What is kept for the service.
    pub shard: &'a Shard,
    /// Number of the call.
    pub call_id: CallId,
}

impl<'a> Dispatcher<'a> {
    /// Sends the request to the picked target, and to a second one if the first is late.
    ///
    /// A noisy neighbour holds a request for tens of milliseconds that has started already, which
    /// no choice of a target can foresee. The first answer is taken; the other request is
    /// cancelled.
    pub async fn run(
        self,
        pick: Pick,
        taken: Body,
        attempts: &mut Attempts,
        body: &mut Payload,
    ) -> Completion {
        let may_hedge = attempts.idempotent && body.is_replayable();
        let delay = self.shard.router().hedge_delay().filter(|_| may_hedge);
        let first_id = pick.id.clone();
        let suspect = attempts.may_have_run() || self.was_aborted();
        let first = self.attempt(pick, attempts, taken, suspect);
        let Some(delay) = delay else {
            return first.await;
        };
        tokio::pin!(first);
        if let Ok(ended) = tokio::time::timeout(delay, &mut first).await {
            return ended;
        }
        let Some((pick, taken)) = self.hedge(&first_id, attempts, body) else {
            return first.await;
        };
        // If the request that crashes targets is hedged as well, the two must not meet again.
        let second = self.attempt(pick, attempts, taken, true);
        tokio::pin!(second);
        let (sooner, later) = tokio::select! {
            ended = &mut first => {
                if ended.is_answer() {
                    return ended;
                }
                (ended, second.await)
            }
            ended = &mut second => {
                if ended.is_answer() {
                    return ended;
                }
                (ended, first.await)
            }
        };
        if !later.is_answer() {
            attempts.record(sooner.outcome());
            if sooner.reply.is_aborted() {
                attempts.record_broken();
            }
        }
        later
    }

    /// Picks a second target that runs the request at once, if the call may hedge.
    fn hedge(
        &self,
        first: &InstanceId,
        attempts: &mut Attempts,
        body: &mut Payload,
    ) -> Option<(Pick, Body)> {
        let now = Instant::now();
        let mut router = self.shard.router();
        let elsewhere = router.cluster.targets.iter();
        if !elsewhere
            .filter(|target| target.id != *first)
            .any(|target| target.takes_work(now))
        {
            return None;
        }
        if !attempts.try_hedge(&mut router.budget, now) {
            return None;
        }
        let tried = Exclusions {
            failed: vec![first.clone()],
            ..Exclusions::default()
        };
        let pick = router.pick(self.call_id, &tried, now)?;
        self.daemon.metrics.count(metrics::ATTEMPTS_HEDGED, 1);
        let pick = Pick {
            may_wait: false,
            ..pick
        };
        Some((pick, body.take()?))
    }

    fn attempt(
        self,
        pick: Pick,
        attempts: &Attempts,
        body: Body,
        suspect: bool,
    ) -> impl Future<Output = Completion> + use<'a> {
        let options = Options {
            role: Role::Run,
            allowance: attempts.allowance.downstream(),
            may_wait: pick.may_wait,
            suspect,
        };
        self.send(pick.id, options, body)
    }

    fn was_aborted(self) -> bool {
        let suspects = &self.daemon.suspects;
        suspects.was_aborted(self.call.fingerprint, Instant::now())
    }

    async fn send(self, id: InstanceId, options: Options, body: Body) -> Completion {
        let in_flight = InFlight {
            shard: self.shard,
            id: id.clone(),
            call_id: self.call_id,
            is_finished: false,
        };
        let exchange = self.exchange(&id, options, body).await;
        in_flight.end(&exchange);
        let suspects = &self.daemon.suspects;
        suspects.record_attempt(self.call.fingerprint, &exchange.reply, Instant::now());
        Completion {
            id,
            reply: exchange.reply,
        }
    }

    async fn exchange(self, id: &InstanceId, options: Options, body: Body) -> Exchange {
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
                hop::send(daemon, self.call, id, address, options, body).await
            }
            None => Exchange {
                reply: Reply::Problem(Problem::not_run(
                    Cause::PeerFailed,
                    format!("{id} left the instance list"),
                )),
                load: None,
                is_reachable: false,
            },
        }
    }
}

/// An attempt that is recorded in the cluster; one that is dropped with its call counts as abandoned.
struct InFlight<'a> {
    shard: &'a Shard,
    id: InstanceId,
    call_id: CallId,
    is_finished: bool,
}

impl InFlight<'_> {
    fn end(mut self, exchange: &Exchange) {
        self.is_finished = true;
        let now = Instant::now();
        let mut router = self.shard.router();
        router.finish(&self.id, self.call_id, ending(exchange), now);
        if let Some(load) = &exchange.load {
            router.update_load(&self.id, load, now);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let mut router = self.shard.router();
            router.finish(&self.id, self.call_id, Ending::Abandoned, Instant::now());
        }
    }
}

fn ending(exchange: &Exchange) -> Ending {
    match &exchange.reply {
        Reply::Response(response) if entry::is_unavailable(response) => Ending::Failed,
        Reply::Response(_) => Ending::Answered,
        Reply::Problem(problem) if problem.cause == Cause::DeadlinePassed => Ending::Abandoned,
        Reply::Problem(problem)
            if !exchange.is_reachable || problem.outcome == Outcome::Unknown =>
        {
            Ending::Failed
        }
        Reply::Problem(_) => Ending::Refused,
    }
}
