//! What the entry role knows of each target of a service.
//!
//! Figures come from three places: load that a target's daemon pushes or puts on its answers,
//! service times that this daemon sees itself, and the requests that it has in flight there. The
//! first kind is shared by all callers but ages; the last is exact but covers one caller only.

use std::time::{Duration, Instant};

use basilbay_model::id::{DomainId, InstanceId};
use basilbay_model::service::Contract;
use basilbay_wire::load::{Load, State};

use crate::straggler::Ejection;

/// Bounds of the age at which a figure has lost half of its weight. What runs on a target changes
/// within one service time, so the age follows the service time between them.
const HALF_LIFE_RANGE_S: (f64, f64) = (0.005, 0.1);

/// Shortest age at which a service time has lost half of its weight, in seconds. It is a mean over
/// several requests and changes more slowly than what runs.
const LATENCY_HALF_LIFE_MIN_S: f64 = 0.25;

/// The same in usual service times: a target that is avoided gets no requests that would renew it.
const LATENCY_HALF_LIFE_SERVICE_TIMES: f64 = 8.0;

/// Weight of a new service time in the moving average.
const LATENCY_GAIN: f64 = 0.2;

/// Service time that is assumed before any was seen.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);

/// Time for which a state that forbids new work is believed.
const STATE_TTL: Duration = Duration::from_secs(1);

/// Time between two reviews of all targets.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2);

/// A number that tells the requests of one daemon apart.
pub type CallId = u64;

/// A request of this daemon that is with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub call: CallId,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it may wait there for a slot.
    pub may_wait: bool,
}

/// A target and what is known of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it lies in the own failure domain.
    pub is_local: bool,
    /// Whether roster and configuration allow new work.
    pub allowed: bool,
    /// Whether its own daemon said that it leaves.
    pub is_leaving: bool,
    /// The newest figures of its daemon.
    pub load: Load,
    /// When these figures came; `None` before the first.
    pub reported_at: Option<Instant>,
    /// Requests of this daemon that were sent since the figures came.
    pub sent_since_report: u32,
    /// Requests of this daemon that are with the target, the oldest first.
    pub outstanding: Vec<Attempt>,
    /// Moving average of the service time that this daemon saw, in seconds.
    pub latency_s: f64,
    /// Whether and until when the target is avoided.
    pub ejection: Ejection,
}

impl Target {
    /// A target of which nothing is known.
    pub fn new(id: InstanceId, domain: DomainId, is_local: bool) -> Self {
        Self {
            id,
            domain,
            is_local,
            allowed: true,
            is_leaving: false,
            load: Load::default(),
            reported_at: None,
            sent_since_report: 0,
            outstanding: Vec::new(),
            latency_s: DEFAULT_LATENCY.as_secs_f64(),
            ejection: Ejection::default(),
        }
    }

    /// Whether new work may be offered at all; its daemon may still refuse.
    ///
    /// A state that forbids work counts for a short while only, since the datagram that lifts it
    /// may be lost.
    pub fn takes_work(&self, now: Instant) -> bool {
        let state_is_old = !self.reported_within(STATE_TTL, now);
        self.allowed && !self.is_leaving && (self.load.state.takes_work() || state_is_old)
    }

    /// Whether figures came no longer ago than `term`.
    pub fn reported_within(&self, term: Duration, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|reported_at| now.saturating_duration_since(reported_at) <= term)
    }

    /// Requests of this daemon that are with the target.
    pub fn own_in_flight(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    /// How much the reported figures still count: 1 when fresh, towards 0 with age.
    pub fn confidence(&self, half_life_s: f64, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        0.5_f64.powf(age / half_life_s)
    }

    /// Estimated requests on the target, waiting ones included, as a part of its limit.
    ///
    /// An old figure is drawn towards the mean of the service: taking stale figures at their word
    /// sends every caller to the same target, or none to a target that was full long ago.
    pub fn utilization(&self, cluster: &Cluster, now: Instant) -> f64 {
        let limit = self.limit(cluster.slots);
        let confidence = self.confidence(cluster.summary.half_life_s, now);
        let reported = f64::from(self.load.in_flight + self.load.queued) / limit;
        let blended = confidence * reported + (1.0 - confidence) * cluster.summary.mean_utilization;
        let utilization = blended + f64::from(self.sent_since_report) / limit;
        utilization.max(f64::from(self.own_in_flight()) / limit)
    }

    /// Recent service time as a multiple of the usual one, as far as it is still believed.
    pub fn relative_latency(&self, summary: &Summary, now: Instant) -> f64 {
        let half_life_s = LATENCY_HALF_LIFE_MIN_S
            .max(LATENCY_HALF_LIFE_SERVICE_TIMES * summary.typical_latency_s());
        let confidence = self.confidence(half_life_s, now);
        let reported = f64::from(self.load.latency_us) / 1e6 / summary.typical_latency_s();
        confidence * reported + (1.0 - confidence)
    }

    /// Requests that the target may run, as last reported_count.
    pub fn limit(&self, fallback: u32) -> f64 {
        let limit = if self.reported_at.is_some() && self.load.limit > 0 {
            self.load.limit
        } else {
            fallback
        };
        f64::from(limit.max(1))
    }

    fn update_load(&mut self, load: &Load, now: Instant) {
        let is_older = self.reported_at.is_some() && load.sequence < self.load.sequence;
        if is_older {
            return;
        }
        self.load = load.clone();
        self.reported_at = Some(now);
        self.sent_since_report = 0;
    }
}

