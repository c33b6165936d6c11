//! Who is told and how much is said.

#[path = "support/harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::gossip::{BURST_BYTES, RATE_BYTES_PER_S};
use basilbay_membership::node::Node;
use basilbay_wire::control::{ConfigBody, Edit, Text};
use basilbay_wire::datagram::{Body, Heartbeat};
use harness::Fleet;
use harness::sample::{address, identity, instance, roster, text};
use proptest::prelude::*;

fn beat(config_version: u64) -> Heartbeat {
    Heartbeat {
        config_version,
        ..Heartbeat::default()
    }
}

fn hear(node: &mut Node, index: usize, version: u64, now: Instant) {
    let id = instance(index, 0, 3).id;
    node.receive_heartbeat(&id, address(index), &beat(version), false, now);
}

fn config_pulls(actions: Vec<Action>) -> Vec<(Pull, u64)> {
    let pulls = actions.into_iter().filter_map(|action| match action {
        Action::PullConfig { pull, have } => Some((pull, have)),
        _ => None,
    });
    pulls.collect()
}

fn is_at(origin: &Pull, index: usize) -> bool {
    matches!(&origin.source, Source::Peer { address: at, .. } if *at == address(index))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against gossip that exceeds its budget while versions change all the time.
    #[test]
    fn budget_kept(nodes in 5..13_usize, seed in any::<u64>(), pause in 50..500_u64) {
        let mut fleet = Fleet::new(nodes, 3, seed);
        for version in 2..20 {
            fleet.config = text(version, "");
            fleet.run(pause);
        }
        let allowed = u64::from(RATE_BYTES_PER_S) * fleet.now / 1000 + u64::from(BURST_BYTES);
        for (_, record) in &fleet.nodes {
            prop_assert!(record.gossip_bytes as u64 <= allowed);
        }
    }
}

// Guards against several pulls of one version, and against giving up when the first peer fails.
#[test]
fn single_pull() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    for index in 1..5 {
        hear(&mut node, index, 7, now);
    }
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(from, 0)] if is_at(from, 1)));
    node.config_pull_failed(&pulls[0].0, now);
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(from, 0)] if is_at(from, 2)));
    hear(&mut node, 3, 8, now);
    assert_eq!(config_pulls(node.take_actions()), []);
}

// Guards against silence towards a peer that still announces an older version.
#[test]
fn behind_told() {
    let start = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, start);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_config_text(&text(2, ""), &platform, start);
    node.take_actions();
    hear(&mut node, 1, 1, start + Duration::from_millis(300));
    let told = |action: &Action| matches!(action, Action::Send { to, .. } if *to == address(1));
    assert!(node.take_actions().iter().any(told));
}

// Guards against a peer that announces what it does not have and is then asked without end.
#[test]
fn false_claim() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    hear(&mut node, 1, 9, now);
    let from = config_pulls(node.take_actions()).remove(0).0;
    let body = ConfigBody {
        format: 1,
        version: 0,
        digest: [0; 32],
        text: Text::Unchanged,
    };
    node.receive_config_body(body, &from, now);
    assert_eq!(config_pulls(node.take_actions()), []);
}

// Guards against pulls at the address that a datagram came from when a relay stands between, where
// nobody listens.
#[test]
fn relayed_beat() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_roster(roster(1, &[0; 3], 3), &platform, now);
    node.receive_config_text(&text(1, ""), &platform, now);
    node.take_actions();
    let relay = address(900);
    node.receive_heartbeat(&instance(1, 0, 3).id, relay, &beat(2), false, now);
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(from, 1)] if is_at(from, 1)));
}

// Guards against edits that lead to another text than the sender's.
#[test]
fn wrong_edits() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_config_text(&text(1, ""), &platform, now);
    hear(&mut node, 1, 2, now);
    let (from, have) = config_pulls(node.take_actions()).remove(0);
    assert_eq!(have, 1);
    let edits = vec![Edit {
        line: 1,
        removed: 1,
        added: vec!["version = 2".to_owned()],
    }];
    let body = ConfigBody {
        format: 1,
        version: 2,
        digest: [9; 32],
        text: Text::Edits(edits),
    };
    node.receive_config_body(body, &from, now);
    assert_eq!(node.current_config().map(|config| config.version), Some(1));
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(from, 0)] if is_at(from, 1)));
}

// Guards against new work for a leaving target until the list says it, and against a replacement
// at the same address that counts as leaving.
#[test]
fn leaving_noted() {
    let mut fleet = Fleet::new(12, 3, 5);
    fleet.run(4000);
    fleet.faults.loss = 0.2;
    let now = fleet.at();
    fleet.nodes[4].0.announce_leaving(now);
    fleet.run(2000);
    let old = instance(4, 0, 3).id;
    let told = fleet
        .nodes
        .iter()
        .filter(|(node, _)| node.is_leaving(&old))
        .count();
    assert_eq!(told, 11);
    fleet.restart(4);
    fleet.run(3000);
    let new = instance(4, 1, 3).id;
    assert!(
        fleet
            .nodes
            .iter()
            .all(|(node, _)| !node.is_leaving(&new) && !node.is_leaving(&old))
    );
}

// Guards against farewells that take longer than the 2 s within which new work must stop.
#[test]
fn farewell_prompt() {
    let start = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 7)), 1, start);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_roster(roster(1, &[0; 630], 7), &platform, start);
    node.announce_leaving(start);
    let mut sent = 0;
    for tick in 0..36 {
        node.tick(start + Duration::from_millis(50 * tick));
        let leaving = |action: &Action| {
            matches!(
                action,
                Action::Send {
                    body: Body::Leaving,
                    ..
                }
            )
        };
        sent += node
            .take_actions()
            .iter()
            .filter(|action| leaving(action))
            .count();
    }
    assert_eq!(sent, 3 * 629);
}

// Guards against changes of the exchange between three nodes of which two read different versions.
#[test]
fn version_race() {
    let mut fleet = Fleet::new(3, 3, 1);
    fleet.run(3000);
    fleet.log = Some(Vec::new());
    fleet.faults.cut = vec![false, true, true];
    fleet.config = text(2, "");
    fleet.run(6);
    fleet.faults.cut = vec![true, true, false];
    fleet.config = text(3, "");
    fleet.run(60);
    assert!(fleet.all_at(3));
    let lines = fleet.log.unwrap_or_default().into_iter().filter_map(line);
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

fn line((time, index, action): (u64, usize, Action)) -> Option<String> {
    let said = match action {
        Action::Send {
            to,
            body: Body::Heartbeat { beat, .. },
        } => {
            let (config, roster) = (beat.config_version, beat.roster_version);
            format!(
                "heartbeat to n{}: config {config}, roster {roster}",
                to.port() - 1
            )
        }
        Action::PullConfig { pull, have } => {
            format!("pull config from {:?}, have {have}", pull.source)
        }
        Action::WatchConfig { after, .. } => format!("watch config after {after}"),
        Action::ApplyConfig(config) => format!("config {} in force", config.version),
        Action::PullRoster { .. } => return None,
        other => format!("{other:?}"),
    };
    Some(format!("{time} n{index} {said}"))
}
