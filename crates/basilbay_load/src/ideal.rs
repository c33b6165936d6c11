//! Latency bound of an ideal central queue: no policy can finish the same work sooner on average.
//!
//! All slots of a service serve one FIFO queue, without any delay between caller and target. The
//! simulation replays given arrivals and service times and is exact for them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fastrand::Rng;

use crate::deployment::Deployment;
use crate::plan::Plan;

/// Latency of each job in a FIFO queue with several slots, in the order of arrival.
///
/// `jobs` holds the arrival time and the service time of each job, sorted by arrival.
pub fn queue_latencies(jobs: &[(Duration, Duration)], slots: usize) -> Vec<Duration> {
    let mut free_at: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let mut latencies = Vec::with_capacity(jobs.len());
    for (arrival, service_time) in jobs {
        let earliest = if free_at.len() < slots.max(1) {
            *arrival
        } else {
            free_at.pop().map_or(*arrival, |Reverse(at)| at)
        };
        let end = earliest.max(*arrival) + *service_time;
        free_at.push(Reverse(end));
        latencies.push(end - *arrival);
    }
    latencies
}

/// Sorted latencies of a plan in one ideal queue per service, with random service times from
/// `seed`.
pub fn bound(deployment: &Deployment, plan: &Plan, seed: u64) -> Vec<Duration> {
    let mut all = Vec::new();
    for group in &deployment.groups {
        let mut rng = Rng::with_seed(seed);
        let mut jobs = Vec::new();
        for arrival in &plan.arrivals {
            let stream = &plan.streams[arrival.stream];
            if stream.service != group.service {
                continue;
            }
            let Some(workload) = group
                .workloads
                .iter()
                .find(|workload| workload.kind == stream.kind)
            else {
                continue;
            };
            let spread = (workload.service_time.sigma * standard_normal(&mut rng)).exp();
            let median = Duration::from_micros(workload.service_time.median_us);
            jobs.push((arrival.at, median.mul_f64(spread)));
        }
        let service = deployment.config.service(&group.service);
        let slots = service.map_or(0, |service| service.contract.slots) as usize;
        all.extend(queue_latencies(&jobs, slots * group.targets));
    }
    all.sort_unstable();
    all
}

/// Standard normal random number (Box-Muller transform).
fn standard_normal(rng: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
