//! Versions in force never go back, and nodes that hear one another agree.

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
    Stale,
    Down(bool),
    Split(u8),
    Restart(usize),
    Pause(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Publish),
        1 => Just(Step::Stale),
        1 => any::<bool>().prop_map(Step::Down),
        2 => any::<u8>().prop_map(Step::Split),
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
        Step::Stale => fleet.config = text(newest.saturating_sub(1).max(1), ""),
        Step::Down(down) => fleet.faults.down = *down,
        Step::Split(mask) => {
            fleet.faults.group = (0..nodes)
                .map(|index| u16::from(mask >> (index % 8) & 1))
                .collect();
        }
        Step::Restart(index) => fleet.restart(index % nodes),
        Step::Pause(index, millis) => fleet.pause(index % nodes, *millis),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a version that goes back (asserted by the harness on every change), against a
    // paused node that serves unconfirmed (likewise), and against nodes that stay behind after a
    // partition, an outage or a restart, while the service itself is stale.
    #[test]
    fn faults_converge(
        nodes in 5..13_usize,
        seed in any::<u64>(),
        steps in prop::collection::vec((step(), 10..1500_u64), 1..14),
    ) {
        let mut fleet = Fleet::new(nodes, 3, seed);
        let faults = &mut fleet.faults;
        (faults.loss, faults.duplicates, faults.spread) = (0.2, 0.1, 60);
        let mut newest = 1;
        for (step, millis) in &steps {
            apply(&mut fleet, step, &mut newest);
            fleet.run(*millis);
        }
        fleet.faults.group = vec![0; nodes];
        fleet.faults.down = false;
        let published = version_of(&fleet.config);
        fleet.run(10_000);
        // The newest version may be lost only if every node that had it was restarted.
        let held = fleet.nodes.iter().map(|(_, record)| record.version).max().unwrap_or(0);
        prop_assert!(held >= published);
        prop_assert!(fleet.all_at(held));
        prop_assert!(fleet.all_serve());
    }

    // Guards against edits that lead to another text.
    #[test]
    fn edits_restore(old in "([abc]{0,2}\n){0,30}[ab]?", new in "([abc]{0,2}\n){0,30}[ab]?") {
        let edits = diff::edits(&old, &new);
        prop_assert_eq!(diff::apply(&old, &edits), Some(new));
    }
}

// Guards against a flip between two texts with one version.
#[test]
fn conflict_holds() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.run(4000);
    fleet.faults.group = vec![0, 0, 0, 1, 1, 1];
    fleet.faults.cut = vec![false, false, false, true, true, true];
    fleet.config = text(2, "left");
    fleet.run(3000);
    fleet.faults.cut = vec![true, true, true, false, false, false];
    fleet.config = text(2, "right");
    fleet.run(5000);
    assert!(fleet.all_at(2));
    let digests = |fleet: &mut Fleet| -> Vec<[u8; 32]> {
        let now = fleet.at();
        let nodes = fleet.nodes.iter_mut();
        nodes
            .map(|(node, _)| node.serve_config(1, now).digest)
            .collect()
    };
    let before = digests(&mut fleet);
    assert_ne!(before[0], before[5]);
    fleet.faults.group = vec![0; 6];
    fleet.faults.cut = vec![false; 6];
    fleet.run(5000);
    assert_eq!(digests(&mut fleet), before);
    let conflicts = |event: &Event| matches!(event, Event::ConfigConflict { .. });
    assert!(fleet.nodes[0].1.events.iter().any(conflicts));
    fleet.config = text(3, "");
    fleet.run(5000);
    assert!(fleet.all_at(3));
}

// Guards against another text with the version in force when a service delivers it, and against
// silence about it.
#[test]
fn flip_refused() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_config_text(&text(2, "first"), &platform, now);
    let digest = node.serve_config(0, now).digest;
    node.take_actions();
    node.receive_config_text(&text(2, "second"), &platform, now);
    assert_eq!(node.serve_config(0, now).digest, digest);
    let conflict = Event::ConfigConflict {
        version: 2,
        source: Source::Platform,
    };
    assert_eq!(node.take_actions(), [Action::Emit(conflict)]);
}

// Guards against a file with findings that is applied in part, and against a stream of reads of it.
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

// Guards against a history without bound, and against whole texts where edits do.
#[test]
fn history_bounded() {
    let mut history = History::default();
    for version in 1..100 {
        history.push(version, text(version, ""));
    }
    assert_eq!(history.versions().count(), MAX_VERSIONS);
    assert!(matches!(history.answer(98), Text::Edits(edits) if edits.len() == 1));
    assert!(matches!(history.answer(3), Text::Full(_)));
    history.push(100, Arc::from("x\n".repeat(3 << 20)));
    assert_eq!(history.versions().collect::<Vec<_>>(), [100]);
}

// Guards against a change of the diff's cost with the size of a rewritten file.
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
