//! Which targets are avoided for a while because they are slow.
//!
//! A target is compared with its siblings at the same time, so that a slow moment of the whole
//! service ejects nobody. At most half of a service is avoided, whatever the figures say: the rest
//! could not bear the load. A target that was avoided gets one request at a time as a trial.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Target};

/// Service time over the siblings' median that makes a straggler. A target that takes four to five
/// times as long must be clearly above it; three in 1,000 undisturbed requests are, which costs one
/// short ejection each.
const LATENCY_FACTOR: f64 = 3.0;

/// Shortest threshold that counts; below it, timers and scheduling blur the comparison.
const MIN_SILENCE: Duration = Duration::from_millis(20);

/// Time that a straggler is avoided at first; it doubles with each failed trial.
const BASE_EJECTION: Duration = Duration::from_millis(50);

/// Longest time between two trials.
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Whether a target is avoided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ejection {
    /// When a trial may be sent; `None` while the target is not avoided.
    pub until: Option<Instant>,
    /// Consecutive ejections.
    pub count: u32,
}

impl Ejection {
    /// Whether requests other than a trial should go elsewhere.
    pub fn is_active(&self) -> bool {
        self.until.is_some()
    }

    fn extend(&mut self, now: Instant) {
        let doublings = self.count.min(6);
        let duration = BASE_EJECTION
            .saturating_mul(1 << doublings)
            .min(MAX_EJECTION);
        self.until = Some(now + duration);
        self.count += 1;
    }

    fn clear(&mut self) {
        self.until = None;
        self.count = 0;
    }
}

/// Whether a target may be offered a request as far as these rules go.
pub fn admits(target: &Target, now: Instant) -> bool {
    match target.ejection.until {
        None => true,
        Some(until) => now >= until && target.outstanding.is_empty(),
    }
}

/// Looks for stragglers among the targets of a service.
pub fn detect(cluster: &mut Cluster, now: Instant) {
    let Some(threshold) = silence_threshold(cluster) else {
        return;
    };
    let mut headroom = ejection_headroom(cluster, now);
    for target in &mut cluster.targets {
        let is_silent = target
            .outstanding
            .first()
            .is_some_and(|oldest| now.saturating_duration_since(oldest.sent_at) > threshold);
        if !is_silent {
            continue;
        }
        match target.ejection.until {
            Some(until) if now >= until => target.ejection.extend(now),
            Some(_) => {}
            None if headroom > 0 => {
                headroom -= 1;
                target.ejection.extend(now);
            }
            None => {}
        }
    }
}

/// Readmits a target after a trial that took no longer than its siblings need.
pub fn record_success(cluster: &mut Cluster, index: usize, took: Duration) {
    let target = &cluster.targets[index];
    if !target.ejection.is_active() {
        return;
    }
    if silence_threshold(cluster).is_none_or(|threshold| took <= threshold) {
        cluster.targets[index].ejection.clear();
    }
}

/// Avoids a target whose connection failed.
pub fn record_failure(cluster: &mut Cluster, index: usize, now: Instant) {
    let is_active = cluster.targets[index].ejection.is_active();
    if is_active || ejection_headroom(cluster, now) > 0 {
        cluster.targets[index].ejection.extend(now);
    }
}

/// Time without an answer that makes a straggler.
fn silence_threshold(cluster: &Cluster) -> Option<Duration> {
    let median = cluster.summary.median_latency_s?;
    Some(MIN_SILENCE.max(Duration::from_secs_f64(median * LATENCY_FACTOR)))
}

/// Targets that may be avoided on top of those that are.
fn ejection_headroom(cluster: &Cluster, now: Instant) -> usize {
    let ejected = cluster
        .targets
        .iter()
        .filter(|target| target.takes_work(now) && target.ejection.is_active());
    cluster.summary.max_ejected.saturating_sub(ejected.count())
}
