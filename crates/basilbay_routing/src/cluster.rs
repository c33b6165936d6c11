//! State of the targets of one service, as the entry role knows it.
//!
//! The state has three inputs: load reports that a target's daemon pushes or attaches to responses,
//! service times that this daemon measures, and the requests that this daemon has in flight. Load
//! reports cover all callers but age; the requests in flight are exact but cover one caller only.
//! [`Target::utilization`] combines both into an estimate that decays towards the mean of the
//! service as the report ages.

use std::time::{Duration, Instant};

use basilbay_model::id::{DomainId, InstanceId};
use basilbay_model::service::Contract;
use basilbay_wire::load::{Load, State};

use crate::straggler::Ejection;

/// Range of the half-life of load reports, in seconds. The requests on a target change within one
/// service time, so the half-life follows the service time within this range.
const HALF_LIFE_RANGE_S: (f64, f64) = (0.005, 0.1);

/// Minimum half-life of a reported service time, in seconds. It is a mean over several requests and
/// changes more slowly than the number of requests.
const MIN_LATENCY_HALF_LIFE_S: f64 = 0.25;

/// Half-life of a reported service time, in typical service times. It has to decay because a target
/// that is avoided gets no requests that would update it.
const LATENCY_HALF_LIFE_SERVICE_TIMES: f64 = 8.0;

/// Weight of a new sample in the moving average of the service time.
const LATENCY_GAIN: f64 = 0.2;

/// Service time that is assumed before the first sample.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);

/// Time after which a reported state that forbids new requests expires.
const STATE_TTL: Duration = Duration::from_secs(1);

/// Minimum interval between refreshes of the summary.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2);

/// Id of a call, unique within one daemon.
pub type CallId = u64;

/// An attempt of a call that is in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The call.
    pub call: CallId,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Whether the request may wait for a slot there.
    pub may_wait: bool,
}

/// State of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The target's instance.
    pub id: InstanceId,
    /// Failure domain of the target.
    pub domain: DomainId,
    /// Whether the target is in the daemon's own failure domain.
    pub is_local: bool,
    /// Whether roster and configuration allow new requests.
    pub allowed: bool,
    /// Whether the target's daemon announced that it is leaving.
    pub is_leaving: bool,
    /// Latest load report of the target's daemon.
    pub load: Load,
    /// When this report arrived; `None` before the first one.
    pub reported_at: Option<Instant>,
    /// Requests that this daemon has sent since the report arrived.
    pub sent_since_report: u32,
    /// Attempts of this daemon that are in flight, oldest first.
    pub outstanding: Vec<Attempt>,
    /// Moving average of the service time measured by this daemon, in seconds.
    pub latency_s: f64,
    /// Outlier ejection of the target.
    pub ejection: Ejection,
}

impl Target {
    /// Creates a target without a load report.
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

    /// Whether the target may be offered new requests; its daemon may still refuse them.
    ///
    /// A reported state that forbids requests expires after a short time, since the datagram that
    /// lifts it may be lost.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        let state_is_old = !self.reported_within(STATE_TTL, now);
        self.allowed && !self.is_leaving && (self.load.state.accepts_requests() || state_is_old)
    }

    /// Whether the latest load report is at most `max_age` old; `false` without a report.
    pub fn reported_within(&self, max_age: Duration, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|reported_at| now.saturating_duration_since(reported_at) <= max_age)
    }

    /// Number of requests that this daemon has in flight at the target.
    pub fn own_in_flight(&self) -> u32 {
        u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX)
    }

    /// Weight of the load report: 1 when it arrives, decaying towards 0 with age; 0 without a
    /// report.
    pub fn confidence(&self, half_life_s: f64, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        0.5_f64.powf(age / half_life_s)
    }

    /// Estimated number of requests on the target, including queued ones, relative to its limit.
    ///
    /// A reported value decays towards the mean of the service with age. Trusting stale reports
    /// would send every caller to the same target, or none to a target that was full long ago.
    pub fn utilization(&self, cluster: &Cluster, now: Instant) -> f64 {
        let limit = self.limit(cluster.slots);
        let confidence = self.confidence(cluster.summary.half_life_s, now);
        let reported = f64::from(self.load.in_flight + self.load.queued) / limit;
        let blended = confidence * reported + (1.0 - confidence) * cluster.summary.mean_utilization;
        let utilization = blended + f64::from(self.sent_since_report) / limit;
        utilization.max(f64::from(self.own_in_flight()) / limit)
    }

    /// Remaining time until the target accepts another request at the rate that it states, as of its
    /// latest load report.
    pub fn rate_wait(&self, now: Instant) -> Duration {
        let Some(reported_at) = self.reported_at else {
            return Duration::ZERO;
        };
        let wait = Duration::from_micros(u64::from(self.load.rate_wait_us));
        (reported_at + wait).saturating_duration_since(now)
    }

    /// Reported service time relative to the typical one, decaying towards 1 with age.
    pub fn relative_latency(&self, summary: &Summary, now: Instant) -> f64 {
        let half_life_s = MIN_LATENCY_HALF_LIFE_S
            .max(LATENCY_HALF_LIFE_SERVICE_TIMES * summary.typical_latency_s());
        let confidence = self.confidence(half_life_s, now);
        let reported = f64::from(self.load.latency_us) / 1e6 / summary.typical_latency_s();
        confidence * reported + (1.0 - confidence)
    }

    /// Reported concurrency limit of the target; `fallback` while there is none.
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
    /// All targets.
    pub targets: Vec<Target>,
    /// Slots of a target by contract, for targets without a load report.
    pub slots: u32,
    /// Cost of a request to another failure domain, in seconds.
    pub remote_cost_s: f64,
    /// Aggregates over all targets, as of the last refresh.
    pub summary: Summary,
}

