//! Router of one service, which picks a target for each attempt of a call.
//!
//! Inputs are the configuration and roster, load reports, and the start and end of each attempt.
//! The router keeps the state of the targets in a [`Cluster`], excludes targets that the call has
//! tried, that accept no requests or that are ejected, and lets the [`Policy`] choose among the
//! rest.

use std::fmt;
use std::time::{Duration, Instant};

use basilbay_model::config::Config;
use basilbay_model::domain::State as ServiceState;
use basilbay_model::id::{DomainId, InstanceId, ServiceId};
use basilbay_model::roster::{Roster, State as InstanceState};
use basilbay_model::service::Policy as PolicyName;
use basilbay_wire::load::{Load, State};

use crate::cluster::{Attempt, CallId, Cluster, Target};
use crate::policy::{self, Policy};
use crate::retry::{Attempts, Budget};
use crate::straggler;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target responded.
    Answered,
    /// The target's daemon refused the request.
    Refused,
    /// The connection failed or broke.
    Failed,
    /// The caller disconnected, the deadline passed, or the request was not sent.
    Cancelled,
}

/// Maximum age of a load report whose service time counts as typical of the siblings.
const SIBLING_LATENCY_TTL: Duration = Duration::from_secs(10);

/// Number of simulated picks from which the share of each target is estimated; with 1,000, the
/// number of picks of a target is its share in parts per thousand.
const SHARE_SAMPLES: u32 = 1000;

/// Number of targets that may refuse a request immediately before it waits at one of them.
const MAX_OFFERS: usize = 5;

/// Refusal rate above which a request waits after one refusal, because further offers would mostly
/// cost time.
const HIGH_REFUSAL_RATE: f64 = 0.8;

/// Weight of one offer in the refusal rate.
const REFUSAL_RATE_GAIN: f64 = 1.0 / 32.0;

/// Targets that a call has tried already.
#[derive(Clone, Debug, Default)]
pub struct Exclusions {
    /// Targets that had no capacity.
    pub full: Vec<InstanceId>,
    /// Targets that failed or accept no requests.
    pub failed: Vec<InstanceId>,
}

impl Exclusions {
    /// Whether a target is not tried again.
    fn excludes(&self, id: &InstanceId, may_wait: bool) -> bool {
        self.failed.contains(id) || (!may_wait && self.full.contains(id))
    }
}

/// Typical service times after which a request is hedged; with a log-normal spread of 0.4, 3 of
/// 1,000 undisturbed requests take longer.
const HEDGE_LATENCY_FACTOR: f64 = 3.0;

/// Minimum delay of a hedge; below it, scheduling delays would cause hedges.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// Target of the next attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The target's instance.
    pub id: InstanceId,
    /// Whether the request may wait there.
    pub may_wait: bool,
}

/// Routing state of one target, for operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// The target's instance.
    pub id: InstanceId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Whether the target is in the daemon's own failure domain.
    pub is_local: bool,
    /// Whether the target may be offered requests.
    pub accepts_requests: bool,
    /// Whether the target's daemon announced that it is leaving.
    pub is_leaving: bool,
    /// Whether the target is ejected as a straggler.
    pub is_ejected: bool,
    /// Latest load report of the target's daemon.
    pub load: Load,
    /// Age of this report; `None` if there is none.
    pub report_age: Option<Duration>,
    /// Estimated share of the next requests, in parts per thousand.
    pub share_permille: u32,
}

/// Load balancer for the requests of one service.
pub struct Router {
    /// The service.
    pub service: ServiceId,
    /// State of its targets.
    pub cluster: Cluster,
    /// Retry budget of the service.
    pub budget: Budget,
    policy_name: PolicyName,
    policy: Box<dyn Policy>,
    seed: u64,
    /// Indices of the targets that may be picked; kept to reuse the allocation.
    eligible: Vec<usize>,
    /// Moving average of the refused fraction of offers that may not wait, over about the last 32.
    refusal_rate: f64,
}

impl fmt::Debug for Router {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Router")
            .field("service", &self.service)
            .field("policy", &self.policy_name)
            .field("cluster", &self.cluster)
            .finish_non_exhaustive()
    }
}

