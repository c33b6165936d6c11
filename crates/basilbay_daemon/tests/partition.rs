//! Network partitions between regions, and their end.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use fleet::load::{self, Caller, Load, Outcome};
use fleet::plan::{self, Plan};
use fleet::{CHANGE_LIMIT, Fleet};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Duration of a partition; without it, a change would reach the other region in this time.
const PARTITION_TIME: Duration = Duration::from_secs(4);

/// Time without messages from peers after which a daemon is isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the regions partitioned, since new daemons would adopt the instance list of the other
/// region with its addresses, and then connects them.
async fn start(plan: Plan) -> Fleet {
    let mut fleet = Fleet::prepare(plan).await;
    fleet.set_partitioned(true);
    for index in fleet.all() {
        fleet.spawn(index);
    }
    fleet.wait_until_serving(1).await;
    fleet.set_partitioned(false);
    fleet
}

/// Guards against regions that stop serving while partitioned, against requests to a failure domain
/// that is out, and against versions that stay different or go back when the partition ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partitioned_regions() {
    let fleet = start(Plan {
        regions: 2,
        region_of: |index| index / 4,
        ..Plan::default()
    })
    .await;
    fleet.set_down(1, true, false);
    fleet.publish_in_region(0, 2, &plan::Change::default());
    let connected = fleet.wait_for_version(&fleet.all(), 2).await;
    println!("over the link between the regions: applied after {connected:?}");

    fleet.set_partitioned(true);
    fleet.publish_in_region(0, 3, &plan::domain_out("d-3"));
    let near = fleet.filter(|instance| instance.region == 0);
    let far = fleet.filter(|instance| instance.region == 1);
    fleet.wait_for_version(&near, 3).await;
    let load = Load::start(
        fleet.entries(&fleet.all()),
        vec!["fit", "pay"],
        REQUEST_INTERVAL,
    );
    tokio::time::sleep(PARTITION_TIME).await;
    let late = Load::start(
        fleet.entries(&fleet.all()),
        vec!["fit", "pay"],
        REQUEST_INTERVAL,
    );
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in &far {
        let status = fleet.status(*index).await.expect("the daemon responds");
        assert_eq!(status.config_version, 2, "{}", status.instance);
    }
    let (records, late) = (load.stop().await, late.stop().await);
    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    println!(
        "partitioned: {tally:?}; at the end: {:?}",
        load::verify(&late, &runs)
    );
    assert_eq!(tally.lost, 0);
    for entry in fleet.entries(&fleet.all()) {
        let is_served = late
            .iter()
            .any(|record| record.entry == entry && record.outcome == Outcome::Answered);
        assert!(is_served, "{entry} returned no response: {late:?}");
    }

    let start = Instant::now();
    fleet.set_partitioned(false);
    fleet.wait_for_version(&fleet.all(), 3).await;
    println!(
        "partition ended: applied in both regions after {:?}",
        start.elapsed()
    );
    assert!(start.elapsed() <= CHANGE_LIMIT);
}

/// Guards against a daemon that accepts requests although it got no messages from peers for 3 s,
/// and against one that does not serve again once it is connected.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_daemon() {
    let fleet = start(Plan {
        domains: 3,
        regions: 2,
        region_of: |index| usize::from(index > 0),
        ..Plan::default()
    })
    .await;
    fleet.publish_in_region(1, 2, &plan::Change::default());
    fleet.wait_for_version(&fleet.all(), 2).await;
    fleet.set_down(0, true, true);
    fleet.set_partitioned(true);
    let start = Instant::now();
    fleet.daemon(0).wait_for_event(603, 1).await;
    println!("isolated after {:?}", start.elapsed());
    assert!(start.elapsed() + Duration::from_millis(500) > ISOLATION_TIMEOUT);
    let caller = Caller::default();
    let entry = fleet.instances[0].callers;
    let mut records = Vec::new();
    for service in ["fit", "pay"] {
        records.push(
            caller
                .call(entry, service, &load::next_id(service), "")
                .await,
        );
    }
    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    assert_eq!(tally.not_run, 2, "{records:?}");

    fleet.set_partitioned(false);
    fleet.daemon(0).wait_for_event(604, 1).await;
    fleet.wait_until_serving(2).await;
    let record = caller.call(entry, "fit", &load::next_id("fit"), "").await;
    assert_eq!(record.outcome, Outcome::Answered);
}
