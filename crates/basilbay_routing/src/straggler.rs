//! Outlier ejection: targets that take much longer than their siblings are avoided for a while.
//!
//! A target is compared with its siblings at the same time, so that a slowdown of the whole service
//! ejects none. At most half of the targets are ejected, whatever their latency, because the rest
//! could not handle the load. An ejected target gets one request at a time as a trial.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Target};

/// Factor over the siblings' median service time above which a target is a straggler. A target that
/// is four to five times as slow must clearly exceed it; three in 1,000 undisturbed requests exceed
/// it as well and each cause one short ejection.
const LATENCY_FACTOR: f64 = 3.0;

/// Minimum time without a response for which a target is ejected; below it, the delays of timers
/// and of scheduling distort the comparison.
const MIN_LATENCY_THRESHOLD: Duration = Duration::from_millis(20);

/// Duration of the first ejection; it doubles with each failed trial.
const BASE_EJECTION: Duration = Duration::from_millis(50);

/// Maximum time between trials.
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Ejection state of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ejection {
    /// When a trial may be sent; `None` while the target is not ejected.
    pub until: Option<Instant>,
    /// Number of consecutive ejections; 0 while the target is not ejected.
    pub count: u32,
}

impl Ejection {
    /// Whether only trials may go to the target.
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

/// Whether the ejection state allows a request to the target.
pub fn admits(target: &Target, now: Instant) -> bool {
    match target.ejection.until {
        None => true,
        Some(until) => now >= until && target.outstanding.is_empty(),
    }
}

/// Ejects targets whose oldest outstanding request exceeds the latency threshold, and extends the
/// ejection of those whose trial does.
pub fn detect(cluster: &mut Cluster, now: Instant) {
    let Some(threshold) = latency_threshold(cluster) else {
        return;
    };
    let mut headroom = ejection_headroom(cluster, now);
    for target in &mut cluster.targets {
        let is_overdue = target
            .outstanding
            .first()
            .is_some_and(|oldest| now.saturating_duration_since(oldest.sent_at) > threshold);
        if !is_overdue {
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

/// Records a response; a trial that took no longer than the latency threshold ends the ejection.
pub fn record_success(cluster: &mut Cluster, index: usize, duration: Duration) {
    let target = &cluster.targets[index];
    if !target.ejection.is_active() {
        return;
    }
    if latency_threshold(cluster).is_none_or(|threshold| duration <= threshold) {
        cluster.targets[index].ejection.clear();
    }
}

/// Ejects a target after a failed connection.
pub fn record_failure(cluster: &mut Cluster, index: usize, now: Instant) {
    let is_active = cluster.targets[index].ejection.is_active();
    if is_active || ejection_headroom(cluster, now) > 0 {
        cluster.targets[index].ejection.extend(now);
    }
}

/// Time without a response above which a target is a straggler; `None` while service times are
/// unknown.
fn latency_threshold(cluster: &Cluster) -> Option<Duration> {
    let median = cluster.summary.median_latency_s?;
    Some(MIN_LATENCY_THRESHOLD.max(Duration::from_secs_f64(median * LATENCY_FACTOR)))
}

/// Number of targets that may be ejected in addition to those already ejected.
fn ejection_headroom(cluster: &Cluster, now: Instant) -> usize {
    let ejected = cluster
        .targets
        .iter()
        .filter(|target| target.accepts_requests(now) && target.ejection.is_active());
    cluster.summary.max_ejected.saturating_sub(ejected.count())
}
