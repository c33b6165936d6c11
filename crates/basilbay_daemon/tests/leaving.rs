//! Targets that leave.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::load::{self, Load, now_us};
use fleet::plan::Plan;
use fleet::{Fleet, LEAVING_LIMIT, LOOK, PATIENCE};
use rustix::process::Signal;

/// Time between two requests: about 10 of 72 slots are in use.
const GAP: Duration = Duration::from_millis(5);

/// Time for which the load goes on past the limit, so that late work would show.
const PAST: Duration = Duration::from_millis(300);

/// Long, so that there is work in flight at every moment.
const SERVICE_US: u64 = 50_000;

fn plan() -> Plan {
    Plan {
        service_us: SERVICE_US,
        ..Plan::default()
    }
}

/// Asserts that a target started nothing once the limit had passed and cut nothing off.
async fn check(fleet: &Fleet, left: usize, since_us: u64, load: Load) {
    let records = load.stop().await;
    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    assert!(!fleet.started_since(&runs, &[left], 0).is_empty());
    load::print_refusals(&records);
    let late = fleet.started_since(&runs, &[left], since_us);
    let last = late.iter().map(|run| run.start_us - since_us).max();
    println!("last start {last:?} us after the leaving, {tally:?}");
    assert!(last.is_none_or(|last| u128::from(last) <= LEAVING_LIMIT.as_micros()));
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    let cut = load::cut_off(&runs);
    assert!(cut.is_empty(), "work was cut off: {cut:?}");
}

/// Guards against new work on a target that stops as planned, against work that its stop cuts off,
/// and against peers that learn of it from the list only, which goes on to say that it is live.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn own_word() {
    let mut fleet = Fleet::start(plan()).await;
    let left = 0;
    let others: Vec<usize> = fleet.all().into_iter().skip(1).collect();
    let load = Load::start(fleet.entries(&others), vec!["fit", "pay"], GAP);
    while fleet.targets.status()[left].in_flight == 0 {
        tokio::time::sleep(LOOK).await;
    }
    let since_us = now_us();
    fleet.daemon(left).signal(Signal::TERM);
    for index in &others {
        fleet.daemon(*index).until_event(602, 1).await;
    }
    let heard = Duration::from_micros(now_us() - since_us);
    println!("all peers heard of the leaving after {heard:?}");
    assert!(heard <= LEAVING_LIMIT, "{heard:?}");
    let daemon = fleet.daemons[left].as_mut().expect("it runs");
    assert!(daemon.ended().await, "the daemon did not stop in order");
    let spent = Duration::from_micros(now_us() - since_us);
    tokio::time::sleep((LEAVING_LIMIT + PAST).saturating_sub(spent)).await;
    check(&fleet, left, since_us, load).await;
}

/// Guards against new work on a target that the list calls leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn list_word() {
    let fleet = Fleet::start(plan()).await;
    let left = 0;
    let load = Load::start(fleet.entries(&fleet.all()), vec!["fit", "pay"], GAP);
    while fleet.targets.status()[left].in_flight == 0 {
        tokio::time::sleep(LOOK).await;
    }
    let since_us = now_us();
    fleet.platforms[0]
        .mark_leaving(&fleet.seats[left].id)
        .expect("it is listed");
    tokio::time::sleep(LEAVING_LIMIT + PAST).await;
    check(&fleet, left, since_us, load).await;
    let status = fleet.status(left).await.expect("the daemon answers");
    assert_eq!(&*status.state, "leaving");
}

/// Guards against a stop that does not wait for the answers to its own callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn own_callers() {
    let mut fleet = Fleet::start(Plan {
        service_us: 2_500_000,
        ..plan()
    })
    .await;
    let entries = fleet.entries(&[0]);
    let load = Load::start(entries, vec!["fit", "pay"], 20 * GAP);
    let is_busy = |status: &basilbay_admin::Status| status.in_flight > 0;
    fleet.until(&[0], PATIENCE, is_busy).await;
    // A few requests are on the targets and none is answered yet.
    tokio::time::sleep(5 * 20 * GAP).await;
    fleet.daemon(0).signal(Signal::TERM);
    let records = load.stop().await;
    let daemon = fleet.daemons[0].as_mut().expect("it runs");
    assert!(daemon.ended().await, "the daemon did not stop in order");
    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    println!("{tally:?}");
    assert!(tally.answered > 1, "{tally:?}");
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{records:?}");
}
