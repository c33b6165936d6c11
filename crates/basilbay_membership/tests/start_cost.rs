//! Cost of a start of all daemons where each full read of the platform has a version of its own.

#[path = "support/harness.rs"]
mod harness;

use harness::Fleet;
use harness::account::{Kind, Sender};
use harness::sample::text;
use proptest::prelude::*;

/// Instances on the first page of the list.
const CONTACTS: usize = 50;

fn fleet(nodes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_contacts(nodes, 6, seed, CONTACTS);
    fleet.faults.own_versions = vec![0; nodes];
    fleet
}

/// Guards against daemons that pull the whole text of each version, although the versions of the
/// readers only restate the same content.
#[test]
fn whole_texts() {
    for nodes in [30, 300] {
        let mut fleet = fleet(nodes, 1);
        fleet.run(5_000);
        assert!(fleet.all_ready(), "{nodes} daemons");
        let texts = fleet.account.count(Kind::FullText, Sender::Peer);
        assert!(texts <= nodes, "{nodes} daemons: {texts} whole texts");
    }
}

/// Guards against a change that is pulled whole by daemons whose version the sender never had.
#[test]
fn change_after_start() {
    let mut fleet = fleet(120, 2);
    fleet.run(600);
    let newest = fleet.faults.own_versions.iter().max();
    let version = newest.map_or(1, |newest| newest + 1000);
    fleet.config = text(version, "changed");
    fleet.run(5_000);
    assert!(fleet.all_at(version));
    let texts = fleet.account.count(Kind::FullText, Sender::Peer);
    assert!(texts <= 120, "{texts} whole texts");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against whole texts that are pulled again, or a daemon that is not ready, after losses,
    /// with readers that are cut off from the platform or turned away at first.
    #[test]
    fn losses(seed in any::<u64>(), loss in 0..20_u32, down in 0..20_usize, refused_ms in 0..1_000_u64) {
        let mut fleet = fleet(120, seed);
        fleet.faults.loss = f64::from(loss) / 100.0;
        for index in 0..down {
            fleet.faults.cut_off[index * 4] = true;
        }
        fleet.faults.platform_down = true;
        fleet.run(refused_ms);
        fleet.faults.platform_down = false;
        fleet.run(7_000);
        prop_assert!(fleet.all_ready());
        let texts = fleet.account.count(Kind::FullText, Sender::Peer);
        prop_assert!(texts <= 120, "{} whole texts", texts);
    }
}
