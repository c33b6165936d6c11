//! Targets that leave the fleet in a planned way.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::load::{self, Load, now_us};
use fleet::plan::Plan;
use fleet::{Fleet, LEAVING_LIMIT, POLL_INTERVAL, WAIT_TIMEOUT};
use rustix::process::Signal;

/// Interval between two requests; it keeps about 10 of 72 slots in use.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which the load continues after the limit, so that late starts are seen.
const OBSERVATION_TIME: Duration = Duration::from_millis(300);

/// Long enough that there are always requests in flight.
const SERVICE_TIME_US: u64 = 50_000;

fn plan() -> Plan {
    Plan {
        service_time_us: SERVICE_TIME_US,
        ..Plan::default()
    }
}

/// Asserts that a target started no request after the limit and that no run was aborted.
async fn verify(fleet: &Fleet, leaving: usize, since_us: u64, load: Load) {
    let records = load.stop().await;
    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    assert!(!fleet.runs_started_since(&runs, &[leaving], 0).is_empty());
    load::print_refusals(&records);
    let late = fleet.runs_started_since(&runs, &[leaving], since_us);
    let last = late.iter().map(|run| run.start_us - since_us).max();
    println!("last start {last:?} us after the target began to leave, {tally:?}");
    assert!(last.is_none_or(|last| u128::from(last) <= LEAVING_LIMIT.as_micros()));
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    let aborted = load::aborted_runs(&runs);
    assert!(aborted.is_empty(), "aborted runs: {aborted:?}");
}

/// Guards against new requests on a target that stops as planned, against requests that its stop
/// aborts, and against peers that rely on the instance list, which still lists it as live.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop() {
    let mut fleet = Fleet::start(plan()).await;
    let leaving = 0;
    let others: Vec<usize> = fleet.all().into_iter().skip(1).collect();
    let load = Load::start(fleet.entries(&others), vec!["fit", "pay"], REQUEST_INTERVAL);
    while fleet.targets.status()[leaving].in_flight == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let since_us = now_us();
    fleet.daemon(leaving).signal(Signal::TERM);
    for index in &others {
        fleet.daemon(*index).wait_for_event(602, 1).await;
    }
    let notified = Duration::from_micros(now_us() - since_us);
    println!("all peers were notified after {notified:?}");
    assert!(notified <= LEAVING_LIMIT, "{notified:?}");
    let daemon = fleet.daemons[leaving].as_mut().expect("the daemon runs");
    assert!(
        daemon.wait_for_exit().await,
        "the daemon did not exit with success"
    );
    let elapsed = Duration::from_micros(now_us() - since_us);
    tokio::time::sleep((LEAVING_LIMIT + OBSERVATION_TIME).saturating_sub(elapsed)).await;
    verify(&fleet, leaving, since_us, load).await;
}

/// Guards against new requests on a target that the instance list marks as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_in_list() {
    let fleet = Fleet::start(plan()).await;
    let leaving = 0;
    let load = Load::start(
        fleet.entries(&fleet.all()),
        vec!["fit", "pay"],
        REQUEST_INTERVAL,
    );
    while fleet.targets.status()[leaving].in_flight == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let since_us = now_us();
    fleet.platforms[0]
        .mark_leaving(&fleet.instances[leaving].id)
        .expect("the instance is listed");
    tokio::time::sleep(LEAVING_LIMIT + OBSERVATION_TIME).await;
    verify(&fleet, leaving, since_us, load).await;
    let status = fleet.status(leaving).await.expect("the daemon responds");
    assert_eq!(&*status.state, "leaving");
}

/// Guards against a daemon that stops before its callers have their responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pending_callers() {
    let mut fleet = Fleet::start(Plan {
        service_time_us: 2_500_000,
        ..plan()
    })
    .await;
    let entries = fleet.entries(&[0]);
    let load = Load::start(entries, vec!["fit", "pay"], 20 * REQUEST_INTERVAL);
    let is_busy = |status: &basilbay_admin::Status| status.in_flight > 0;
    fleet.wait_until(&[0], WAIT_TIMEOUT, is_busy).await;
    // Some requests run on the targets and none has completed yet.
    tokio::time::sleep(5 * 20 * REQUEST_INTERVAL).await;
    fleet.daemon(0).signal(Signal::TERM);
    let records = load.stop().await;
    let daemon = fleet.daemons[0].as_mut().expect("the daemon runs");
    assert!(
        daemon.wait_for_exit().await,
        "the daemon did not exit with success"
    );
    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    println!("{tally:?}");
    assert!(tally.answered > 1, "{tally:?}");
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{records:?}");
}
