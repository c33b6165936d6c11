//! All daemons start at the same moment, on a platform that offers contacts.

#[path = "support/harness.rs"]
mod harness;

use std::sync::Arc;

use basilbay_model::roster::Roster;
use harness::Fleet;
use harness::sample::text;
use proptest::prelude::*;

/// Instances on the first page of the list.
const CONTACTS: usize = 50;

/// Number of reads of the platform before a time, in milliseconds.
fn reads_before(fleet: &Fleet, end: u64) -> usize {
    fleet.reads.iter().filter(|at| **at < end).count()
}

/// Guards against a start of all whose cost grows with the fleet: with a full read by each daemon, a
/// power failure cost 300 times the pages of the list.
#[test]
fn few_full_reads() {
    for nodes in [30, 300, 630] {
        let mut fleet = Fleet::with_contacts(nodes, 6, 1, CONTACTS);
        fleet.run(1_000);
        assert!(fleet.all_ready(), "{nodes} daemons");
        // A daemon that a peer reaches first makes none.
        assert!(
            fleet.contact_reads <= nodes,
            "{} reads",
            fleet.contact_reads
        );
        // Each starter reads twice (roster, configuration), and the twelve readers of six domains four
        // times within the second.
        let starters = CONTACTS.min(nodes) / 4;
        let reads = reads_before(&fleet, 1_000);
        assert!(reads <= 2 * starters + 12 * 4, "{nodes} daemons: {reads}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a start that waits for starters which do not run, cannot reach the platform or
    /// lose messages.
    #[test]
    fn starters_fail(seed in any::<u64>(), loss in 0..20_u32, down in 0..30_usize) {
        let mut fleet = Fleet::with_contacts(120, 6, seed, CONTACTS);
        fleet.faults.loss = f64::from(loss) / 100.0;
        for index in 0..down {
            fleet.faults.cut_off[index * 4] = true;
        }
        for index in 0..30 {
            // A quarter of the contacts does not run.
            fleet.pause(index * 4 + 1, 60_000);
        }
        fleet.run(7_000);
        for (index, (node, record)) in fleet.nodes.iter().enumerate() {
            let is_running = record.resumes_at == 0;
            prop_assert!(!is_running || node.readiness(fleet.instant()).is_ready(), "{}", index);
        }
    }
}

/// Guards against a first start, when neither instances nor a configuration are listed yet, in which
/// every daemon reads the empty list again and again.
#[test]
fn empty_list() {
    let mut fleet = Fleet::with_contacts(300, 6, 2, CONTACTS);
    let (config, roster) = (fleet.config.clone(), fleet.roster.clone());
    fleet.config = text(0, "");
    fleet.roster = Arc::new(Roster::default());
    fleet.run(1_200);
    assert_eq!(fleet.reads.len(), 0);
    fleet.roster = roster;
    fleet.run(1_500);
    let reads = fleet.reads.len();
    assert!(
        reads <= 100,
        "{reads} reads while there was no configuration"
    );
    fleet.config = config;
    fleet.run(2_000);
    assert!(fleet.all_ready());
    assert!(
        fleet.reads.len() <= reads + 100,
        "{} reads",
        fleet.reads.len()
    );
}

/// Guards against a daemon alone on its platform that waits for others.
#[test]
fn single_daemon() {
    let mut fleet = Fleet::with_contacts(1, 1, 3, CONTACTS);
    fleet.run(2_000);
    assert!(fleet.all_ready());
}
