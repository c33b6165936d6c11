//! Load plans: Poisson arrivals from a fixed seed, generated before the run starts.
//!
//! The rate of a plan may follow repeated steps; arrivals are generated at the highest rate and
//! thinned.

use std::sync::Arc;
use std::time::Duration;

use basilbay_model::id::{KindId, ServiceId};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;

/// Difference between the seeds of consecutive streams of a plan.
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Number of callers in a plan; each of them uses one daemon first.
const CALLER_COUNT: u32 = 280;

/// Requests of one kind and their rate.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Id of the service.
    pub service: ServiceId,
    /// Id of the kind.
    pub kind: KindId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Request path.
    pub path: Arc<str>,
    /// Weight of one request.
    pub weight: u32,
    /// Whether a request may run twice.
    pub idempotent: bool,
    /// Time from the planned arrival to the deadline.
    pub timeout: Duration,
    /// Arrivals per second at factor 1.
    pub rate: f64,
    /// Fraction of the requests that carry a key; 0 for idempotent kinds.
    pub keyed_fraction: f64,
    /// Size of the response body after its JSON.
    pub body_bytes: usize,
    /// Additional request headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
}

impl Stream {
    /// Streams of a deployment at a fraction `load` of its capacity.
    pub fn for_deployment(deployment: &Deployment, load: f64, keyed_fraction: f64) -> Vec<Self> {
        let mut streams = Vec::new();
        for group in &deployment.groups {
            let rate = deployment.capacity(&group.service) * load;
            let shares: f64 = group.workloads.iter().map(|workload| workload.share).sum();
            let Some(service) = deployment.config.service(&group.service) else {
                continue;
            };
            for workload in &group.workloads {
                let Some(kind) = service.kinds.iter().find(|kind| kind.id == workload.kind) else {
                    continue;
                };
                let method = kind.methods.first().cloned();
                streams.push(Self {
                    service: group.service.clone(),
                    kind: kind.id.clone(),
                    method: method.unwrap_or_else(|| Arc::from("POST")),
                    path: kind.path.clone(),
                    weight: kind.weight,
                    idempotent: kind.idempotent,
                    timeout: kind.timeout,
                    rate: rate * workload.share / shares,
                    keyed_fraction: if kind.idempotent { 0.0 } else { keyed_fraction },
                    body_bytes: 0,
                    headers: Vec::new(),
                });
            }
        }
        streams
    }
}

/// One step of the load shape.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Duration of the step.
    pub for_ms: f64,
    /// Factor on the rates of all streams.
    pub factor: f64,
}

/// One planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Planned time since the start of the run.
    pub at: Duration,
    /// Index of the request's stream.
    pub stream: usize,
    /// Index of the caller that sends the request.
    pub caller: u32,
    /// Whether the request carries an idempotency key.
    pub has_key: bool,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Streams that the arrivals refer to.
    pub streams: Vec<Stream>,
    /// Arrivals, sorted by planned time.
    pub arrivals: Vec<Arrival>,
    /// Length of the run.
    pub duration: Duration,
}

impl Plan {
    /// Generates the arrivals; the steps repeat, and without steps the rates are constant.
    pub fn generate(streams: Vec<Stream>, duration: Duration, steps: &[Step], seed: u64) -> Self {
        let mut arrivals = Vec::new();
        for (index, stream) in streams.iter().enumerate() {
            let seed = seed.wrapping_add(SEED_INCREMENT.wrapping_mul(index as u64 + 1));
            let mut rng = Rng::with_seed(seed);
            for at in arrival_times(&mut rng, stream.rate, duration, steps) {
                arrivals.push(Arrival {
                    at,
                    stream: index,
                    caller: rng.u32(..CALLER_COUNT),
                    has_key: rng.f64() < stream.keyed_fraction,
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self {
            streams,
            arrivals,
            duration,
        }
    }
}

/// Arrival times of one stream: a Poisson process at the highest rate, thinned to the current rate.
fn arrival_times(rng: &mut Rng, rate: f64, duration: Duration, steps: &[Step]) -> Vec<Duration> {
    let highest = steps.iter().map(|step| step.factor).fold(0.0, f64::max);
    let highest = if steps.is_empty() { 1.0 } else { highest };
    let mut times = Vec::new();
    let mut seconds = 0.0;
    if rate * highest <= 0.0 {
        return times;
    }
    loop {
        seconds += -(1.0 - rng.f64()).ln() / (rate * highest);
        if seconds >= duration.as_secs_f64() {
            return times;
        }
        if rng.f64() * highest < rate_factor(steps, seconds * 1000.0) {
            times.push(Duration::from_secs_f64(seconds));
        }
    }
}

/// Factor on the rates at a time since the start of the run.
fn rate_factor(steps: &[Step], at_ms: f64) -> f64 {
    let cycle: f64 = steps.iter().map(|step| step.for_ms).sum();
    if cycle <= 0.0 {
        return 1.0;
    }
    let mut offset_ms = at_ms % cycle;
    for step in steps {
        if offset_ms < step.for_ms {
            return step.factor;
        }
        offset_ms -= step.for_ms;
    }
    steps.last().map_or(1.0, |step| step.factor)
}
