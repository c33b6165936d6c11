//! The daemons that read the platform for the others, and how much all of them read.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_fakes::platform::count::Report;
use basilbay_membership::reader;
use fleet::plan::{Change, Plan};
use fleet::{CHANGE_LIMIT, Fleet};

/// Time over which reads are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// Reads per second that the service stands.
const SERVICE_LIMIT: u64 = 2_000;

/// Most reads of one reader in a second: after failures it waits for at least 125, 250 and 500 ms,
/// so that each of the two parts is read four times at most.
const READER_PEAK: u64 = 8;

fn plan() -> Plan {
    Plan {
        services: vec!["fit", "pay", "book"],
        ..Plan::default()
    }
}

/// Seats of the readers with a rank: 0 or 1.
fn readers(fleet: &Fleet, rank: usize) -> Vec<usize> {
    let roster = fleet.platforms[0].roster();
    let mut seats = Vec::new();
    for domain in 1..=fleet.plan.domains {
        let chosen = reader::select(
            &roster,
            &format!("d-{domain}"),
            &[],
            reader::DEFAULT_READERS,
        );
        let id = &chosen[rank];
        seats.extend(fleet.seats_where(|seat| seat.id == **id));
    }
    seats
}

/// Guards against changes that arrive nowhere, or late, when the daemons that read the service die.
/// The list goes on to name them, as it lags.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn readers_die() {
    let mut fleet = Fleet::start(plan()).await;
    for rank in 0..reader::DEFAULT_READERS {
        let version = 2 + rank as u64;
        for index in readers(&fleet, rank) {
            fleet.kill(index);
        }
        let start = Instant::now();
        fleet.publish(version, &Change::default());
        fleet.until_version(&fleet.running(), version).await;
        println!(
            "readers of rank {rank} killed: in force after {:?}",
            start.elapsed()
        );
        assert!(start.elapsed() <= CHANGE_LIMIT);
    }
    assert_eq!(fleet.running().len(), 4);
}

/// Most reads of readers alone: each polls the list and watches the configuration.
fn reader_limit(fleet: &Fleet, time: Duration) -> u64 {
    let readers = (fleet.plan.domains * reader::DEFAULT_READERS) as u64;
    let polls = time.as_millis() / reader::POLL_INTERVAL.as_millis() + 1;
    let watches = time.as_millis() / reader::WATCH_TIMEOUT.as_millis() + 1;
    readers * u64::try_from(polls + watches).expect("fits")
}

fn print(what: &str, report: &Report) {
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
        "{what}: {} (peak {}/s): {paths:?}",
        total.calls, total.peak_per_second
    );
}

/// Guards against reads that grow with the fleet and not with its failure domains.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn steady_reads() {
    let fleet = Fleet::start(plan()).await;
    let before = fleet.platforms[0].counts();
    let start = Instant::now();
    tokio::time::sleep(COUNTED).await;
    let after = fleet.platforms[0].counts();
    let reads = after.total.calls - before.total.calls;
    let limit = reader_limit(&fleet, start.elapsed());
    println!(
        "steady: {reads} reads of at most {limit} in {:?}",
        start.elapsed()
    );
    assert!(reads <= limit);
}

/// Guards against a storm of reads when all daemons start at the same time.
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
    fleet.until_serving(1).await;
    tokio::time::sleep(COUNTED).await;
    let after = fleet.platforms[0].counts();
    print("after a restart", &after);
    let reads = after.total.calls - before.total.calls;
    // Each daemon reads both parts once beyond what readers do.
    let limit = reader_limit(&fleet, start.elapsed()) + 2 * fleet.seats.len() as u64;
    println!(
        "restart: {reads} reads of at most {limit} in {:?}",
        start.elapsed()
    );
    assert!(reads <= limit);
    assert!(after.total.peak_per_second <= SERVICE_LIMIT);
}

/// Guards against a storm of reads at a service that goes down and up each second.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unsteady_service() {
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
    println!("unsteady: reads in each second, down first: {reads:?}");
    let limit = readers * READER_PEAK;
    assert!(
        reads.iter().all(|reads| *reads <= limit),
        "{reads:?} above {limit}"
    );
    fleet.publish(2, &Change::default());
    fleet.until_version(&fleet.all(), 2).await;
}
