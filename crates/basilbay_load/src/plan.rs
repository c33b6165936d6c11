//! Planned arrivals: Poisson with a fixed seed, decided before the run starts.

use std::sync::Arc;
use std::time::Duration;

use basilbay_model::id::{KindId, ServiceId};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;

/// Separates the seeds of the streams of one plan.
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Callers that a plan distinguishes; each has a daemon that it uses first.
const CALLER_COUNT: u32 = 280;

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Service.
    pub service: ServiceId,
    /// Kind.
    pub kind: KindId,
    /// Method.
    pub method: Arc<str>,
    /// Path.
    pub path: Arc<str>,
    /// What one request counts.
    pub weight: u32,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Time that a caller gives it.
    pub timeout: Duration,
    /// Arrivals a second at factor 1.
    pub rate: f64,
    /// Part of the requests that carry a key; only where running twice does harm.
    pub keyed_fraction: f64,
    /// Bytes that an answer carries after its JSON.
    pub body_bytes: usize,
    /// Further headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
}

impl Stream {
    /// The streams of a deployment at a part of its capacity.
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

/// A part of the load's shape.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// How long it lasts.
    pub for_ms: f64,
    /// Multiple of the streams' rates.
    pub factor: f64,
}

/// One planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of its stream.
    pub stream: usize,
    /// Who sends it.
    pub caller: u32,
    /// Whether it carries a key.
    pub has_key: bool,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Streams.
    pub streams: Vec<Stream>,
    /// Arrivals in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// Length of the run.
    pub duration: Duration,
}

impl Plan {
    /// Draws the arrivals; the steps repeat, and without steps the rates are constant.
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

/// Times of one stream: drawn at the highest rate and thinned to the rate of the moment.
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

fn rate_factor(steps: &[Step], at_ms: f64) -> f64 {
    let cycle: f64 = steps.iter().map(|step| step.for_ms).sum();
    if cycle <= 0.0 {
        return 1.0;
    }
    let mut left = at_ms % cycle;
    for step in steps {
        if left < step.for_ms {
            return step.factor;
        }
        left -= step.for_ms;
    }
    steps.last().map_or(1.0, |step| step.factor)
}
