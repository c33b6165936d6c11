//! Configurations that are old, contradict the one in force, or have findings.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_fakes::platform::fault::Faults;
use fleet::load::{self, Load, now_us};
use fleet::plan::{self, Change, Plan};
use fleet::{CHANGE_LIMIT, Fleet, LOOK};
use rustix::process::Signal;

/// Time between two requests.
const GAP: Duration = Duration::from_millis(5);

/// Longer than the gap that counts as a pause.
const PAUSE: Duration = Duration::from_millis(700);

/// Time in which something that must not happen would happen.
const WATCHED: Duration = Duration::from_secs(2);

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

/// Asserts that all versions a daemon took into force go up.
fn check_forward(fleet: &Fleet) {
    for index in fleet.running() {
        let events = fleet.daemon(index).events();
        let accepted = events.iter().filter(|event| event.number == 200);
        let versions: Vec<u64> = accepted.map(|event| event.version()).collect();
        assert!(
            versions.is_sorted_by(|left, right| left < right),
            "{versions:?}"
        );
    }
}

/// Watches all daemons until they have a version; none may state a lower one than before.
async fn watch(fleet: &Fleet, version: u64) -> Duration {
    let start = Instant::now();
    let mut seen = vec![0; fleet.seats.len()];
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
        assert!(start.elapsed() < CHANGE_LIMIT + WATCHED, "{seen:?}");
        tokio::time::sleep(LOOK).await;
    }
}

/// Guards against versions that go back when the service answers with an older one while all
/// daemons but one are new.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn older_answer() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.publish(2, &plan::out("d-1"));
    fleet.until_version(&fleet.all(), 2).await;
    set_stale(&fleet, Some(1));
    for index in 1..fleet.seats.len() {
        fleet.kill(index);
    }
    for index in 1..fleet.seats.len() {
        fleet.spawn(index);
    }
    let spent = watch(&fleet, 2).await;
    println!("the newer version is in force everywhere after {spent:?}");
    tokio::time::sleep(WATCHED).await;
    fleet.until_version(&fleet.all(), 2).await;
    check_forward(&fleet);
}

/// Guards against a new daemon that serves on an older version although its peers told it of a
/// newer one: the older one has `d-1` in.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn newer_peers() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.publish(2, &plan::out("d-1"));
    fleet.until_version(&fleet.all(), 2).await;
    set_stale(&fleet, Some(1));
    let fresh = fleet.in_domain("d-1");
    for index in &fresh {
        fleet.kill(*index);
    }
    let since_us = now_us();
    let load = Load::start(fleet.entries(&fleet.all()), vec!["fit", "pay"], GAP);
    for index in &fresh {
        fleet.spawn(*index);
    }
    fleet.until_version(&fleet.all(), 2).await;
    tokio::time::sleep(WATCHED).await;
    let records = load.stop().await;
    let runs = fleet.account().await;
    println!("{:?}", load::check(&records, &runs));
    assert_eq!(fleet.started_since(&runs, &fresh, since_us), []);
    check_forward(&fleet);
}

/// Guards against a fleet that does not start when the service has an older version only: nobody
/// remembers the newer one, so the older one is served until the newer one is there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fresh_fleet() {
    let mut fleet = Fleet::prepare(plan()).await;
    fleet.publish(2, &plan::out("d-1"));
    set_stale(&fleet, Some(1));
    for index in fleet.all() {
        fleet.spawn(index);
    }
    fleet.until_serving(1).await;
    set_stale(&fleet, None);
    let spent = fleet.until_version(&fleet.all(), 2).await;
    println!("the newer version is in force everywhere after {spent:?}");
    check_forward(&fleet);
}

/// Guards against another text with the version in force. A daemon that was paused reads the whole
/// text again and meets it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_version() {
    let fleet = Fleet::start(plan()).await;
    fleet.publish(1, &plan::out("d-1"));
    let daemon = fleet.daemon(0);
    daemon.signal(Signal::STOP);
    tokio::time::sleep(PAUSE).await;
    daemon.signal(Signal::CONT);
    daemon.until_event(202, 1).await;
    daemon.until_event(104, 1).await;
    let since_us = now_us();
    let d_1 = fleet.in_domain("d-1");
    let load = Load::start(fleet.entries(&d_1), vec!["fit", "pay"], GAP);
    tokio::time::sleep(PAUSE).await;
    let records = load.stop().await;
    let runs = fleet.account().await;
    println!("{:?}", load::check(&records, &runs));
    for index in &d_1 {
        let runs = fleet.started_since(&runs, &[*index], since_us);
        assert!(!runs.is_empty(), "d-1 is out at {}", fleet.seats[*index].id);
    }
}

/// Guards against a file with findings that comes into force, in whole or in part, and against one
/// that keeps the next good file out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn with_findings() {
    let fleet = Fleet::start(plan()).await;
    let bad = Change {
        out: Some("d-1"),
        more: "\n[service mail]\nslots = many\n",
    };
    fleet.publish(2, &bad);
    // With two instances in each failure domain, all of them read the service.
    for index in fleet.all() {
        fleet.daemon(index).until_event(201, 1).await;
    }
    let since_us = now_us();
    let d_1 = fleet.in_domain("d-1");
    let load = Load::start(fleet.entries(&d_1), vec!["fit", "pay"], GAP);
    tokio::time::sleep(PAUSE).await;
    let records = load.stop().await;
    let runs = fleet.account().await;
    println!("{:?}", load::check(&records, &runs));
    assert!(!fleet.started_since(&runs, &d_1, since_us).is_empty());
    for index in fleet.all() {
        let status = fleet.status(index).await.expect("the daemon answers");
        assert_eq!(status.config_version, 1);
    }
    fleet.publish(3, &Change::default());
    let spent = fleet.until_version(&fleet.all(), 3).await;
    println!("the next good file is in force after {spent:?}");
}
