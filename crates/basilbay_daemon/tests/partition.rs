//! Networks that fall apart and heal.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::load::{self, Caller, Load, Outcome};
use fleet::plan::{self, Plan};
use fleet::{CHANGE_LIMIT, Fleet};

/// Time between two requests.
const GAP: Duration = Duration::from_millis(5);

/// Time of a partition; a change on the other side would arrive within it.
const DIVIDED: Duration = Duration::from_secs(4);

/// Silence after which a daemon is isolated.
const ISOLATION: Duration = Duration::from_secs(3);

/// Starts the sides apart, since new daemons would take over the other side's list of addresses,
/// and then joins them.
async fn start(plan: Plan) -> Fleet {
    let mut fleet = Fleet::prepare(plan).await;
    fleet.divide(true);
    for index in fleet.all() {
        fleet.spawn(index);
    }
    fleet.until_serving(1).await;
    fleet.divide(false);
    fleet
}

/// Guards against sides that stop without each other, against work for a domain that is out, and
/// against versions that stay apart or go back when the network heals.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn split_regions() {
    let fleet = start(Plan {
        sides: 2,
        side_of: |index| index / 4,
        ..Plan::default()
    })
    .await;
    fleet.set_down(1, true, false);
    fleet.publish_at(0, 2, &plan::Change::default());
    let joined = fleet.until_version(&fleet.all(), 2).await;
    println!("over the link between the sides: in force after {joined:?}");

    fleet.divide(true);
    fleet.publish_at(0, 3, &plan::out("d-3"));
    let near = fleet.seats_where(|seat| seat.side == 0);
    let far = fleet.seats_where(|seat| seat.side == 1);
    fleet.until_version(&near, 3).await;
    let load = Load::start(fleet.entries(&fleet.all()), vec!["fit", "pay"], GAP);
    tokio::time::sleep(DIVIDED).await;
    let late = Load::start(fleet.entries(&fleet.all()), vec!["fit", "pay"], GAP);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in &far {
        let status = fleet.status(*index).await.expect("the daemon answers");
        assert_eq!(status.config_version, 2, "{}", status.instance);
    }
    let (records, late) = (load.stop().await, late.stop().await);
    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    println!(
        "divided: {tally:?}; at the end: {:?}",
        load::check(&late, &runs)
    );
    assert_eq!(tally.lost, 0);
    for entry in fleet.entries(&fleet.all()) {
        let is_served = late
            .iter()
            .any(|record| record.entry == entry && record.outcome == Outcome::Answered);
        assert!(is_served, "{entry} serves nothing: {late:?}");
    }

    let start = Instant::now();
    fleet.divide(false);
    fleet.until_version(&fleet.all(), 3).await;
    println!("healed: in force on both sides after {:?}", start.elapsed());
    assert!(start.elapsed() <= CHANGE_LIMIT);
}

/// Guards against a daemon that takes work although it has heard nobody for 3 s, and against one
/// that does not come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_daemon() {
    let fleet = start(Plan {
        domains: 3,
        sides: 2,
        side_of: |index| usize::from(index > 0),
        ..Plan::default()
    })
    .await;
    fleet.publish_at(1, 2, &plan::Change::default());
    fleet.until_version(&fleet.all(), 2).await;
    fleet.set_down(0, true, true);
    fleet.divide(true);
    let start = Instant::now();
    fleet.daemon(0).until_event(603, 1).await;
    println!("isolated after {:?}", start.elapsed());
    assert!(start.elapsed() + Duration::from_millis(500) > ISOLATION);
    let caller = Caller::default();
    let entry = fleet.seats[0].callers;
    let mut records = Vec::new();
    for service in ["fit", "pay"] {
        records.push(
            caller
                .call(entry, service, &load::next_id(service), "")
                .await,
        );
    }
    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    assert_eq!(tally.not_run, 2, "{records:?}");

    fleet.divide(false);
    fleet.daemon(0).until_event(604, 1).await;
    fleet.until_serving(2).await;
    let record = caller.call(entry, "fit", &load::next_id("fit"), "").await;
    assert_eq!(record.outcome, Outcome::Answered);
}
