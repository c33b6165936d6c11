//! Confirmation of the view after a pause.

#[path = "support/harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::node::Node;
use basilbay_membership::readiness::Readiness;
use basilbay_wire::control::{ConfigBody, Text};
use basilbay_wire::datagram::Heartbeat;
use harness::Fleet;
use harness::sample::{address, identity, instance, roster, text};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against accepting requests with an outdated view: the harness asserts at every step
    /// that a paused node becomes ready only after responses to pulls made since the pause. A
    /// version published during the pause is active before the node becomes ready.
    #[test]
    fn confirmed_first(seed in any::<u64>(), index in 0..9_usize, millis in 500..4000_u64, down: bool) {
        let mut fleet = Fleet::new(9, 3, seed);
        fleet.faults.max_extra_delay = 40;
        fleet.run(4000);
        fleet.pause(index, millis);
        fleet.run(100);
        fleet.config = text(2, "");
        fleet.run(millis - 100);
        fleet.faults.platform_down = down;
        for _ in 0..200 {
            fleet.run(10);
            let (node, record) = &fleet.nodes[index];
            let is_ready = node.readiness(fleet.instant()).is_ready();
            prop_assert!(!is_ready || record.version == 2 || millis < 1000);
        }
        fleet.run(2000);
        prop_assert!(fleet.all_ready());
    }
}

/// Guards against daemons that were paused at the same time and confirm each other.
#[test]
fn no_mutual_confirmation() {
    let mut fleet = Fleet::new(6, 3, 2);
    fleet.run(4000);
    fleet.faults.platform_down = true;
    (0..6).for_each(|index| fleet.pause(index, 2000));
    fleet.config = text(2, "");
    fleet.run(10_000);
    let now = fleet.instant();
    let states = fleet.nodes.iter().map(|(node, _)| node.readiness(now));
    assert!(
        states
            .into_iter()
            .all(|readiness| readiness == Readiness::Unconfirmed)
    );
    fleet.faults.platform_down = false;
    fleet.run(6000);
    assert!(fleet.all_ready() && fleet.all_at(2));
}

fn started(now: Instant) -> Node {
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_roster(roster(1, &[0; 6], 3), &platform, now);
    node.receive_config_text(&text(1, ""), &platform, now);
    node.receive_heartbeat(
        &instance(1, 0, 3).id,
        address(1),
        &Heartbeat::default(),
        false,
        now,
    );
    node
}

/// Guards against readiness between the end of a pause and the first tick, and against treating
/// heartbeats from the socket buffer as confirmation.
#[test]
fn heartbeat_insufficient() {
    let start = Instant::now();
    let mut node = started(start);
    assert_eq!(node.readiness(start), Readiness::Ready);
    let now = start + Duration::from_millis(401);
    assert_eq!(node.readiness(now), Readiness::Unconfirmed);
    let heartbeat = Heartbeat {
        config_version: 1,
        roster_version: 1,
        ..Heartbeat::default()
    };
    node.receive_heartbeat(&instance(1, 0, 3).id, address(1), &heartbeat, false, now);
    node.tick(now);
    assert_eq!(node.readiness(now), Readiness::Unconfirmed);
    assert!(node.take_actions().contains(&Action::Paused));
}

/// Guards against confirmation by responses to pulls made before the pause, and against readiness
/// with only one part confirmed.
#[test]
fn late_response() {
    let start = Instant::now();
    let mut node = started(start);
    let old = Pull {
        source: Source::Platform,
        id: 0,
    };
    let now = start + Duration::from_secs(1);
    node.tick(now);
    node.receive_config_unchanged(&old, now);
    node.receive_roster(roster(1, &[], 3), &old, now);
    assert_eq!(node.readiness(now), Readiness::Unconfirmed);
    let pulls = node
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::PullConfig { pull, .. } | Action::PullRoster { pull, .. } => Some(pull),
            _ => None,
        });
    let pulls: Vec<Pull> = pulls.collect();
    let digest = node.serve_config(0, None, now).digest;
    let body = ConfigBody {
        format: 1,
        version: 1,
        digest,
        text: Text::Unchanged,
    };
    node.receive_config_body(body, &pulls[0], now);
    assert_eq!(node.readiness(now), Readiness::Unconfirmed);
    node.receive_roster(roster(1, &[], 3), &pulls[pulls.len() - 1], now);
    assert_eq!(node.readiness(now), Readiness::Ready);
    assert!(node.take_actions().contains(&Action::Confirmed));
}
