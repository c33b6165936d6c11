//! Pulls of a roster that differs little from the one that the receiver has.

#[path = "support/harness.rs"]
mod harness;

use std::sync::Arc;
use std::time::Instant;

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::change::{self, Log, MAX_VERSIONS};
use basilbay_membership::node::Node;
use basilbay_model::roster::{Roster, State};
use harness::Fleet;
use harness::sample::{address, identity, instance, roster, text};
use proptest::prelude::*;

/// Control traffic between daemons that one of them may cause, in both directions.
const MAX_BYTES_PER_S: usize = 9_000;

fn bytes_between_daemons(fleet: &Fleet) -> usize {
    let records = fleet.nodes.iter().map(|(_, record)| record);
    records.map(|it| it.bytes_total - it.bytes_read).sum()
}

/// Guards against whole rosters at each change: in a fleet of 300 daemons that was 88 KB for each
/// daemon, several times a second while instances are replaced.
#[test]
fn frequent_changes() {
    let mut fleet = Fleet::new(300, 6, 1);
    fleet.run(6_000);
    let before = bytes_between_daemons(&fleet);
    let seconds = 10;
    for step in 0..2 * seconds {
        let mut next = Roster::clone(&fleet.roster);
        next.version += 1;
        let changed = &mut next.instances[step * 7 % 300];
        changed.state = match changed.state {
            State::Live => State::Leaving,
            State::Leaving => State::Live,
        };
        fleet.roster = Arc::new(next);
        fleet.run(500);
    }
    let mean = (bytes_between_daemons(&fleet) - before) / fleet.nodes.len() / seconds;
    assert!(mean <= MAX_BYTES_PER_S, "{mean} bytes a second and daemon");
    fleet.run(2_000);
    for (node, _) in &fleet.nodes {
        let held = node.current_roster().expect("a roster");
        assert_eq!(held.instances, fleet.roster.instances);
    }
}

proptest! {
    /// Guards against changes whose result differs from the roster that the sender has.
    #[test]
    fn changes_reproduce(seed in any::<u64>(), skipped in 0..MAX_VERSIONS) {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut log = Log::default();
        let mut current = Roster::clone(&roster(1, &[0; 20], 3));
        log.record(None, &current);
        let mut versions = vec![current.clone()];
        for version in 2..40 {
            let mut next = current.clone();
            next.version = version;
            for _ in 0..random.usize(0..4) {
                let index = random.usize(0..20);
                let listed = next.instances.iter().position(|it| it.peer == address(index));
                match (listed, random.bool()) {
                    (Some(at), true) => drop(next.instances.remove(at)),
                    (Some(at), false) => next.instances[at].slots = Some(random.u32(1..9)),
                    (None, _) => next.instances.push(instance(index, random.u32(0..3), 3)),
                }
            }
            next.sort();
            log.record(Some(&current), &next);
            versions.push(next.clone());
            current = next;
        }
        let digest = change::digest(&current.instances);
        let held = &versions[versions.len().saturating_sub(skipped + 1)];
        let changes = log.since(held.version, &current, digest);
        let changes = changes.expect("the log reaches back to this version");
        let applied = change::apply(&held.instances, &changes);
        prop_assert_eq!(applied, Some(current.instances));
    }
}

/// A node that has a roster of four instances with the given version.
fn node_with_roster(index: usize, version: u64, runs: &[u32], now: Instant) -> Node {
    let mut node = Node::new(identity(instance(index, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_roster(roster(version, runs, 3), &platform, now);
    node.receive_config_text(&text(3, ""), &platform, now);
    node.take_actions();
    node
}

/// Guards against a fleet that restarts and pulls whole rosters although all daemons read the same
/// list: each read has a version of its own.
#[test]
fn same_instances() {
    let now = Instant::now();
    let mut newer = node_with_roster(0, 9, &[0; 4], now);
    let older = node_with_roster(1, 5, &[0; 4], now);
    let digest = change::digest(&older.current_roster().expect("a roster").instances);
    let body = newer.serve_roster(5, Some(digest), now);
    assert!(body.roster.instances.is_empty());
    let changes = body.changes.expect("changes");
    assert!(changes.updated.is_empty() && changes.removed.is_empty());
}

/// Guards against a roster that no list ever had: the receiver's copy of the version that changes
/// apply to differs from the sender's.
#[test]
fn diverged_copies() {
    let now = Instant::now();
    let mut sender = node_with_roster(0, 5, &[0; 4], now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    sender.receive_roster(roster(6, &[0, 0, 0, 1], 3), &platform, now);
    let mut receiver = node_with_roster(1, 5, &[0, 0, 1, 0], now);
    let digest = change::digest(&receiver.current_roster().expect("a roster").instances);
    let body = sender.serve_roster(5, Some(digest), now);
    assert!(body.changes.is_some());
    let peer = Source::Peer {
        id: instance(0, 0, 3).id,
        address: address(0),
    };
    let pull = Pull {
        source: peer,
        id: 1,
    };
    receiver.receive_roster_body(body, &pull, now);
    let held = receiver.current_roster().expect("a roster");
    assert_eq!(held.version, 5);
    let pulls_all = receiver.take_actions().into_iter().any(|action| {
        matches!(
            action,
            Action::PullRoster {
                have: 0,
                digest: None,
                ..
            }
        )
    });
    assert!(pulls_all);
}
