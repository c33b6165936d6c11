//! Active versions never decrease, and nodes that reach each other converge.

#[path = "support/harness.rs"]
mod harness;

use std::sync::Arc;
use std::time::Instant;

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::diff;
use basilbay_membership::event::Event;
use basilbay_membership::history::{History, MAX_VERSIONS};
use basilbay_membership::node::Node;
use basilbay_wire::control::Text;
use harness::Fleet;
use harness::sample::{identity, instance, text, version_of};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Publish,
    PublishOlder,
    PlatformDown(bool),
    Partition(u8),
    Restart(usize),
    Pause(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Publish),
        1 => Just(Step::PublishOlder),
        1 => any::<bool>().prop_map(Step::PlatformDown),
        2 => any::<u8>().prop_map(Step::Partition),
        2 => any::<usize>().prop_map(Step::Restart),
        2 => (any::<usize>(), 100..3000_u64).prop_map(|(index, millis)| Step::Pause(index, millis)),
    ]
}

fn apply(fleet: &mut Fleet, step: &Step, newest: &mut u64) {
    let nodes = fleet.nodes.len();
    match step {
        Step::Publish => {
            *newest += 1;
            fleet.config = text(*newest, "");
        }
        Step::PublishOlder => fleet.config = text(newest.saturating_sub(1).max(1), ""),
        Step::PlatformDown(down) => fleet.faults.platform_down = *down,
        Step::Partition(mask) => {
            fleet.faults.partitions = (0..nodes)
                .map(|index| u16::from(mask >> (index % 8) & 1))
                .collect();
        }
        Step::Restart(index) => fleet.restart(index % nodes),
        Step::Pause(index, millis) => fleet.pause(index % nodes, *millis),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a version that decreases and against a paused node that is ready before its
    /// view is confirmed (the harness asserts both), and against nodes that do not catch up after a
    /// partition, an outage or a restart, even if the configuration service itself is stale.
    #[test]
    fn faults_converge(
        nodes in 5..13_usize,
        seed in any::<u64>(),
        steps in prop::collection::vec((step(), 10..1500_u64), 1..14),
    ) {
        let mut fleet = Fleet::new(nodes, 3, seed);
        let faults = &mut fleet.faults;
        (faults.loss, faults.duplicates, faults.max_extra_delay) = (0.2, 0.1, 60);
        let mut newest = 1;
        for (step, millis) in &steps {
            apply(&mut fleet, step, &mut newest);
            fleet.run(*millis);
        }
        fleet.faults.partitions = vec![0; nodes];
        fleet.faults.platform_down = false;
        let published = version_of(&fleet.config);
        fleet.run(10_000);
        // A version newer than the published one is lost only if all nodes that had it restarted.
        let highest = fleet.nodes.iter().map(|(_, record)| record.version).max().unwrap_or(0);
        prop_assert!(highest >= published);
        prop_assert!(fleet.all_at(highest));
        prop_assert!(fleet.all_ready());
    }

    /// Guards against edits that do not reproduce the new text.
    #[test]
    fn edits_restore(old in "([abc]{0,2}\n){0,30}[ab]?", new in "([abc]{0,2}\n){0,30}[ab]?") {
        let edits = diff::edits(&old, &new);
        prop_assert_eq!(diff::apply(&old, &edits), Some(new));
    }
}

/// Guards against nodes that switch between two texts with the same version.
#[test]
fn conflict_stable() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.run(4000);
    fleet.faults.partitions = vec![0, 0, 0, 1, 1, 1];
    fleet.faults.cut_off = vec![false, false, false, true, true, true];
    fleet.config = text(2, "left");
    fleet.run(3000);
    fleet.faults.cut_off = vec![true, true, true, false, false, false];
    fleet.config = text(2, "right");
    fleet.run(5000);
    assert!(fleet.all_at(2));
    let digests = |fleet: &mut Fleet| -> Vec<[u8; 32]> {
        let now = fleet.instant();
        let nodes = fleet.nodes.iter_mut();
        nodes
            .map(|(node, _)| node.serve_config(1, None, now).digest)
            .collect()
    };
    let before = digests(&mut fleet);
    assert_ne!(before[0], before[5]);
    fleet.faults.partitions = vec![0; 6];
    fleet.faults.cut_off = vec![false; 6];
    fleet.run(5000);
    assert_eq!(digests(&mut fleet), before);
    let conflicts = |event: &Event| matches!(event, Event::ConfigConflict { .. });
    assert!(fleet.nodes[0].1.events.iter().any(conflicts));
    fleet.config = text(3, "");
    fleet.run(5000);
    assert!(fleet.all_at(3));
}

/// Guards against activating a different text with the active version, and against not reporting
/// the conflict.
#[test]
fn conflict_refused() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_config_text(&text(2, "first"), &platform, now);
    let digest = node.serve_config(0, None, now).digest;
    node.take_actions();
    node.receive_config_text(&text(2, "second"), &platform, now);
    assert_eq!(node.serve_config(0, None, now).digest, digest);
    let conflict = Event::ConfigConflict {
        version: 2,
        source: Source::Platform,
    };
    assert_eq!(node.take_actions(), [Action::Emit(conflict)]);
}

/// Guards against applying part of a file with findings, and against reading it over and over.
#[test]
fn findings_refused() {
    let mut fleet = Fleet::new(6, 3, 4);
    fleet.run(4000);
    fleet.config = Arc::from("[basilbay]\nversion = 2\n");
    let before = fleet.reads.len();
    fleet.run(4000);
    assert!(fleet.all_at(1));
    let rejected = |event: &&Event| matches!(event, Event::ConfigRejected { .. });
    assert!(
        fleet
            .nodes
            .iter()
            .all(|(_, record)| record.events.iter().filter(rejected).count() <= 1)
    );
    assert!(fleet.reads.len() - before < 6 * 4 * 4);
}

/// Guards against an unbounded history, and against full texts where edits suffice.
#[test]
fn history_bounded() {
    let mut history = History::default();
    for version in 1..100 {
        history.push(version, text(version, ""));
    }
    assert_eq!(history.versions().count(), MAX_VERSIONS);
    assert!(matches!(history.text_since(98, None), Text::Edits(edits) if edits.len() == 1));
    assert!(matches!(history.text_since(3, None), Text::Full(_)));
    history.push(100, Arc::from("x\n".repeat(3 << 20)));
    assert_eq!(history.versions().collect::<Vec<_>>(), [100]);
}

/// Guards against a diff whose cost grows with the size of a rewritten file.
#[test]
fn rewrite_replaced() {
    let lines = |word: &str| {
        (0..20_000)
            .map(|line| format!("{word}{line}\n"))
            .collect::<String>()
    };
    let edits = diff::edits(&lines("a"), &lines("b"));
    assert_eq!(edits.len(), 1);
    assert_eq!(diff::apply(&lines("a"), &edits), Some(lines("b")));
}