/// Aggregates over all targets of a service; computing them on each pick would be too expensive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// When the next refresh is due; `None` means immediately.
    pub refresh_at: Option<Instant>,
    /// Mean reported utilization of the targets.
    pub mean_utilization: f64,
    /// Half-life of load reports, in seconds.
    pub half_life_s: f64,
    /// Median service time, in seconds; `None` with fewer than two available targets.
    pub median_latency_s: Option<f64>,
    /// Maximum number of targets that may be ejected at the same time.
    pub max_ejected: usize,
}

impl Default for Cluster {
    /// Creates an empty cluster with the default contract's cost of remote requests.
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
    /// Index of the target with this instance id.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.targets
            .binary_search_by(|target| (*target.id).cmp(id))
            .ok()
    }

    /// Replaces the targets with those of a new view and keeps the load, latency and ejection of
    /// the targets that remain.
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

    /// Applies a load report of a target.
    pub fn update_load(&mut self, id: &str, load: &Load, now: Instant) {
        if let Some(index) = self.position(id) {
            self.targets[index].update_load(load, now);
        }
    }

    /// Records that a target's daemon announced that it is leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(index) = self.position(id) {
            let target = &mut self.targets[index];
            target.is_leaving = true;
            target.load.state = State::Leaving;
        }
    }

    /// Records that a target's daemon has returned after it announced that it is leaving; its
    /// earlier load report is discarded.
    pub fn mark_returned(&mut self, id: &str) {
        if let Some(index) = self.position(id) {
            let target = &mut self.targets[index];
            target.is_leaving = false;
            target.load = Load::default();
            target.reported_at = None;
        }
    }

    /// Records an attempt that is sent to a target.
    pub fn record_start(&mut self, index: usize, attempt: Attempt) {
        let target = &mut self.targets[index];
        target.sent_since_report += 1;
        target.outstanding.push(attempt);
    }

    /// Removes an attempt from a target and returns it; `None` if it is unknown.
    pub fn record_end(&mut self, index: usize, call: CallId) -> Option<Attempt> {
        let target = &mut self.targets[index];
        let position = target
            .outstanding
            .iter()
            .position(|attempt| attempt.call == call)?;
        Some(target.outstanding.remove(position))
    }

    /// Updates the service time of a target with the duration of an attempt.
    pub fn record_latency(&mut self, index: usize, duration: Duration) {
        let target = &mut self.targets[index];
        target.latency_s += LATENCY_GAIN * (duration.as_secs_f64() - target.latency_s);
    }

    /// Refreshes the summary if it is due; returns whether it was.
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
            if !target.accepts_requests(now) {
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
    /// Median service time, or a default while it is unknown, in seconds.
    pub fn typical_latency_s(&self) -> f64 {
        self.median_latency_s
            .unwrap_or(DEFAULT_LATENCY.as_secs_f64())
    }
}

/// Lower median, so that of two targets the faster one is the reference.
fn lower_median(values: &mut [f64]) -> Option<f64> {
    if values.len() < 2 {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
