//! Daemons that stand still for a while and go on with an old view.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::Duration;

use basilbay_admin::Status;
use fleet::load::{self, Caller, Load, Outcome, Record, now_us};
use fleet::plan::{self, Plan};
use fleet::{Fleet, PATIENCE};
use futures::future::join_all;
use rustix::process::Signal;

/// Time for which a daemon stands still.
const PAUSE: Duration = Duration::from_secs(2);

/// Time between two requests.
const GAP: Duration = Duration::from_millis(5);

/// Time in which late work would show.
const AFTER: Duration = Duration::from_millis(700);

/// Pauses the daemon of seat 0, takes its failure domain out meanwhile and lets it go on.
///
/// Returns when it was let go on.
async fn pause(fleet: &Fleet) -> u64 {
    let daemon = fleet.daemon(0);
    daemon.signal(Signal::STOP);
    fleet.publish(2, &plan::out("d-1"));
    tokio::time::sleep(PAUSE).await;
    let resumed_us = now_us();
    daemon.signal(Signal::CONT);
    daemon.until_event(103, 1).await;
    let confirmed = daemon.until_event(104, 1).await;
    println!("confirmed {confirmed:?} after the pause was noticed");
    resumed_us
}

/// Asserts that the target of seat 0 started nothing after the pause.
async fn check(fleet: &Fleet, resumed_us: u64, records: &[Record]) {
    let runs = fleet.account().await;
    let tally = load::check(records, &runs);
    println!("{tally:?}");
    assert_eq!(tally.lost, 0, "{records:?}");
    assert!(!fleet.started_since(&runs, &[0], 0).is_empty());
    assert_eq!(fleet.started_since(&runs, &[0], resumed_us), []);
}

async fn serves_as_entry(fleet: &Fleet) {
    let id = load::next_id("fit");
    let record = Caller::default()
        .call(fleet.seats[0].callers, "fit", &id, "")
        .await;
    assert_eq!(record.outcome, Outcome::Answered);
}

/// Guards against work on the view from before a pause: the target's failure domain went out
/// meanwhile, and requests waited in the daemon's sockets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn waiting_callers() {
    let fleet = Fleet::start(Plan::default()).await;
    let load = Load::start(fleet.entries(&fleet.all()), vec!["fit", "pay"], GAP);
    tokio::time::sleep(AFTER).await;
    let paused_us = now_us();
    let resumed_us = pause(&fleet).await;
    tokio::time::sleep(AFTER).await;
    let records = load.stop().await;
    check(&fleet, resumed_us, &records).await;
    let entry = fleet.seats[0].callers;
    let waited = records.iter().filter(|record| {
        record.entry == entry && record.sent_us > paused_us && record.sent_us < resumed_us
    });
    let waited: Vec<&Record> = waited.collect();
    let is_refused = |record: &&&Record| matches!(record.outcome, Outcome::NotRun(_));
    let refused = waited.iter().filter(is_refused).count();
    println!(
        "{refused} of {} waiting requests were refused",
        waited.len()
    );
    assert!(refused > 0);
    serves_as_entry(&fleet).await;
}

/// Guards against queued requests that a daemon hands to its target after a pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn waiting_queue() {
    let fleet = Fleet::start(Plan {
        service_us: 300_000,
        services: vec!["fit"],
        ..Plan::default()
    })
    .await;
    let caller = Caller::default();
    let entries = fleet.entries(&[1, 2, 3]);
    let calls = (0..60).map(|count| {
        let caller = caller.clone();
        let entry = entries[count % entries.len()];
        async move { caller.call(entry, "fit", &load::next_id("fit"), "").await }
    });
    let calls = tokio::spawn(join_all(calls));
    let has_queue = |status: &Status| status.queued > 0;
    fleet.until(&[0], PATIENCE, has_queue).await;
    let resumed_us = pause(&fleet).await;
    let records = calls.await.expect("the calls end");
    check(&fleet, resumed_us, &records).await;
    serves_as_entry(&fleet).await;
}
