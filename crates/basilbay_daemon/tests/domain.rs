//! Operators take a failure domain out of service and bring it back.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_admin::Status;
use basilbay_fakes::proxy::fault::Faults;
use basilbay_fakes::targets::fault;
use fleet::daemon::explain;
use fleet::load::{self, Load, now_us};
use fleet::plan::{self, Change, Plan};
use fleet::{CHANGE_LIMIT, Fleet, POLL_INTERVAL, WAIT_TIMEOUT};

/// Interval between two requests; it keeps about 8 of 72 slots in use.
const REQUEST_INTERVAL: Duration = Duration::from_micros(2_500);

/// Time for which the load continues after the limit, so that late starts are seen.
const OBSERVATION_TIME: Duration = Duration::from_millis(300);

/// Age below which reported load is fresh; load that arrives with responses is one second old at
/// the planned scale.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);

fn plan() -> Plan {
    Plan {
        service_time_us: 20_000,
        ..Plan::default()
    }
}

fn services() -> Vec<&'static str> {
    vec!["fit", "pay"]
}

/// Publishes that `d-1` is out and asserts that its targets start no request after the limit.
async fn take_out(fleet: &Fleet) {
    let load = Load::start(fleet.entries(&fleet.all()), services(), REQUEST_INTERVAL);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let published_us = now_us();
    fleet.publish(2, &plan::domain_out("d-1"));
    let applied = fleet.wait_for_version(&fleet.all(), 2).await;
    let elapsed = Duration::from_micros(now_us() - published_us);
    tokio::time::sleep((CHANGE_LIMIT + OBSERVATION_TIME).saturating_sub(elapsed)).await;
    let records = load.stop().await;

    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    let d_1 = fleet.in_domain("d-1");
    let before = fleet.runs_started_since(&runs, &d_1, 0);
    assert!(!before.is_empty(), "d-1 had no requests before the change");
    let late = fleet.runs_started_since(&runs, &d_1, published_us);
    let last = late.iter().map(|run| run.start_us - published_us).max();
    println!("out: applied after {applied:?}, last start {last:?} us, {tally:?}");
    assert!(last.is_none_or(|last| u128::from(last) <= CHANGE_LIMIT.as_micros()));
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    let aborted: Vec<&load::Run> = load::aborted_runs(&runs);
    assert!(aborted.is_empty(), "aborted runs: {aborted:?}");
}

/// Guards against new requests in a failure domain that is out, against requests that are aborted
/// there, and against requests that are lost while the load moves to other domains.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_out() {
    let fleet = Fleet::start(plan()).await;
    take_out(&fleet).await;
}

/// Guards against daemons that miss a change because they cannot reach the configuration service;
/// they have to pull it from peers that can.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn config_unreachable() {
    let fleet = Fleet::start(Plan {
        config_via_proxy: vec![0, 1, 2, 3],
        ..plan()
    })
    .await;
    let partition = Faults {
        partition: true,
        ..Faults::default()
    };
    assert!(fleet.proxy.set_faults("config", partition));
    take_out(&fleet).await;
}

/// Guards against overload of targets that turned cold while their failure domain was out, by
/// daemons that still treat them as warm.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_returns_cold() {
    let fleet = Fleet::start(plan()).await;
    let load = Load::start(fleet.entries(&fleet.all()), services(), REQUEST_INTERVAL);
    let d_1 = fleet.in_domain("d-1");
    let is_warm = |status: &Status| status.state.as_ref() == "warm";
    fleet.wait_until(&d_1, WAIT_TIMEOUT, is_warm).await;
    fleet.publish(2, &plan::domain_out("d-1"));
    fleet.wait_for_version(&fleet.all(), 2).await;
    let is_empty = |status: &Status| status.in_flight == 0;
    fleet.wait_until(&d_1, WAIT_TIMEOUT, is_empty).await;
    for index in &d_1 {
        let cold = fault::Change {
            cool: Some(true),
            ..fault::Change::default()
        };
        assert!(fleet.targets.change(&fleet.instances[*index].id, &cold));
    }
    let published_us = now_us();
    fleet.publish(3, &Change::default());
    let applied = fleet.wait_for_version(&fleet.all(), 3).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let records = load.stop().await;

    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    let back = fleet.runs_started_since(&runs, &d_1, published_us);
    println!(
        "back: applied after {applied:?}, {} runs, {tally:?}",
        back.len()
    );
    let is_cold = back.iter().any(|run| run.cold);
    assert!(is_cold, "d-1 got no requests while cold after its return");
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    let violations = fleet.targets.violations();
    let over_cold: u64 = violations.iter().map(|violation| violation.over_cold).sum();
    assert_eq!(over_cold, 0, "{violations:?}");
}

/// Guards against a daemon that never refreshes the load of its local target: while stale load
/// shows the target as full or slow, the daemon sends all its callers to other failure domains
/// forever.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn local_load_fresh() {
    let fleet = Fleet::start(Plan {
        domains: 2,
        services: vec!["fit"],
        ..Plan::default()
    })
    .await;
    // No request runs, so no response carries load.
    tokio::time::sleep(2 * MAX_LOAD_AGE).await;
    let start = Instant::now();
    let mut age = None;
    while age.is_none_or(|age| u128::from(age) >= MAX_LOAD_AGE.as_millis()) {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "load is {age:?} ms old, limit {MAX_LOAD_AGE:?}"
        );
        let explanation = explain(fleet.instances[0].admin).await;
        let candidates = explanation.map_or(Vec::new(), |explanation| explanation.candidates);
        let local = candidates
            .iter()
            .find(|it| *it.instance == *fleet.instances[0].id);
        age = local.and_then(|it| it.age_ms);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
