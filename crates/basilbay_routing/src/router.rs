//! One service's view of its targets, with the policy that picks.

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

/// How an attempt ended, as far as the target is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The target answered.
    Answered,
    /// Its daemon refused.
    Refused,
    /// The connection failed or broke.
    Failed,
    /// The caller went away or the deadline passed.
    Abandoned,
}

/// Time for which a service time that a sibling reported is taken as typical_s.
const SIBLING_LATENCY_TTL: Duration = Duration::from_secs(10);

/// Picks that are drawn to estimate each target's share.
const SHARE_DRAWS: u32 = 1000;

/// Targets that refuse a request at once before it waits at one of them.
const MAX_OFFERS: usize = 5;

/// Share of refused offers above which a request waits after one refusal: offers would then
/// mostly cost time.
const HIGH_REFUSAL_RATE: f64 = 0.8;

/// Weight of one offer in the share of refused ones.
const REFUSAL_RATE_GAIN: f64 = 1.0 / 32.0;

/// Targets that a call has exclusions.
#[derive(Clone, Debug, Default)]
pub struct Exclusions {
    /// Those that had no room.
    pub full: Vec<InstanceId>,
    /// Those that failed or take no work.
    pub failed: Vec<InstanceId>,
}

impl Exclusions {
    /// Whether a target is not asked again.
    fn excludes(&self, id: &InstanceId, may_wait: bool) -> bool {
        self.failed.contains(id) || (!may_wait && self.full.contains(id))
    }
}

/// Usual service times after which a request is hedged; with a log-normal spread of 0.4, 3 of
/// 1,000 undisturbed requests take longer.
const HEDGE_LATENCY_FACTOR: f64 = 3.0;

/// Shortest time after which a request is hedged; below it, scheduling delays would cause hedges.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// Where a request goes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The target's instance.
    pub id: InstanceId,
    /// Whether the request may wait there.
    pub may_wait: bool,
}

/// What a router thinks of one target, for people.
#[derive(Clone, Debug)]
pub struct Status {
    /// The target's instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it lies in the own failure domain.
    pub is_local: bool,
    /// Whether it may be offered work.
    pub takes_work: bool,
    /// Whether its daemon said that it leaves.
    pub is_leaving: bool,
    /// Whether it is avoided as a straggler.
    pub is_ejected: bool,
    /// The newest figures of its daemon.
    pub load: Load,
    /// Age of these figures.
    pub report_age: Option<Duration>,
    /// Estimated share of the next requests, in parts per thousand.
    pub share_permille: u32,
}

/// Picks targets for the requests of one service.
pub struct Router {
    /// The service.
    pub service: ServiceId,
    /// What is known of its targets.
    pub cluster: Cluster,
    /// Further runs that the service may add.
    pub budget: Budget,
    policy_name: PolicyName,
    policy: Box<dyn Policy>,
    seed: u64,
    eligible: Vec<usize>,
    /// Share of the offers without waiting that were refused, over about the last 32.
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
    /// A router that knows no targets yet.
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

    /// Takes over a new configuration and roster.
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

    /// Picks a target for the next attempt of a call and notes the attempt.
    ///
    /// A request is first offered to targets that shall refuse it when they are full, and waits
    /// only after several did, or when refusals have become the rule: any free slot of the
    /// service is better than a place in a queue. Where it waits, targets that refused may be
    /// picked again, now with fresh figures.
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

    /// Notes how an attempt ended.
    pub fn finish(&mut self, id: &str, call: CallId, ending: Ending, now: Instant) {
        let Some(index) = self.cluster.position(id) else {
            return;
        };
        let Some(attempt) = self.cluster.record_end(index, call) else {
            return;
        };
        match ending {
            Ending::Answered => {
                let took = now.saturating_duration_since(attempt.sent_at);
                self.cluster.record_latency(index, took);
                straggler::record_success(&mut self.cluster, index, took);
                self.record_offer(attempt, false);
            }
            Ending::Refused => self.record_offer(attempt, true),
            Ending::Failed => straggler::record_failure(&mut self.cluster, index, now),
            Ending::Abandoned => {}
        }
    }

    /// Takes the fate of an offer into the share of refusals.
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
        // Now and then an offer is made all the same, to notice when slots are free again.
        let refusals_dominate = self.refusal_rate > HIGH_REFUSAL_RATE;
        if refusals_dominate && !exclusions.full.is_empty() {
            return true;
        }
        let mut targets = self.cluster.targets.iter();
        !targets.any(|target| target.takes_work(now) && !exclusions.excludes(&target.id, false))
    }

    /// What the router thinks of each target; the estimate of shares changes nothing.
    pub fn statuses(&mut self, seed: u64, now: Instant) -> Vec<Status> {
        self.cluster.refresh_summary(now);
        self.collect_eligible(|_| false, now);
        let mut shares = vec![0; self.cluster.targets.len()];
        let mut policy = policy::build(self.policy_name, seed);
        if !self.eligible.is_empty() {
            for _ in 0..SHARE_DRAWS {
                shares[policy.pick(&self.cluster, &self.eligible, now)] += 1;
            }
        }
        let statuses = self.cluster.targets.iter().zip(shares);
        statuses
            .map(|(target, share)| Status {
                id: target.id.clone(),
                domain: target.domain.clone(),
                is_local: target.is_local,
                takes_work: target.takes_work(now),
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

    /// Takes figures that a target's daemon gave.
    pub fn update_load(&mut self, id: &str, load: &Load, now: Instant) {
        self.cluster.update_load(id, load, now);
    }

    /// Median service time that warm targets other than `own` reported lately.
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

    /// Time without an answer after which an idempotent request is sent to a second target.
    ///
    /// Few undisturbed requests take as long, so that hedges cost little; `None` while service
    /// times are not known, and for the baselines.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let typical_s = self.cluster.summary.median_latency_s?;
        if !self.policy.uses_feedback() {
            return None;
        }
        Some(Duration::from_secs_f64(typical_s * HEDGE_LATENCY_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Starts to count the attempts of a call.
    pub fn begin_call(&mut self, idempotent: bool, deadline: Instant, allowance: u8) -> Attempts {
        self.budget.deposit();
        Attempts::new(idempotent, deadline, allowance)
    }

    /// Whether any target may get new work, exclusions or not.
    pub fn has_targets(&self, now: Instant) -> bool {
        let mut targets = self.cluster.targets.iter();
        targets.any(|target| target.takes_work(now))
    }

    /// Collects the positions that may be picked; stragglers only when nothing else is left.
    fn collect_eligible(&mut self, is_excluded: impl Fn(&InstanceId) -> bool, now: Instant) {
        self.eligible.clear();
        let skips_stragglers = self.policy.uses_feedback();
        let targets = &self.cluster.targets;
        let is_open = |target: &Target| target.takes_work(now) && !is_excluded(&target.id);
        for (index, target) in targets.iter().enumerate() {
            if is_open(target) && (!skips_stragglers || straggler::admits(target, now)) {
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
