//! Prints how fast a change spreads among 630 daemons, and the cost of control traffic and reads.
//!
//! `cargo run --release -p basilbay_membership --example spread`

#[path = "../tests/support/harness.rs"]
mod harness;

use harness::Fleet;
use harness::sample::text;

/// Expected number of daemons in two years (docs/design.md, section 1.4).
const NODES: usize = 630;
const DOMAINS: usize = 7;

fn main() {
    for delay in [1, 40] {
        spread(delay);
        roster_change(delay);
    }
    steady(false);
    steady(true);
    restart(false);
    restart(true);
    pause();
    flapping();
    outage();
}

fn started(delay: u64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(NODES, DOMAINS, seed);
    fleet.delay = delay;
    fleet.run(6000);
    fleet
}

fn spread(delay: u64) {
    let mut fleet = started(delay, 1);
    let mut slowest = 0;
    let mut median = 0;
    for version in 2..7 {
        fleet.run(1700);
        let published = fleet.now;
        fleet.config = text(version, "");
        fleet.run(4000);
        let nodes = fleet
            .nodes
            .iter()
            .filter(|(_, record)| record.version == version);
        let mut times: Vec<u64> = nodes
            .map(|(_, record)| record.activated_at - published)
            .collect();
        times.sort_unstable();
        println!(
            "link {delay} ms, version {version}: active on {} of {NODES}",
            times.len()
        );
        slowest = slowest.max(times[times.len() - 1]);
        median = median.max(times[times.len() / 2]);
    }
    println!("link {delay} ms: 5 changes, half within {median} ms, all within {slowest} ms");
}

fn roster_change(delay: u64) {
    let mut fleet = started(delay, 2);
    fleet.restart(17);
    let version = fleet.roster.version;
    let started = fleet.now;
    let informed_count = |fleet: &Fleet| {
        let rosters = fleet.nodes.iter().map(|(node, _)| node.current_roster());
        rosters
            .flatten()
            .filter(|roster| roster.version == version)
            .count()
    };
    while informed_count(&fleet) < NODES && fleet.now < started + 10_000 {
        fleet.run(10);
    }
    let millis = fleet.now - started;
    println!(
        "link {delay} ms: roster change on {} of {NODES} after {millis} ms",
        informed_count(&fleet)
    );
    while !fleet.nodes[17].0.readiness(fleet.instant()).is_ready() {
        fleet.run(10);
    }
    let millis = fleet.now - started;
    println!("link {delay} ms: replaced daemon ready after {millis} ms");
}

fn steady(conditional: bool) {
    let mut fleet = started(1, 3);
    fleet.faults.conditional_reads = conditional;
    for (_, record) in &mut fleet.nodes {
        (record.bytes_total, record.bytes_gossiped, record.datagrams) = (0, 0, 0);
    }
    let before = fleet.reads.len();
    let mut oldest = 0;
    for _ in 0..200 {
        fleet.run(50);
        let ages = fleet
            .nodes
            .iter()
            .map(|(node, _)| fleet.now - node.roster_as_of());
        oldest = oldest.max(ages.max().unwrap_or(0));
    }
    let non_readers = fleet.nodes.iter().filter(|(node, _)| !node.is_reader());
    let readers = fleet.nodes.iter().filter(|(node, _)| node.is_reader());
    let max_per_second = |records: Vec<usize>| records.into_iter().max().unwrap_or(0) / 10;
    let count = readers.clone().count();
    println!("steady: {count} readers, conditional reads of the list: {conditional}");
    let sent = max_per_second(
        fleet
            .nodes
            .iter()
            .map(|(_, record)| record.bytes_gossiped)
            .collect(),
    );
    let messages = max_per_second(
        fleet
            .nodes
            .iter()
            .map(|(_, record)| record.datagrams)
            .collect(),
    );
    let total = max_per_second(non_readers.map(|(_, record)| record.bytes_total).collect());
    let reader = max_per_second(readers.map(|(_, record)| record.bytes_total).collect());
    let reads = (fleet.reads.len() - before) / 10;
    println!("steady: sends at most {messages} datagrams/s, {sent} B/s for one daemon");
    println!("steady: sent and received at most {total} B/s, a reader {reader} B/s with its reads");
    println!("steady: {reads} reads/s at the platform, roster at most {oldest} ms old");
}

fn restart(is_partitioned: bool) {
    let mut fleet = Fleet::new(NODES, DOMAINS, 4);
    if is_partitioned {
        fleet.faults.partitions = (0..).take(NODES).collect();
    }
    while !fleet.all_ready() && fleet.now < 20_000 {
        fleet.run(50);
    }
    let serving = fleet.now;
    fleet.run(20_000);
    let peak = fleet.peak_reads(0);
    let later = fleet.peak_reads(10_000);
    let name = if is_partitioned {
        "restart, every node in its own partition"
    } else {
        "restart"
    };
    println!("{name}: peak {peak} reads/s, {later} after 10 s, all ready after {serving} ms");
}

fn pause() {
    let mut fleet = started(1, 7);
    (0..NODES).for_each(|index| fleet.pause(index, 2000));
    fleet.run(2000);
    let from = fleet.now;
    while !fleet.all_ready() && fleet.now < from + 20_000 {
        fleet.run(50);
    }
    let millis = fleet.now - from;
    let peak = fleet.peak_reads(from);
    println!("fleet paused for 2 s: peak {peak} reads/s, all ready again after {millis} ms");
}

fn flapping() {
    let mut fleet = started(1, 5);
    let from = fleet.now;
    let before = fleet.reads.len();
    for round in 0..10 {
        fleet.faults.platform_down = round % 2 == 0;
        fleet.run(3000);
    }
    let mean = (fleet.reads.len() - before) as u64 * 1000 / (fleet.now - from);
    println!(
        "flapping, 3 s down and up: {mean} reads/s, peak {}",
        fleet.peak_reads(from)
    );
}

fn outage() {
    let mut fleet = started(1, 6);
    fleet.faults.platform_down = true;
    let from = fleet.now;
    fleet.run(30_000);
    let mean = fleet
        .reads
        .iter()
        .filter(|at| **at >= from + 10_000)
        .count()
        / 20;
    println!(
        "outage: peak {} reads/s, {mean} reads/s after 10 s",
        fleet.peak_reads(from)
    );
    fleet.faults.platform_down = false;
    fleet.config = text(2, "");
    let restored_at = fleet.now;
    while !fleet.all_at(2) {
        fleet.run(10);
    }
    let millis = fleet.now - restored_at;
    println!(
        "outage over: peak {} reads/s, change everywhere after {millis} ms",
        fleet.peak_reads(restored_at)
    );
}
