//! A failure domain that operators take out and bring back.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_admin::Status;
use basilbay_fakes::proxy::fault::Faults;
use basilbay_fakes::targets::fault;
use fleet::daemon::explain;
use fleet::load::{self, Load, now_us};
use fleet::plan::{self, Change, Plan};
use fleet::{CHANGE_LIMIT, Fleet, LOOK, PATIENCE};

/// Time between two requests: about 8 of 72 slots are in use.
const GAP: Duration = Duration::from_micros(2_500);

/// Time for which the load goes on past the limit, so that late work would show.
const PAST: Duration = Duration::from_millis(300);

/// Age below which a figure is fresh; load that comes with answers is a second old at the planned
/// scale.
const FRESH: Duration = Duration::from_secs(1);

fn plan() -> Plan {
    Plan {
        service_us: 20_000,
        ..Plan::default()
    }
}

fn services() -> Vec<&'static str> {
    vec!["fit", "pay"]
}

/// Publishes that `d-1` is out and asserts that it starts nothing once the limit has passed.
async fn take_out(fleet: &Fleet) {
    let load = Load::start(fleet.entries(&fleet.all()), services(), GAP);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let published_us = now_us();
    fleet.publish(2, &plan::out("d-1"));
    let in_force = fleet.until_version(&fleet.all(), 2).await;
    let spent = Duration::from_micros(now_us() - published_us);
    tokio::time::sleep((CHANGE_LIMIT + PAST).saturating_sub(spent)).await;
    let records = load.stop().await;

    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    let d_1 = fleet.in_domain("d-1");
    let before = fleet.started_since(&runs, &d_1, 0);
    assert!(!before.is_empty(), "d-1 had no work that could be moved");
    let late = fleet.started_since(&runs, &d_1, published_us);
    let last = late.iter().map(|run| run.start_us - published_us).max();
    println!("out: in force after {in_force:?}, last start {last:?} us, {tally:?}");
    assert!(last.is_none_or(|last| u128::from(last) <= CHANGE_LIMIT.as_micros()));
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    let cut: Vec<&load::Run> = load::cut_off(&runs);
    assert!(cut.is_empty(), "work was cut off: {cut:?}");
}

/// Guards against new work in a failure domain that is out, against work cut off there, and against
/// requests that get lost while it moves.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_out() {
    let fleet = Fleet::start(plan()).await;
    take_out(&fleet).await;
}

/// Guards against daemons that miss a change because they cannot reach the configuration service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_reached() {
    let fleet = Fleet::start(Plan {
        through_proxy: vec![0, 1, 2, 3],
        ..plan()
    })
    .await;
    let cut = Faults {
        partition: true,
        ..Faults::default()
    };
    assert!(fleet.proxy.set_faults("config", cut));
    take_out(&fleet).await;
}

/// Guards against overload of targets that turned cold while their failure domain was out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_back() {
    let fleet = Fleet::start(plan()).await;
    let load = Load::start(fleet.entries(&fleet.all()), services(), GAP);
    let d_1 = fleet.in_domain("d-1");
    let is_warm = |status: &Status| status.state.as_ref() == "warm";
    fleet.until(&d_1, PATIENCE, is_warm).await;
    fleet.publish(2, &plan::out("d-1"));
    fleet.until_version(&fleet.all(), 2).await;
    let is_empty = |status: &Status| status.in_flight == 0;
    fleet.until(&d_1, PATIENCE, is_empty).await;
    for index in &d_1 {
        let cold = fault::Change {
            cool: Some(true),
            ..fault::Change::default()
        };
        assert!(fleet.targets.change(&fleet.seats[*index].id, &cold));
    }
    let published_us = now_us();
    fleet.publish(3, &Change::default());
    let in_force = fleet.until_version(&fleet.all(), 3).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let records = load.stop().await;

    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    let back = fleet.started_since(&runs, &d_1, published_us);
    println!(
        "back: in force after {in_force:?}, {} runs, {tally:?}",
        back.len()
    );
    let is_cold = back.iter().any(|run| run.cold);
    assert!(is_cold, "d-1 gets no work after its return");
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    let violations = fleet.targets.violations();
    let over_cold: u64 = violations.iter().map(|violation| violation.over_cold).sum();
    assert_eq!(over_cold, 0, "{violations:?}");
}

/// Guards against a daemon that holds an old figure of its own target, takes it for full or slow
/// and sends all its callers to other failure domains for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn own_figures() {
    let fleet = Fleet::start(Plan {
        domains: 2,
        services: vec!["fit"],
        ..Plan::default()
    })
    .await;
    // Nothing runs, so no answer brings figures.
    tokio::time::sleep(2 * FRESH).await;
    let start = Instant::now();
    let mut age = None;
    while age.is_none_or(|age| u128::from(age) >= FRESH.as_millis()) {
        assert!(start.elapsed() < PATIENCE, "{age:?} ms old");
        let explanation = explain(fleet.seats[0].admin).await;
        let candidates = explanation.map_or(Vec::new(), |explanation| explanation.candidates);
        let own = candidates
            .iter()
            .find(|own| *own.instance == *fleet.seats[0].id);
        age = own.and_then(|own| own.age_ms);
        tokio::time::sleep(LOOK).await;
    }
}