/// The targets of one service, sorted by instance id.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The targets.
    pub targets: Vec<Target>,
    /// Slots of a target by contract, for targets that were not reported_count yet.
    pub slots: u32,
    /// What a request to another failure domain costs, in seconds.
    pub remote_cost_s: f64,
    /// Figures over all targets, as of the last review.
    pub summary: Summary,
}

/// Figures over all targets of a service; reviewing them on each pick would cost too much.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// When the next review is due; `None` asks for one at once.
    pub refresh_at: Option<Instant>,
    /// Mean of the reported requests on a target as a part of its limit.
    pub mean_utilization: f64,
    /// Age at which a figure has lost half of its weight, in seconds.
    pub half_life_s: f64,
    /// Median of the service times, in seconds; `None` with fewer than two usable targets.
    pub median_latency_s: Option<f64>,
    /// Targets that may be avoided at the same time.
    pub max_ejected: usize,
}

impl Default for Cluster {
    /// An empty cluster with what a contract says by default.
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            slots: 0,
            remote_cost_s: Contract::default().remote_cost.as_secs_f64(),
            summary: Summary::default(),
        }
    }
}

impl Cluster {
    /// Finds a target by its instance.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.targets
            .binary_search_by(|target| (*target.id).cmp(id))
            .ok()
    }

    /// Takes over the targets of a new view; what is known of those that stay is kept.
    pub fn sync(&mut self, mut next: Vec<Target>) {
        next.sort_by(|left, right| left.id.cmp(&right.id));
        for target in &mut next {
            let Some(index) = self.position(&target.id) else {
                continue;
            };
            let mut known = self.targets[index].clone();
            known.allowed = target.allowed;
            known.domain = target.domain.clone();
            known.is_local = target.is_local;
            *target = known;
        }
        self.targets = next;
        self.summary.refresh_at = None;
    }

    /// Takes figures that a target's daemon gave.
    pub fn update_load(&mut self, id: &str, load: &Load, now: Instant) {
        if let Some(index) = self.position(id) {
            self.targets[index].update_load(load, now);
        }
    }

    /// Notes that a target's daemon said it leaves.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(index) = self.position(id) {
            let target = &mut self.targets[index];
            target.is_leaving = true;
            target.load.state = State::Leaving;
        }
    }

    /// Notes that a target's daemon is back after it said that it leaves.
    pub fn mark_rejoined(&mut self, id: &str) {
        if let Some(index) = self.position(id) {
            let target = &mut self.targets[index];
            target.is_leaving = false;
            target.load = Load::default();
            target.reported_at = None;
        }
    }

    /// Notes a request that is sent to a target.
    pub fn record_start(&mut self, index: usize, attempt: Attempt) {
        let target = &mut self.targets[index];
        target.sent_since_report += 1;
        target.outstanding.push(attempt);
    }

    /// Notes that a request is no longer with a target, and returns what was known of it.
    pub fn record_end(&mut self, index: usize, call: CallId) -> Option<Attempt> {
        let target = &mut self.targets[index];
        let position = target
            .outstanding
            .iter()
            .position(|attempt| attempt.call == call)?;
        Some(target.outstanding.remove(position))
    }

    /// Takes the time of an answer into the latency of a target.
    pub fn record_latency(&mut self, index: usize, took: Duration) {
        let target = &mut self.targets[index];
        target.latency_s += LATENCY_GAIN * (took.as_secs_f64() - target.latency_s);
    }

    /// Renews the summary when it is due; returns whether it was.
    pub fn refresh_summary(&mut self, now: Instant) -> bool {
        if self
            .summary
            .refresh_at
            .is_some_and(|refresh_at| now < refresh_at)
        {
            return false;
        }
        let mut latencies = Vec::with_capacity(self.targets.len());
        let mut reported = 0.0;
        let mut reported_count = 0.0;
        for target in &self.targets {
            if !target.takes_work(now) {
                continue;
            }
            latencies.push(target.latency_s);
            if target.reported_at.is_some() {
                let requests = f64::from(target.load.in_flight + target.load.queued);
                reported += requests / target.limit(self.slots);
                reported_count += 1.0;
            }
        }
        let median_latency_s = lower_median(&mut latencies);
        self.summary = Summary {
            refresh_at: Some(now + REFRESH_INTERVAL),
            mean_utilization: if reported_count > 0.0 {
                reported / reported_count
            } else {
                0.0
            },
            median_latency_s,
            half_life_s: median_latency_s
                .unwrap_or(HALF_LIFE_RANGE_S.1)
                .clamp(HALF_LIFE_RANGE_S.0, HALF_LIFE_RANGE_S.1),
            max_ejected: latencies.len() / 2,
        };
        true
    }
}

impl Summary {
    /// Usual service time, in seconds.
    pub fn typical_latency_s(&self) -> f64 {
        self.median_latency_s
            .unwrap_or(DEFAULT_LATENCY.as_secs_f64())
    }
}

/// The lower median: with two targets, the fast one is the measure.
fn lower_median(values: &mut [f64]) -> Option<f64> {
    if values.len() < 2 {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
