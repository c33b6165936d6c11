//! Readers, the daemons that read the platform on behalf of the others, and the total rate of
//! reads.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_fakes::platform::count::Report;
use basilbay_membership::reader;
use fleet::plan::{Change, Plan};
use fleet::{CHANGE_LIMIT, Fleet};

/// Time for which reads are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Reads per second that the platform can handle.
const MAX_PLATFORM_READS_PER_S: u64 = 2_000;

/// Upper bound of the reads of one reader in a second: after failures it backs off for at least
/// 125, 250 and 500 ms, so it reads the configuration and the list at most four times each.
const MAX_READER_READS_PER_S: u64 = 8;

fn plan() -> Plan {
    Plan {
        services: vec!["fit", "pay", "book"],
        ..Plan::default()
    }
}

/// Indices of the readers of a rank, 0 or 1, in all failure domains.
fn readers(fleet: &Fleet, rank: usize) -> Vec<usize> {
    let roster = fleet.platforms[0].roster();
    let mut indices = Vec::new();
    for domain in 1..=fleet.plan.domains {
        let selected = reader::select(
            &roster,
            &format!("d-{domain}"),
            &[],
            reader::DEFAULT_READERS,
        );
        let id = &selected[rank];
        indices.extend(fleet.filter(|instance| instance.id == **id));
    }
    indices
}

/// Guards against changes that are lost or delayed when readers crash. The instance list still
/// names them, since it lags.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn readers_killed() {
    let mut fleet = Fleet::start(plan()).await;
    for rank in 0..reader::DEFAULT_READERS {
        let version = 2 + rank as u64;
        for index in readers(&fleet, rank) {
            fleet.kill(index);
        }
        let start = Instant::now();
        fleet.publish(version, &Change::default());
        fleet.wait_for_version(&fleet.running(), version).await;
        println!(
            "readers of rank {rank} killed: applied after {:?}",
            start.elapsed()
        );
        assert!(start.elapsed() <= CHANGE_LIMIT);
    }
    assert_eq!(fleet.running().len(), 4);
}

/// Upper bound of the reads of all readers: each polls the list and watches the configuration.
fn reader_limit(fleet: &Fleet, time: Duration) -> u64 {
    let readers = (fleet.plan.domains * reader::DEFAULT_READERS) as u64;
    let polls = time.as_millis() / reader::POLL_INTERVAL.as_millis() + 1;
    let watches = time.as_millis() / reader::WATCH_TIMEOUT.as_millis() + 1;
    readers * u64::try_from(polls + watches).expect("fits")
}

fn print_reads(label: &str, report: &Report) {
    let paths = report.paths.iter();
    let paths: Vec<String> = paths
        .map(|count| {
            format!(
                "{} {} (peak {}/s)",
                count.path, count.calls, count.peak_per_second
            )
        })
        .collect();
    let total = &report.total;
    println!(
        "{label}: {} (peak {}/s): {paths:?}",
        total.calls, total.peak_per_second
    );
}

/// Guards against a read rate that grows with the number of daemons instead of the number of
/// failure domains, because daemons other than the readers read the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn steady_reads() {
    let fleet = Fleet::start(plan()).await;
    let before = fleet.platforms[0].counts();
    let start = Instant::now();
    tokio::time::sleep(OBSERVATION_TIME).await;
    let after = fleet.platforms[0].counts();
    let reads = after.total.calls - before.total.calls;
    let limit = reader_limit(&fleet, start.elapsed());
    println!(
        "steady: {reads} reads of at most {limit} in {:?}",
        start.elapsed()
    );
    assert!(reads <= limit);
}

/// Guards against a burst of reads when all daemons restart at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restart_reads() {
    let mut fleet = Fleet::start(plan()).await;
    for index in fleet.all() {
        fleet.kill(index);
    }
    let before = fleet.platforms[0].counts();
    let start = Instant::now();
    for index in fleet.all() {
        fleet.spawn(index);
    }
    fleet.wait_until_serving(1).await;
    tokio::time::sleep(OBSERVATION_TIME).await;
    let after = fleet.platforms[0].counts();
    print_reads("after a restart", &after);
    let reads = after.total.calls - before.total.calls;
    // Beyond the reads of the readers, each daemon reads the configuration and the list once.
    let limit = reader_limit(&fleet, start.elapsed()) + 2 * fleet.instances.len() as u64;
    println!(
        "restart: {reads} reads of at most {limit} in {:?}",
        start.elapsed()
    );
    assert!(reads <= limit);
    assert!(after.total.peak_per_second <= MAX_PLATFORM_READS_PER_S);
}

/// Guards against readers that retry without back-off, and so send a burst of reads to a platform
/// that goes down and up every second.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn flapping_platform() {
    let fleet = Fleet::start(plan()).await;
    let readers = (fleet.plan.domains * reader::DEFAULT_READERS) as u64;
    let mut calls = fleet.platforms[0].counts().total.calls;
    let mut reads = Vec::new();
    for round in 0..6 {
        let is_down = round % 2 == 0;
        fleet.set_down(0, is_down, is_down);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = fleet.platforms[0].counts().total.calls;
        reads.push(after - calls);
        calls = after;
    }
    println!("flapping: reads in each second, down first: {reads:?}");
    let limit = readers * MAX_READER_READS_PER_S;
    assert!(
        reads.iter().all(|reads| *reads <= limit),
        "{reads:?} above {limit}"
    );
    fleet.publish(2, &Change::default());
    fleet.wait_for_version(&fleet.all(), 2).await;
}
