//! Prints what a start of all daemons costs the platform and the daemons.
//!
//! `cargo run --release -p basilbay_membership --example start`

#[path = "../tests/support/harness.rs"]
mod harness;

use harness::Fleet;

fn main() {
    for nodes in [30, 300] {
        start(nodes);
        first_start(nodes);
    }
}

/// Start of all with contacts, where each full read of the platform has a version of its own.
fn start(nodes: usize) {
    let mut fleet = Fleet::with_contacts(nodes, 6, 1, 50);
    fleet.faults.own_versions = vec![0; nodes];
    fleet.run(5000);
    let (reads, contacts) = (fleet.reads.len(), fleet.contact_reads);
    println!("start of {nodes}: {reads} reads, {contacts} of contacts within 5 s");
    print!("{}", fleet.account);
}

/// Start of all on a platform whose list of instances is empty for 2 s.
fn first_start(nodes: usize) {
    let mut fleet = Fleet::with_contacts(nodes, 6, 2, 50);
    fleet.faults.own_versions = vec![0; nodes];
    let roster = std::mem::take(&mut fleet.roster);
    fleet.run(2000);
    let before = fleet.contact_reads;
    fleet.roster = roster;
    while !fleet.all_ready() && fleet.now < 10_000 {
        fleet.run(10);
    }
    let (ready, reads, contacts) = (fleet.now, fleet.reads.len(), fleet.contact_reads);
    println!(
        "first start of {nodes}: {before} reads of contacts while the list is empty, {contacts} in all, {reads} other reads, all ready after {ready} ms"
    );
    print!("{}", fleet.account);
}
