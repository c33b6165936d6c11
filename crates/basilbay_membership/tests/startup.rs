//! Conditions under which a new daemon becomes ready, and isolation.

#[path = "support/harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use basilbay_events::catalogue;
use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::event::Event;
use basilbay_membership::node::Node;
use basilbay_membership::readiness::{Missing, Readiness};
use basilbay_membership::view::RosterView;
use basilbay_wire::datagram::Heartbeat;
use harness::Fleet;
use harness::sample::{address, identity, instance, roster, text};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a new daemon that becomes ready with an older version from a stale service
    /// while its peers have a newer one.
    #[test]
    fn peers_newer(seed in any::<u64>(), index in 0..9_usize, spread in 0..60_u64) {
        let mut fleet = Fleet::new(9, 3, seed);
        fleet.config = text(5, "");
        fleet.run(4000);
        fleet.faults.max_extra_delay = spread;
        fleet.config = text(3, "");
        fleet.restart(index);
        for _ in 0..300 {
            fleet.run(10);
            let (node, record) = &fleet.nodes[index];
            prop_assert!(record.version == 5 || !node.readiness(fleet.instant()).is_ready());
        }
        prop_assert!(fleet.all_ready());
    }
}

/// A node that has read configuration and roster from the platform and has not received a message
/// from any peer.
fn node_without_peers(now: Instant) -> Node {
    let mut node = Node::new(identity(instance(0, 0, 3)), 1, now);
    let platform = Pull {
        source: Source::Platform,
        id: 0,
    };
    node.receive_roster(roster(1, &[0; 4], 3), &platform, now);
    node.receive_config_text(&text(3, ""), &platform, now);
    node
}

/// Guards against readiness with an older version while a newer one announced by a peer is pulled.
#[test]
fn newer_awaited() {
    let now = Instant::now();
    let mut node = node_without_peers(now);
    let heartbeat = Heartbeat {
        config_version: 5,
        ..Heartbeat::default()
    };
    node.receive_heartbeat(&instance(1, 0, 3).id, address(1), &heartbeat, false, now);
    assert_eq!(
        node.readiness(now),
        Readiness::Starting(Missing::NewerVersion)
    );
    let peer = Source::Peer {
        id: instance(1, 0, 3).id,
        address: address(1),
    };
    node.config_pull_failed(
        &Pull {
            source: peer,
            id: 1,
        },
        now,
    );
    assert_eq!(node.readiness(now), Readiness::Ready);
}

/// Guards against a started daemon that refuses requests briefly at each change of the instance
/// list, for example after a power failure, when many targets return one after the other.
#[test]
fn started_once() {
    let now = Instant::now();
    let mut node = node_without_peers(now);
    let heartbeat = |roster_version| Heartbeat {
        config_version: 3,
        roster_version,
        ..Heartbeat::default()
    };
    let peer = instance(1, 0, 3).id;
    node.receive_heartbeat(&peer, address(1), &heartbeat(1), false, now);
    node.tick(now);
    assert_eq!(node.readiness(now), Readiness::Ready);
    node.receive_heartbeat(&peer, address(1), &heartbeat(2), false, now);
    assert_eq!(node.readiness(now), Readiness::Ready);
}

fn readiness(fleet: &Fleet) -> Readiness {
    fleet.nodes[0].0.readiness(fleet.instant())
}

/// Guards against a single daemon that never becomes ready, or becomes ready without waiting for
/// peers.
#[test]
fn single_daemon() {
    let mut fleet = Fleet::new(2, 1, 1);
    fleet.faults.partitions = vec![0, 1];
    while fleet.nodes[0].0.current_roster().is_none() {
        fleet.run(10);
    }
    fleet.run(900);
    assert!(!readiness(&fleet).is_ready());
    fleet.run(2000);
    assert!(readiness(&fleet).is_ready());
}

/// Guards against readiness without configuration and roster.
#[test]
fn no_config_received() {
    let mut fleet = Fleet::new(5, 3, 1);
    fleet.faults.platform_down = true;
    fleet.run(8000);
    assert_eq!(readiness(&fleet), Readiness::Starting(Missing::Config));
    fleet.faults.platform_down = false;
    fleet.run(8000);
    assert!(fleet.all_ready());
}

