//! An instance that is replaced at the same addresses.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, SystemTime};

use basilbay_fakes::targets::fault;
use fleet::load::{self, Caller, Load, Outcome, Record, now_us};
use fleet::plan::Plan;
use fleet::{Fleet, PATIENCE};
use futures::future::join_all;

/// Time between two requests.
const GAP: Duration = Duration::from_millis(5);

/// `HOME_GRACE` and the time between the first view and the last daemon's readiness.
const GRACE: Duration = Duration::from_millis(4_300);

/// Keys that are sent before and after; one in four is owned by the instance that is replaced.
const KEYS: usize = 60;

fn key() -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let since = since.expect("after 1970");
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, since.as_secs(), since.subsec_nanos());
    uuid::Uuid::new_v7(stamp).to_string()
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

/// Kills the daemon and the target of a seat and starts another instance at the same addresses.
async fn replace(fleet: &mut Fleet, index: usize) {
    let old = fleet.seats[index].id.clone();
    let crash = fault::Change {
        crash: Some(fault::Crash::default()),
        ..fault::Change::default()
    };
    assert!(fleet.targets.change(&old, &crash));
    fleet.kill(index);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.seats[index].id = format!("{old}-b");
    fleet.list(&fleet.all(), 0);
    fleet.spawn(index);
    let takes_work = |status: &basilbay_admin::Status| matches!(&*status.state, "cold" | "warm");
    fleet.until(&[index], PATIENCE, takes_work).await;
}

/// Guards against a replacement that is taken for the instance before it: warm, or with its keys;
/// and against idempotent requests that get lost meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_addresses() {
    let mut fleet = Fleet::start(Plan::default()).await;
    let replaced = 1;
    assert_eq!(fleet.seats[replaced].id, "pay-1");
    let others: Vec<usize> = fleet
        .all()
        .into_iter()
        .filter(|index| *index != replaced)
        .collect();
    // Daemons answer for keys that were issued after their own first view and the grace.
    tokio::time::sleep(GRACE).await;
    let keys: Vec<(String, String)> = (0..KEYS).map(|_| (load::next_id("pay"), key())).collect();
    let first = send(&fleet, &others, &keys).await;
    let load = Load::start(fleet.entries(&others), vec!["fit", "pay"], GAP);
    replace(&mut fleet, replaced).await;
    let since_us = now_us();
    let again = send(&fleet, &others, &keys).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let during = load.stop().await;

    let runs = fleet.account().await;
    println!("before: {:?}", load::check(&first, &runs));
    let again_tally = load::check(&again, &runs);
    println!(
        "again: {again_tally:?}, during: {:?}",
        load::check(&during, &runs)
    );
    let lost = during.iter().filter(|record| {
        let is_refused = matches!(record.outcome, Outcome::NotRun(_));
        record.id.starts_with("fit") && record.outcome != Outcome::Answered && !is_refused
    });
    assert_eq!(lost.count(), 0, "{during:?}");
    assert!(
        again_tally.unknown > 0,
        "the new instance knows the old one's keys"
    );
    assert_eq!(again_tally.lost, 0, "{again:?}");
    let answered = again
        .iter()
        .filter(|record| record.outcome == Outcome::Answered);
    assert!(answered.count() > 0, "no key is remembered: {again:?}");

    let new: Vec<_> = runs
        .iter()
        .filter(|run| &*run.target == "pay-1" && run.start_us >= since_us)
        .collect();
    assert!(
        new.iter().any(|run| run.cold),
        "the new instance gets no work"
    );
    let violations = fleet.targets.violations();
    let over_cold: u64 = violations.iter().map(|violation| violation.over_cold).sum();
    assert_eq!(over_cold, 0, "{violations:?}");
}

/// Guards against a target that ends and comes back cold while nothing runs on it, and that its
/// daemon takes for the warm one from before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_target() {
    let fleet = Fleet::start(Plan {
        domains: 2,
        services: vec!["fit"],
        ..Plan::default()
    })
    .await;
    let load = Load::start(fleet.entries(&fleet.all()), vec!["fit"], GAP);
    let is_warm = |status: &basilbay_admin::Status| &*status.state == "warm";
    fleet.until(&[0], PATIENCE, is_warm).await;
    load.stop().await;
    let crash = fault::Change {
        crash: Some(fault::Crash::default()),
        ..fault::Change::default()
    };
    assert!(fleet.targets.change("fit-1", &crash));
    let noticed = fleet.daemon(0).until_event(300, 1).await;
    println!("the end of an idle target is noticed after {noticed:?}");
    fleet.daemon(0).until_event(303, 1).await;
    let status = fleet.status(0).await.expect("the daemon answers");
    assert_eq!(&*status.state, "cold");
}