impl Router {
    /// Creates a router without targets.
    pub fn new(service: ServiceId, seed: u64, now: Instant) -> Self {
        Self {
            service,
            cluster: Cluster::default(),
            budget: Budget::new(0, now),
            policy_name: PolicyName::Basilbay,
            policy: policy::build(PolicyName::Basilbay, seed),
            seed,
            eligible: Vec::new(),
            refusal_rate: 0.0,
        }
    }

    /// Applies a new configuration and roster.
    pub fn sync(&mut self, config: &Config, roster: &Roster, own_domain: &DomainId) {
        let Some(service) = config.service(&self.service) else {
            self.cluster.sync(Vec::new());
            return;
        };
        let limits = &config.limits;
        self.budget.set_percent(limits.retry_percent);
        if let Some(slack) = limits.retry_slack {
            let daemons = roster.instances.len();
            self.budget.set_slack(slack, limits.retry_window, daemons);
        }
        self.cluster.slots = service.contract.slots;
        self.cluster.remote_cost_s = service.contract.remote_cost.as_secs_f64();
        if service.policy != self.policy_name {
            self.policy_name = service.policy;
            self.policy = policy::build(service.policy, self.seed);
        }
        let is_in = service.state == ServiceState::In;
        let targets = roster.of_service(&self.service).map(|instance| {
            let is_local = instance.domain == *own_domain;
            let mut target = Target::new(instance.id.clone(), instance.domain.clone(), is_local);
            target.allowed = is_in
                && instance.state == InstanceState::Live
                && config.domain_is_in(&instance.domain);
            target
        });
        self.cluster.sync(targets.collect());
    }

    /// Picks a target for the next attempt of a call and records the attempt.
    ///
    /// A request is first offered to targets that refuse it if they are full. It waits only after
    /// several refusals, or after one if the refusal rate is high, since any free slot of the
    /// service is better than a place in a queue. Once it may wait, targets that refused it may be
    /// picked again with an updated load report. Returns `None` if no target is left.
    pub fn pick(&mut self, call: CallId, exclusions: &Exclusions, now: Instant) -> Option<Pick> {
        if self.cluster.refresh_summary(now) {
            straggler::detect(&mut self.cluster, now);
        }
        let may_wait = self.should_wait(exclusions, now);
        self.collect_eligible(|id| exclusions.excludes(id, may_wait), now);
        if self.eligible.is_empty() {
            return None;
        }
        let index = self.policy.pick(&self.cluster, &self.eligible, now);
        let attempt = Attempt {
            call,
            sent_at: now,
            may_wait,
        };
        self.cluster.record_start(index, attempt);
        Some(Pick {
            id: self.cluster.targets[index].id.clone(),
            may_wait,
        })
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, id: &str, call: CallId, completion: Completion, now: Instant) {
        let Some(index) = self.cluster.position(id) else {
            return;
        };
        let Some(attempt) = self.cluster.record_end(index, call) else {
            return;
        };
        match completion {
            Completion::Answered => {
                let duration = now.saturating_duration_since(attempt.sent_at);
                self.cluster.record_latency(index, duration);
                straggler::record_success(&mut self.cluster, index, duration);
                self.record_offer(attempt, false);
            }
            Completion::Refused => self.record_offer(attempt, true),
            Completion::Failed => straggler::record_failure(&mut self.cluster, index, now),
            Completion::Cancelled => {}
        }
    }

    /// Updates the refusal rate with the result of an offer.
    fn record_offer(&mut self, attempt: Attempt, is_refused: bool) {
        if !attempt.may_wait {
            let sample = f64::from(u8::from(is_refused));
            self.refusal_rate += REFUSAL_RATE_GAIN * (sample - self.refusal_rate);
        }
    }

    fn should_wait(&self, exclusions: &Exclusions, now: Instant) -> bool {
        if !self.policy.uses_feedback() || exclusions.full.len() >= MAX_OFFERS {
            return true;
        }
        // The first offer of a call is made regardless, which reveals when slots are free again.
        let refusals_dominate = self.refusal_rate > HIGH_REFUSAL_RATE;
        if refusals_dominate && !exclusions.full.is_empty() {
            return true;
        }
        let mut targets = self.cluster.targets.iter();
        !targets
            .any(|target| target.accepts_requests(now) && !exclusions.excludes(&target.id, false))
    }