/// Guards against an isolated daemon that stays ready, and against a daemon that reaches only the
/// platform and refuses requests or takes more than 4 s to learn of a change.
#[test]
fn isolation_rule() {
    let mut fleet = Fleet::new(6, 3, 1);
    fleet.run(4000);
    fleet.faults.partitions[0] = 1;
    fleet.run(8000);
    assert!(fleet.all_ready());
    let isolated = |fleet: &Fleet| fleet.nodes[0].1.actions.contains(&Action::Isolated(true));
    assert!(!isolated(&fleet));
    fleet.config = text(2, "");
    fleet.run(4000);
    assert!(fleet.all_at(2));
    fleet.faults.cut_off[0] = true;
    fleet.run(6000);
    assert_eq!(readiness(&fleet), Readiness::Isolated);
    assert!(isolated(&fleet));
    fleet.faults.partitions[0] = 0;
    fleet.run(2000);
    assert!(fleet.all_ready());
    assert!(fleet.nodes[0].1.events.contains(&Event::Rejoined));
}

/// Guards against treating an old roster as fresh because peers have read a newer version.
#[test]
fn age_bound_to_version() {
    let mut view = RosterView::default();
    view.offer(roster(3, &[0; 4], 2));
    assert!(!view.advance_as_of(4, 900) && !view.advance_as_of(2, 900));
    assert_eq!(view.as_of_ms(), 0);
    assert!(view.advance_as_of(3, 900) && !view.advance_as_of(3, 800));
    assert_eq!(view.as_of_ms(), 900);
}

/// Guards against a roster age that depends on the version instead of the as-of time.
#[test]
fn age_through_peers() {
    let mut fleet = Fleet::new(6, 3, 1);
    fleet.run(4000);
    fleet.faults.cut_off[0] = true;
    fleet.run(6000);
    let wall = std::time::UNIX_EPOCH + Duration::from_millis(fleet.now);
    let age = fleet.nodes[0].0.roster_age(wall);
    assert!(age.is_some_and(|age| age < Duration::from_secs(3)));
}

/// Guards against events without an entry in the catalogue.
#[test]
fn events_listed() {
    let numbers = [
        200, 201, 202, 203, 204, 205, 206, 207, 600, 601, 602, 603, 604,
    ];
    let listed = |number: &u16| catalogue::ALL.iter().any(|event| event.number == *number);
    assert!(numbers.iter().all(listed));
    assert_eq!(Event::Isolated.number(), catalogue::ISOLATED.number);
}

/// Guards against callers that stay with a daemon which is cut off from all others, although the
/// platform could send them elsewhere.
#[test]
fn cut_off_from_peers() {
    let mut fleet = Fleet::new(6, 3, 1);
    fleet.run(4000);
    let is_cut_off = |fleet: &Fleet| fleet.nodes[0].0.is_cut_off(fleet.instant());
    assert!(!is_cut_off(&fleet));
    fleet.faults.partitions[0] = 1;
    fleet.run(2000);
    for _ in 0..40 {
        fleet.run(100);
        assert!(is_cut_off(&fleet));
    }
    assert!(!fleet.nodes[1].0.is_cut_off(fleet.instant()));
    fleet.faults.partitions[0] = 0;
    fleet.run(1000);
    assert!(!is_cut_off(&fleet));
}

/// Guards against the last daemon of a fleet that sends its callers away: the others have failed, and
/// the platform cannot tell.
#[test]
fn last_daemon() {
    let mut fleet = Fleet::new(4, 2, 1);
    fleet.run(4000);
    for index in 1..4 {
        fleet.pause(index, 600_000);
    }
    fleet.faults.platform_down = true;
    fleet.run(5000);
    for _ in 0..40 {
        fleet.run(100);
        assert!(!fleet.nodes[0].0.is_cut_off(fleet.instant()));
    }
}
