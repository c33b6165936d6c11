//! Propagation of versions among peers, pulls and the rate limit.

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

fn heartbeat(config_version: u64) -> Heartbeat {
    Heartbeat {
        config_version,
        ..Heartbeat::default()
    }
}

fn receive(node: &mut Node, index: usize, version: u64, now: Instant) {
    let id = instance(index, 0, 3).id;
    node.receive_heartbeat(&id, address(index), &heartbeat(version), false, now);
}

fn config_pulls(actions: Vec<Action>) -> Vec<(Pull, u64)> {
    let pulls = actions.into_iter().filter_map(|action| match action {
        Action::PullConfig { pull, have, .. } => Some((pull, have)),
        _ => None,
    });
    pulls.collect()
}

fn is_at(pull: &Pull, index: usize) -> bool {
    matches!(&pull.source, Source::Peer { address: at, .. } if *at == address(index))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against gossip that exceeds its rate limit while versions change frequently.
    #[test]
    fn rate_limit_kept(nodes in 5..13_usize, seed in any::<u64>(), pause in 50..500_u64) {
        let mut fleet = Fleet::new(nodes, 3, seed);
        for version in 2..20 {
            fleet.config = text(version, "");
            fleet.run(pause);
        }
        let allowed = u64::from(RATE_BYTES_PER_S) * fleet.now / 1000 + u64::from(BURST_BYTES);
        for (_, record) in &fleet.nodes {
            prop_assert!(record.bytes_gossiped as u64 <= allowed);
        }
    }
}

/// Guards against several pulls of one version, and against not trying the next peer when the first
/// one fails.
#[test]
fn single_pull() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    for index in 1..5 {
        receive(&mut node, index, 7, now);
    }
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(pull, 0)] if is_at(pull, 1)));
    node.config_pull_failed(&pulls[0].0, now);
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(pull, 0)] if is_at(pull, 2)));
    receive(&mut node, 3, 8, now);
    assert_eq!(config_pulls(node.take_actions()), []);
}

/// Guards against not notifying a peer that announces an older version.
#[test]
fn behind_notified() {
    let start = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, start);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_config_text(&text(2, ""), &platform, start);
    node.take_actions();
    receive(&mut node, 1, 1, start + Duration::from_millis(300));
    let is_notified =
        |action: &Action| matches!(action, Action::Send { to, .. } if *to == address(1));
    assert!(node.take_actions().iter().any(is_notified));
}

/// Guards against endless pulls from a peer that announces a version that it does not have.
#[test]
fn false_announcement() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    receive(&mut node, 1, 9, now);
    let pull = config_pulls(node.take_actions()).remove(0).0;
    let body = ConfigBody {
        format: 1,
        version: 0,
        digest: [0; 32],
        text: Text::Unchanged,
    };
    node.receive_config_body(body, &pull, now);
    assert_eq!(config_pulls(node.take_actions()), []);
}

/// Guards against pulls from the source address of a relayed datagram, which does not accept
/// connections.
#[test]
fn relayed_heartbeat() {
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
    node.receive_heartbeat(&instance(1, 0, 3).id, relay, &heartbeat(2), false, now);
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(pull, 1)] if is_at(pull, 1)));
}

/// Guards against activating edits whose result differs from the sender's text.
#[test]
fn wrong_edits() {
    let now = Instant::now();
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_config_text(&text(1, ""), &platform, now);
    receive(&mut node, 1, 2, now);
    let (pull, have) = config_pulls(node.take_actions()).remove(0);
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
    node.receive_config_body(body, &pull, now);
    assert_eq!(node.current_config().map(|config| config.version), Some(1));
    let pulls = config_pulls(node.take_actions());
    assert!(matches!(&pulls[..], [(pull, 0)] if is_at(pull, 1)));
}

/// Guards against treating a target as leaving only once the instance list marks it, and against
/// treating its replacement at the same address as leaving.
#[test]
fn leaving_announced() {
    let mut fleet = Fleet::new(12, 3, 5);
    fleet.run(4000);
    fleet.faults.loss = 0.2;
    let now = fleet.instant();
    fleet.nodes[4].0.announce_leaving(now);
    fleet.run(2000);
    let old = instance(4, 0, 3).id;
    let notified = fleet
        .nodes
        .iter()
        .filter(|(node, _)| node.is_leaving(&old))
        .count();
    assert_eq!(notified, 11);
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

/// Guards against leaving notifications that take longer than the 2 s within which callers must
/// stop sending new requests.
#[test]
fn leaving_deadline() {
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

/// Guards against unintended changes of the message sequence when two of three nodes read different
/// versions.
#[test]
fn version_race() {
    let mut fleet = Fleet::new(3, 3, 1);
    fleet.run(3000);
    fleet.log = Some(Vec::new());
    fleet.faults.cut_off = vec![false, true, true];
    fleet.config = text(2, "");
    fleet.run(6);
    fleet.faults.cut_off = vec![true, true, false];
    fleet.config = text(3, "");
    fleet.run(60);
    assert!(fleet.all_at(3));
    let lines = fleet
        .log
        .unwrap_or_default()
        .into_iter()
        .filter_map(describe);
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

fn describe((time, index, action): (u64, usize, Action)) -> Option<String> {
    let description = match action {
        Action::Send {
            to,
            body: Body::Heartbeat { heartbeat, .. },
        } => {
            let (config, roster) = (heartbeat.config_version, heartbeat.roster_version);
            format!(
                "heartbeat to n{}: config {config}, roster {roster}",
                to.port() - 1
            )
        }
        Action::PullConfig { pull, have, .. } => {
            format!("pull config from {:?}, have {have}", pull.source)
        }
        Action::WatchConfig { after, .. } => format!("watch config after {after}"),
        Action::ApplyConfig(config) => format!("apply config {}", config.version),
        Action::PullRoster { .. } => return None,
        other => format!("{other:?}"),
    };
    Some(format!("{time} n{index} {description}"))
}