    /// Routing state of each target. The shares are estimated with a separate policy, seeded with
    /// `seed`, so that later picks are not affected.
    pub fn statuses(&mut self, seed: u64, now: Instant) -> Vec<Status> {
        self.cluster.refresh_summary(now);
        self.collect_eligible(|_| false, now);
        let mut shares = vec![0; self.cluster.targets.len()];
        let mut policy = policy::build(self.policy_name, seed);
        if !self.eligible.is_empty() {
            for _ in 0..SHARE_SAMPLES {
                shares[policy.pick(&self.cluster, &self.eligible, now)] += 1;
            }
        }
        let statuses = self.cluster.targets.iter().zip(shares);
        statuses
            .map(|(target, share)| Status {
                id: target.id.clone(),
                domain: target.domain.clone(),
                is_local: target.is_local,
                accepts_requests: target.accepts_requests(now),
                is_leaving: target.is_leaving,
                is_ejected: target.ejection.is_active(),
                load: target.load.clone(),
                report_age: target
                    .reported_at
                    .map(|reported_at| now.saturating_duration_since(reported_at)),
                share_permille: share,
            })
            .collect()
    }

    /// Applies a load report of a target.
    pub fn update_load(&mut self, id: &str, load: &Load, now: Instant) {
        self.cluster.update_load(id, load, now);
    }

    /// Whether another target than `id` accepts requests.
    pub fn has_alternative(&self, id: &str, now: Instant) -> bool {
        let mut others = self.cluster.targets.iter();
        others.any(|target| &*target.id != id && target.accepts_requests(now))
    }

    /// Median service time that warm targets other than `own` reported recently; `None` without
    /// reports.
    pub fn sibling_latency(&self, own: &str, now: Instant) -> Option<Duration> {
        let mut latencies: Vec<u32> = self
            .cluster
            .targets
            .iter()
            .filter(|target| &*target.id != own && target.load.state == State::Warm)
            .filter(|target| target.reported_within(SIBLING_LATENCY_TTL, now))
            .map(|target| target.load.latency_us)
            .filter(|latency| *latency > 0)
            .collect();
        latencies.sort_unstable();
        let median = latencies.get(latencies.len() / 2)?;
        Some(Duration::from_micros(u64::from(*median)))
    }

    /// Delay without a response after which an idempotent request is also sent to a second target.
    ///
    /// Few undisturbed requests take that long, so hedges add little load. `None` while service
    /// times are unknown, and for the baseline policies.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let typical_s = self.cluster.summary.median_latency_s?;
        if !self.policy.uses_feedback() {
            return None;
        }
        Some(Duration::from_secs_f64(typical_s * HEDGE_LATENCY_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Credits the retry budget with a call and starts counting its attempts; `repeat_share` is the
    /// probability that a repeated run makes the call.
    pub fn begin_call(
        &mut self,
        idempotent: bool,
        deadline: Instant,
        allowance: u8,
        repeat_share: f64,
    ) -> Attempts {
        self.budget.deposit(repeat_share);
        Attempts::new(idempotent, deadline, allowance)
    }

    /// Whether any target accepts new requests, including those that a call has tried.
    pub fn has_targets(&self, now: Instant) -> bool {
        let mut targets = self.cluster.targets.iter();
        targets.any(|target| target.accepts_requests(now))
    }

    /// Collects the targets that may be picked; stragglers, and targets that accept no request yet
    /// at the rate that they state, only if no other targets are left.
    fn collect_eligible(&mut self, is_excluded: impl Fn(&InstanceId) -> bool, now: Instant) {
        self.eligible.clear();
        let uses_feedback = self.policy.uses_feedback();
        let targets = &self.cluster.targets;
        let is_open = |target: &Target| target.accepts_requests(now) && !is_excluded(&target.id);
        for (index, target) in targets.iter().enumerate() {
            let is_preferred = straggler::admits(target, now) && target.rate_wait(now).is_zero();
            if is_open(target) && (!uses_feedback || is_preferred) {
                self.eligible.push(index);
            }
        }
        if !self.eligible.is_empty() {
            return;
        }
        for (index, target) in targets.iter().enumerate() {
            if is_open(target) {
                self.eligible.push(index);
            }
        }
    }
}
