//! Selection of readers and the rate of platform reads.

#[path = "support/harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::node::Node;
use basilbay_membership::reader::{self, DEFAULT_READERS};
use harness::Fleet;
use harness::sample::{identity, instance, roster, text};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against readers that change when other instances join or leave: only a reader that
    /// leaves is replaced, by the next in rank.
    #[test]
    fn selection_stable(nodes in 12..40_usize, removed in any::<usize>()) {
        let roster = roster(1, &vec![0; nodes], 3);
        let before = reader::select(&roster, "d1", &[], DEFAULT_READERS);
        prop_assert_eq!(before.len(), DEFAULT_READERS);
        let removed = roster.instances[removed % nodes].id.clone();
        let after = reader::select(&roster, "d1", std::slice::from_ref(&removed), DEFAULT_READERS);
        let kept = before.iter().filter(|id| after.contains(id)).count();
        prop_assert_eq!(kept, DEFAULT_READERS - usize::from(before.contains(&removed)));
        prop_assert!(!after.contains(&removed));
    }

    /// Guards against a stale view when all readers lose the platform while other daemons reach it.
    #[test]
    fn non_readers_take_over(nodes in 8..13_usize, seed in any::<u64>()) {
        let mut fleet = Fleet::new(nodes, 3, seed);
        fleet.run(4000);
        fleet.faults.cut_off = fleet.nodes.iter().map(|(node, _)| node.is_reader()).collect();
        fleet.run(6000);
        let oldest = fleet.nodes.iter().map(|(node, _)| node.roster_as_of()).min();
        prop_assert!(oldest.is_some_and(|as_of| fleet.now - as_of < 5000));
        fleet.config = text(2, "");
        fleet.run(8000);
        prop_assert!(fleet.all_at(2));
    }
}

/// Guards against too many reads while the platform is down, stale or flapping.
#[test]
fn reads_bounded() {
    let mut fleet = Fleet::new(12, 3, 7);
    fleet.run(4000);
    for round in 0..8 {
        fleet.faults.platform_down = round % 2 == 0;
        fleet.faults.roster_as_of = (round % 4 == 1).then_some(1);
        let from = fleet.now;
        fleet.run(2500);
        // 6 readers make at most 4 initial attempts per second for each part, 6 other daemons one.
        assert!(fleet.peak_reads(from) <= 6 * 8 + 6 * 2);
    }
}

/// Guards against a reader that activates an older version from a stale service.
#[test]
fn stale_ignored() {
    let mut fleet = Fleet::new(6, 3, 8);
    fleet.config = text(5, "");
    fleet.run(4000);
    fleet.config = text(4, "");
    fleet.faults.roster_as_of = Some(1);
    fleet.run(8000);
    assert!(fleet.all_at(5));
    assert!(fleet.all_ready());
}

/// Guards against repeated watches without delay when the service answers each one immediately with
/// an older version.
#[test]
fn stale_delayed() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 1)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_roster(roster(1, &[0], 1), &platform, now);
    node.receive_config_text(&text(5, ""), &platform, now);
    let watches = |node: &mut Node, at: u64| {
        node.tick(now + Duration::from_millis(at));
        let watch = |action: &Action| matches!(action, Action::WatchConfig { .. });
        node.take_actions()
            .iter()
            .filter(|action| watch(action))
            .count()
    };
    assert_eq!(watches(&mut node, 0), 1);
    let watch = Pull {
        source: Source::Platform,
        id: 2,
    };
    node.receive_config_text(&text(4, ""), &watch, now);
    assert_eq!(watches(&mut node, 50), 0);
    assert_eq!(watches(&mut node, 300), 1);
}
