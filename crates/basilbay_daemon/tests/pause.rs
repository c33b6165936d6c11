//! Daemons that are paused and resume with stale configuration and roster.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::Duration;

use basilbay_admin::Status;
use fleet::load::{self, Caller, Load, Outcome, Record, now_us};
use fleet::plan::{self, Plan};
use fleet::{Fleet, WAIT_TIMEOUT};
use futures::future::join_all;
use rustix::process::Signal;

/// Time for which a daemon is paused.
const PAUSE: Duration = Duration::from_secs(2);

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a test watches for late starts.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);

/// Pauses the daemon of instance 0, takes its failure domain out meanwhile and resumes the daemon.
///
/// Returns the time of the resumption in microseconds since the Unix epoch.
async fn pause(fleet: &Fleet) -> u64 {
    let daemon = fleet.daemon(0);
    daemon.signal(Signal::STOP);
    fleet.publish(2, &plan::domain_out("d-1"));
    tokio::time::sleep(PAUSE).await;
    let resumed_us = now_us();
    daemon.signal(Signal::CONT);
    daemon.wait_for_event(103, 1).await;
    let confirmed = daemon.wait_for_event(104, 1).await;
    println!("confirmed {confirmed:?} after the pause was detected");
    resumed_us
}

/// Asserts that the target of instance 0 started no request after the pause.
async fn verify(fleet: &Fleet, resumed_us: u64, records: &[Record]) {
    let runs = fleet.finished_runs().await;
    let tally = load::verify(records, &runs);
    println!("{tally:?}");
    assert_eq!(tally.lost, 0, "{records:?}");
    assert!(!fleet.runs_started_since(&runs, &[0], 0).is_empty());
    assert_eq!(fleet.runs_started_since(&runs, &[0], resumed_us), []);
}

async fn assert_serves_callers(fleet: &Fleet) {
    let id = load::next_id("fit");
    let record = Caller::default()
        .call(fleet.instances[0].callers, "fit", &id, "")
        .await;
    assert_eq!(record.outcome, Outcome::Answered);
}

/// Guards against requests that a daemon routes with its state from before a pause: the failure
/// domain of its target went out meanwhile, and requests wait in the socket buffers of the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pending_requests() {
    let fleet = Fleet::start(Plan::default()).await;
    let load = Load::start(
        fleet.entries(&fleet.all()),
        vec!["fit", "pay"],
        REQUEST_INTERVAL,
    );
    tokio::time::sleep(OBSERVATION_TIME).await;
    let paused_us = now_us();
    let resumed_us = pause(&fleet).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    let records = load.stop().await;
    verify(&fleet, resumed_us, &records).await;
    let entry = fleet.instances[0].callers;
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
    assert_serves_callers(&fleet).await;
}

/// Guards against queued requests that a daemon starts on its target after a pause, although its
/// failure domain went out meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn queued_requests() {
    let fleet = Fleet::start(Plan {
        service_time_us: 300_000,
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
    fleet.wait_until(&[0], WAIT_TIMEOUT, has_queue).await;
    let resumed_us = pause(&fleet).await;
    let records = calls.await.expect("the calls do not panic");
    verify(&fleet, resumed_us, &records).await;
    assert_serves_callers(&fleet).await;
}
