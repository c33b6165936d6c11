//! An instance or a target is replaced by another one at the same addresses.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, SystemTime};

use basilbay_fakes::targets::fault;
use fleet::load::{self, Caller, Load, Outcome, Record, now_us};
use fleet::plan::Plan;
use fleet::{Fleet, WAIT_TIMEOUT};
use futures::future::join_all;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// `OWNERSHIP_GRACE` of 4 s plus the time between the first roster and the readiness of the last
/// daemon.
const KEY_GRACE: Duration = Duration::from_millis(4_300);

/// Number of keys that are sent before and after the replacement; the replaced instance owns one in
/// four.
const KEY_COUNT: usize = 60;

fn new_key() -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let since = since.expect("the clock is after 1970");
    let timestamp =
        uuid::Timestamp::from_unix(uuid::NoContext, since.as_secs(), since.subsec_nanos());
    uuid::Uuid::new_v7(timestamp).to_string()
}

async fn send(fleet: &Fleet, through: &[usize], keys: &[(String, String)]) -> Vec<Record> {
    let caller = Caller::default();
    let entries = fleet.entries(through);
    let calls = keys
        .iter()
        .enumerate()
        .map(|(count, (id, key))| caller.call(entries[count % entries.len()], "pay", id, key));
    join_all(calls).await
}

/// Kills the daemon and the target of an instance and starts another instance at the same
/// addresses.
async fn replace(fleet: &mut Fleet, index: usize) {
    let old = fleet.instances[index].id.clone();
    let crash = fault::Change {
        crash: Some(fault::Crash::default()),
        ..fault::Change::default()
    };
    assert!(fleet.targets.change(&old, &crash));
    fleet.kill(index);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.instances[index].id = format!("{old}-b");
    fleet.publish_instances(&fleet.all(), 0);
    fleet.spawn(index);
    let is_ready = |status: &basilbay_admin::Status| matches!(&*status.state, "cold" | "warm");
    fleet.wait_until(&[index], WAIT_TIMEOUT, is_ready).await;
}

/// Guards against a new instance that is treated as its predecessor, as if it were warm or had the
/// keys, and against idempotent requests that are lost during the replacement.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_addresses() {
    let mut fleet = Fleet::start(Plan::default()).await;
    let replaced = 1;
    assert_eq!(fleet.instances[replaced].id, "pay-1");
    let others: Vec<usize> = fleet
        .all()
        .into_iter()
        .filter(|index| *index != replaced)
        .collect();
    // A daemon owns only keys that were issued after its first roster and the grace period.
    tokio::time::sleep(KEY_GRACE).await;
    let keys: Vec<(String, String)> = (0..KEY_COUNT)
        .map(|_| (load::next_id("pay"), new_key()))
        .collect();
    let first = send(&fleet, &others, &keys).await;
    let load = Load::start(fleet.entries(&others), vec!["fit", "pay"], REQUEST_INTERVAL);
    replace(&mut fleet, replaced).await;
    let since_us = now_us();
    let resent = send(&fleet, &others, &keys).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let during = load.stop().await;

    let runs = fleet.finished_runs().await;
    println!("before: {:?}", load::verify(&first, &runs));
    let resent_tally = load::verify(&resent, &runs);
    println!(
        "resent: {resent_tally:?}, during: {:?}",
        load::verify(&during, &runs)
    );
    let lost = during.iter().filter(|record| {
        let is_refused = matches!(record.outcome, Outcome::NotRun(_));
        record.id.starts_with("fit") && record.outcome != Outcome::Answered && !is_refused
    });
    assert_eq!(lost.count(), 0, "{during:?}");
    assert!(
        resent_tally.unknown > 0,
        "no unknown outcome: the new instance claims the keys of its predecessor"
    );
    assert_eq!(resent_tally.lost, 0, "{resent:?}");
    let answered = resent
        .iter()
        .filter(|record| record.outcome == Outcome::Answered);
    assert!(answered.count() > 0, "no key is stored: {resent:?}");

    let new: Vec<_> = runs
        .iter()
        .filter(|run| &*run.target == "pay-1" && run.start_us >= since_us)
        .collect();
    assert!(
        new.iter().any(|run| run.cold),
        "the new instance got no requests while cold"
    );
    let violations = fleet.targets.violations();
    let over_cold: u64 = violations.iter().map(|violation| violation.over_cold).sum();
    assert_eq!(over_cold, 0, "{violations:?}");
}

/// Guards against a target that crashes while idle and returns cold, but is still treated as warm
/// by its daemon because no request failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_target_crash() {
    let fleet = Fleet::start(Plan {
        domains: 2,
        services: vec!["fit"],
        ..Plan::default()
    })
    .await;
    let load = Load::start(fleet.entries(&fleet.all()), vec!["fit"], REQUEST_INTERVAL);
    let is_warm = |status: &basilbay_admin::Status| &*status.state == "warm";
    fleet.wait_until(&[0], WAIT_TIMEOUT, is_warm).await;
    load.stop().await;
    let crash = fault::Change {
        crash: Some(fault::Crash::default()),
        ..fault::Change::default()
    };
    assert!(fleet.targets.change("fit-1", &crash));
    let detected = fleet.daemon(0).wait_for_event(300, 1).await;
    println!("the crash of an idle target was detected after {detected:?}");
    fleet.daemon(0).wait_for_event(303, 1).await;
    let status = fleet.status(0).await.expect("the daemon responds");
    assert_eq!(&*status.state, "cold");
}
