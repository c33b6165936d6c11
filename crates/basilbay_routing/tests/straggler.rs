//! A target that becomes several times slower than its siblings gets few requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_routing::cluster::{Attempt, Cluster, Target};
use basilbay_routing::straggler;

/// Typical service time, in seconds.
const TYPICAL_S: f64 = 0.25;

fn cluster(now: Instant) -> Cluster {
    let mut cluster = Cluster::default();
    let targets = (0..4).map(|index| {
        let id = Arc::from(format!("desk-{index}"));
        Target::new(id, Arc::from("north"), true)
    });
    cluster.sync(targets.collect());
    for target in &mut cluster.targets {
        target.latency_s = TYPICAL_S;
    }
    cluster.refresh_summary(now);
    cluster
}

fn send(cluster: &mut Cluster, index: usize, call: u64, now: Instant) {
    let attempt = Attempt {
        call,
        sent_at: now,
        may_wait: false,
    };
    cluster.record_start(index, attempt);
}

/// Guards against a target that is five times as slow but keeps its share: one of six workers took
/// 1.1 s instead of 250 ms for eight seconds and still got requests.
#[test]
fn slow_target_ejected() {
    let now = Instant::now();
    let mut cluster = cluster(now);
    send(&mut cluster, 0, 1, now);
    straggler::detect(&mut cluster, now + Duration::from_millis(700));
    assert!(straggler::admits(&cluster.targets[0], now));
    let late = now + Duration::from_millis(800);
    straggler::detect(&mut cluster, late);
    assert!(!straggler::admits(&cluster.targets[0], late));
    // A trial that takes just as long does not end the ejection.
    cluster.record_end(0, 1);
    straggler::record_success(&mut cluster, 0, Duration::from_millis(1100));
    assert!(cluster.targets[0].ejection.is_active());
    straggler::record_success(&mut cluster, 0, Duration::from_millis(300));
    assert!(!cluster.targets[0].ejection.is_active());
}

/// Guards against a slowdown of the whole service that ejects more than half of it.
#[test]
fn half_stays_eligible() {
    let now = Instant::now();
    let mut cluster = cluster(now);
    for index in 0..4 {
        send(&mut cluster, index, index as u64, now);
    }
    straggler::detect(&mut cluster, now + Duration::from_secs(2));
    let ejected = cluster.targets.iter().filter(|it| it.ejection.is_active());
    assert_eq!(ejected.count(), 2);
}
