//! Configurations that are older than the current one, conflict with it, or have findings.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_fakes::platform::fault::Faults;
use fleet::load::{self, Load, now_us};
use fleet::plan::{self, Change, Plan};
use fleet::{CHANGE_LIMIT, Fleet, POLL_INTERVAL};
use rustix::process::Signal;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Longer than the threshold above which a daemon notices a pause.
const PAUSE: Duration = Duration::from_millis(700);

/// Time for which a test watches for something that must not happen.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

fn plan() -> Plan {
    Plan {
        domains: 3,
        ..Plan::default()
    }
}

fn set_stale(fleet: &Fleet, version: Option<u64>) {
    let mut faults = Faults::default();
    faults.config.stale_version = version;
    fleet.platforms[0].set_faults(faults);
}

/// Asserts that each daemon accepted configuration versions in ascending order.
fn assert_versions_ascend(fleet: &Fleet) {
    for index in fleet.running() {
        let events = fleet.daemon(index).events();
        let accepted = events.iter().filter(|event| event.number == 200);
        let versions: Vec<u64> = accepted.map(|event| event.version()).collect();
        assert!(
            versions.is_sorted_by(|left, right| left < right),
            "versions do not ascend: {versions:?}"
        );
    }
}

/// Waits until all daemons report a version, and asserts that no daemon reports a lower version
/// than before.
async fn wait_ascending(fleet: &Fleet, version: u64) -> Duration {
    let start = Instant::now();
    let mut seen = vec![0; fleet.instances.len()];
    loop {
        for (index, highest) in seen.iter_mut().enumerate() {
            if let Some(status) = fleet.status(index).await {
                assert!(status.config_version >= *highest, "{status:?}");
                *highest = status.config_version;
            }
        }
        if seen.iter().all(|highest| *highest == version) {
            return start.elapsed();
        }
        assert!(
            start.elapsed() < CHANGE_LIMIT + OBSERVATION_TIME,
            "{seen:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against versions that go back: the configuration service returns an older version while
/// all daemons but one have restarted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn older_config_offered() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.publish(2, &plan::domain_out("d-1"));
    fleet.wait_for_version(&fleet.all(), 2).await;
    set_stale(&fleet, Some(1));
    for index in 1..fleet.instances.len() {
        fleet.kill(index);
    }
    for index in 1..fleet.instances.len() {
        fleet.spawn(index);
    }
    let elapsed = wait_ascending(&fleet, 2).await;
    println!("the newer version is applied by all daemons after {elapsed:?}");
    tokio::time::sleep(OBSERVATION_TIME).await;
    fleet.wait_for_version(&fleet.all(), 2).await;
    assert_versions_ascend(&fleet);
}

/// Guards against a new daemon that serves with an older version although its peers announced a
/// newer one: in the older version `d-1` is in.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn newer_peers() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.publish(2, &plan::domain_out("d-1"));
    fleet.wait_for_version(&fleet.all(), 2).await;
    set_stale(&fleet, Some(1));
    let restarted = fleet.in_domain("d-1");
    for index in &restarted {
        fleet.kill(*index);
    }
    let since_us = now_us();
    let load = Load::start(
        fleet.entries(&fleet.all()),
        vec!["fit", "pay"],
        REQUEST_INTERVAL,
    );
    for index in &restarted {
        fleet.spawn(*index);
    }
    fleet.wait_for_version(&fleet.all(), 2).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    let records = load.stop().await;
    let runs = fleet.finished_runs().await;
    println!("{:?}", load::verify(&records, &runs));
    assert_eq!(fleet.runs_started_since(&runs, &restarted, since_us), []);
    assert_versions_ascend(&fleet);
}

/// Guards against a fleet that does not start while the service has only an older version: no
/// daemon knows the newer one, so they serve the older one until the newer one is available.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn older_config_only() {
    let mut fleet = Fleet::prepare(plan()).await;
    fleet.publish(2, &plan::domain_out("d-1"));
    set_stale(&fleet, Some(1));
    for index in fleet.all() {
        fleet.spawn(index);
    }
    fleet.wait_until_serving(1).await;
    set_stale(&fleet, None);
    let elapsed = fleet.wait_for_version(&fleet.all(), 2).await;
    println!("the newer version is applied by all daemons after {elapsed:?}");
    assert_versions_ascend(&fleet);
}

/// Guards against accepting a different text under the current version. A daemon reads the full
/// text again after a pause and so gets the conflicting one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn version_conflict() {
    let fleet = Fleet::start(plan()).await;
    fleet.publish(1, &plan::domain_out("d-1"));
    let daemon = fleet.daemon(0);
    daemon.signal(Signal::STOP);
    tokio::time::sleep(PAUSE).await;
    daemon.signal(Signal::CONT);
    daemon.wait_for_event(202, 1).await;
    daemon.wait_for_event(104, 1).await;
    let since_us = now_us();
    let d_1 = fleet.in_domain("d-1");
    let load = Load::start(fleet.entries(&d_1), vec!["fit", "pay"], REQUEST_INTERVAL);
    tokio::time::sleep(PAUSE).await;
    let records = load.stop().await;
    let runs = fleet.finished_runs().await;
    println!("{:?}", load::verify(&records, &runs));
    for index in &d_1 {
        let runs = fleet.runs_started_since(&runs, &[*index], since_us);
        assert!(
            !runs.is_empty(),
            "no requests to d-1 at {}",
            fleet.instances[*index].id
        );
    }
}

/// Guards against a configuration with findings that is applied, fully or partly, and against one
/// that blocks the next valid configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_config() {
    let fleet = Fleet::start(plan()).await;
    let invalid = Change {
        domain_out: Some("d-1"),
        extra_text: "\n[service mail]\nslots = many\n",
    };
    fleet.publish(2, &invalid);
    // With two instances in each failure domain, every daemon reads the configuration service.
    for index in fleet.all() {
        fleet.daemon(index).wait_for_event(201, 1).await;
    }
    let since_us = now_us();
    let d_1 = fleet.in_domain("d-1");
    let load = Load::start(fleet.entries(&d_1), vec!["fit", "pay"], REQUEST_INTERVAL);
    tokio::time::sleep(PAUSE).await;
    let records = load.stop().await;
    let runs = fleet.finished_runs().await;
    println!("{:?}", load::verify(&records, &runs));
    assert!(!fleet.runs_started_since(&runs, &d_1, since_us).is_empty());
    for index in fleet.all() {
        let status = fleet.status(index).await.expect("the daemon responds");
        assert_eq!(status.config_version, 1);
    }
    fleet.publish(3, &Change::default());
    let elapsed = fleet.wait_for_version(&fleet.all(), 3).await;
    println!("the next valid configuration is applied after {elapsed:?}");
}
