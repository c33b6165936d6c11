//! Ownership of keys, including the cases in which earlier versions of the rules gave a key two
//! owners.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use basilbay_keys::history::History;
use basilbay_keys::key::{Error, Format, Key};
use basilbay_keys::owner::{self, Lookup, Permission, Reason};
use basilbay_model::roster::{Instance, Timestamp};
use basilbay_wire::problem::Outcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roster::{RETENTION, SERVICE, instance, key, roster};

#[path = "support/roster.rs"]
mod roster;

/// Reference time, long after the instances `a` and `b` were listed at 0.
const NOW_MS: Timestamp = 100_000;

fn history_of(views: &[(u64, Timestamp, &[Instance])]) -> History {
    let mut history = History::new(SERVICE.into(), RETENTION, 0);
    for (version, as_of, instances) in views {
        history.observe(&roster(*version, *as_of, instances));
    }
    history
}

fn may_run(history: &History, own_id: &str, key: &Key, wall: Timestamp) -> Permission {
    owner::may_run(history, own_id, SERVICE, key, wall, RETENTION)
}

fn find_owner(history: &History, key: &Key, wall: Timestamp) -> Lookup {
    owner::find(history, SERVICE, key, wall, RETENTION)
}

fn two_instances() -> [Instance; 2] {
    [instance("a", 0), instance("b", 0)]
}

/// Finds a key issued at the given time, or an opaque one, that `owner` owns among `instances`.
fn key_owned_by(issued: Option<Timestamp>, instances: &[Instance], owner: &str) -> Key {
    let wall = issued.unwrap_or(NOW_MS);
    let history = history_of(&[(1, 0, instances), (1, wall, instances)]);
    (0..)
        .map(|number| key(issued, number))
        .find(|key| find_owner(&history, key, wall) == Lookup::Found(owner.into()))
        .expect("an endless search")
}

fn wall(stamp: Timestamp) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(stamp)
}

/// Guards against keys that are not valid header values and keys issued in the future.
#[test]
fn key_parse() {
    assert_eq!(Key::parse("", wall(0)), Err(Error::Empty));
    assert_eq!(
        Key::parse(&"x".repeat(129), wall(0)),
        Err(Error::TooLong(129))
    );
    assert_eq!(Key::parse("a b", wall(0)), Err(Error::InvalidByte(1)));
    assert_eq!(Key::parse("a\u{e9}", wall(0)), Err(Error::InvalidByte(1)));
    assert_eq!(key(None, 1).format, Format::Opaque);
    let v7 = key(Some(1_000_000), 1);
    assert_eq!(v7.format, Format::UuidV7(1_000_000));
    assert!(Key::parse(&v7.text, wall(999_500)).is_ok());
    assert_eq!(
        Key::parse(&v7.text, wall(999_499)),
        Err(Error::InFuture(501))
    );
}

/// Guards against a change of the hash, which would make daemons of two builds disagree on owners.
#[test]
fn stable_hash() {
    let instances: Vec<_> = (0..9).map(|at| instance(&format!("i{at}"), 0)).collect();
    let history = history_of(&[(1, 0, &instances), (1, NOW_MS, &instances)]);
    let owners: Vec<_> = (0..8)
        .map(
            |number| match find_owner(&history, &key(Some(NOW_MS), number), NOW_MS) {
                Lookup::Found(id) => id.to_string(),
                other => panic!("{other:?}"),
            },
        )
        .collect();
    assert_eq!(owners.join(" "), "i4 i6 i4 i3 i8 i1 i7 i7");
}

/// Guards against errors at the boundaries of the ownership grace, the lease and the retention
/// period.
#[test]
fn rule_edges() {
    let [a, b] = two_instances();
    let history = history_of(&[(1, 0, &[a.clone(), b.clone()]), (1, NOW_MS, &[a, b])]);
    let own_key = key_owned_by(Some(NOW_MS), &two_instances(), "a");
    assert_eq!(
        may_run(&history, "a", &own_key, NOW_MS),
        Permission::Granted
    );
    assert_eq!(
        may_run(&history, "a", &own_key, NOW_MS + 2999),
        Permission::Granted
    );
    assert_eq!(
        may_run(&history, "a", &own_key, NOW_MS + 3000),
        Permission::StaleRoster
    );
    assert_eq!(
        may_run(&history, "b", &own_key, NOW_MS),
        Permission::NotOwner(Some("a".into()))
    );
    assert_eq!(
        may_run(&history, "a", &own_key, NOW_MS + 20_001),
        Permission::Expired
    );
    assert_eq!(
        find_owner(&history, &own_key, NOW_MS + 20_001),
        Lookup::Unknown(Reason::Expired)
    );
    let short_history = history_of(&[
        (1, NOW_MS - 3999, &two_instances()),
        (1, NOW_MS, &two_instances()),
    ]);
    assert_eq!(
        may_run(&short_history, "a", &own_key, NOW_MS),
        Permission::HistoryIncomplete
    );
    let late = [instance("a", NOW_MS - 3999), instance("b", NOW_MS - 3999)];
    let listed = history_of(&[(1, 0, &[]), (2, NOW_MS, &late)]);
    assert_eq!(find_owner(&listed, &own_key, NOW_MS), Lookup::NoOwner);
}

/// Guards against a daemon that claims a key after skipping roster versions: an instance that was
/// listed and removed in between may have run the key.
#[test]
fn missed_instance() {
    let one = [instance("a", 0)];
    let both = [instance("a", 0), instance("b", NOW_MS)];
    let key = key_owned_by(Some(NOW_MS + 5000), &two_instances(), "b");
    let complete = history_of(&[(1, 0, &one), (2, NOW_MS, &both), (2, NOW_MS + 5000, &both)]);
    assert_eq!(
        may_run(&complete, "b", &key, NOW_MS + 5000),
        Permission::Granted
    );
    let skipping = history_of(&[
        (1, 0, &one),
        (1, NOW_MS - 10, &one),
        (3, NOW_MS + 6000, &one),
    ]);
    assert_eq!(
        may_run(&skipping, "a", &key, NOW_MS + 6000),
        Permission::HistoryIncomplete
    );
}

/// Guards against two owners after a removal: one daemon observes it early and takes over, while
/// the removed one observes it late and is still within its grace.
#[test]
fn late_removal() {
    let both = two_instances();
    let one = [instance("a", 0)];
    let key = key_owned_by(Some(NOW_MS + 4500), &both, "b");
    let early = history_of(&[
        (1, 0, &both),
        (1, NOW_MS, &both),
        (2, NOW_MS + 100, &one),
        (2, NOW_MS + 4500, &one),
    ]);
    let late = history_of(&[(1, 0, &both), (1, NOW_MS, &both), (2, NOW_MS + 3000, &one)]);
    assert_eq!(
        may_run(&early, "a", &key, NOW_MS + 4500),
        Permission::Granted
    );
    assert_eq!(
        may_run(&late, "b", &key, NOW_MS + 4500),
        Permission::HistoryIncomplete
    );
}

/// Guards against a restarted daemon that claims keys from before its restart because its first
/// roster is older than the restart.
#[test]
fn old_first_roster() {
    let both = two_instances();
    let key = key_owned_by(Some(NOW_MS), &both, "a");
    let mut history = History::new(SERVICE.into(), RETENTION, NOW_MS + 1000);
    history.observe(&roster(1, NOW_MS - 30_000, &both));
    history.observe(&roster(1, NOW_MS + 1500, &both));
    assert_eq!(
        may_run(&history, "a", &key, NOW_MS + 1500),
        Permission::HistoryIncomplete
    );
}

/// Guards against reporting "not run" when the latest roster predates the key's issue time: the
/// daemon may have been removed since, and another may be the owner.
#[test]
fn old_view() {
    let both = two_instances();
    let history = history_of(&[(1, 0, &both), (1, NOW_MS, &both)]);
    let near = key_owned_by(Some(NOW_MS + 3400), &both, "a");
    let far = key_owned_by(Some(NOW_MS + 3500), &both, "a");
    let outcome = |key, wall| may_run(&history, "a", key, wall).outcome();
    assert_eq!(outcome(&near, NOW_MS + 3400), Some(Outcome::NotRun));
    assert_eq!(outcome(&far, NOW_MS + 3500), Some(Outcome::Unknown));
}

/// Guards against two owners of an opaque key, one before and one after a roster change, when its
/// first send and its last resend are timed by clocks that differ.
#[test]
fn skewed_window() {
    let both = two_instances();
    let one = [instance("a", 0)];
    let key = key_owned_by(None, &both, "b");
    let before = history_of(&[(1, 0, &both), (1, NOW_MS, &both)]);
    // `b` has a slow clock and runs the key at the end of its eligibility.
    assert_eq!(may_run(&before, "b", &key, NOW_MS), Permission::Granted);
    let resent = NOW_MS + RETENTION.as_millis() as u64 + 600;
    let steps = (0..45).map(|step| (2, NOW_MS - 3900 + step * 500));
    let mut after = history_of(&[(1, 0, &both), (1, NOW_MS - 4000, &both)]);
    for (version, as_of) in steps.chain([(2, resent)]) {
        after.observe(&roster(version, as_of, &one));
    }
    assert_ne!(may_run(&after, "a", &key, resent), Permission::Granted);
}

/// Guards against an instance that was removed briefly, returned with its old listing time and
/// claims keys that another instance may have run meanwhile.
#[test]
fn returned_instance() {
    let both = two_instances();
    let one = [instance("a", 0)];
    let key = key_owned_by(Some(NOW_MS + 5000), &both, "b");
    let history = history_of(&[
        (1, 0, &both),
        (2, NOW_MS, &one),
        (3, NOW_MS + 2000, &both),
        (3, NOW_MS + 5000, &both),
    ]);
    assert_eq!(
        may_run(&history, "b", &key, NOW_MS + 5000),
        Permission::HistoryIncomplete
    );
    assert_eq!(
        find_owner(&history, &key, NOW_MS + 5000),
        Lookup::Found("b".into())
    );
    let late_start = history_of(&[
        (1, 0, &one),
        (2, NOW_MS + 2000, &both),
        (2, NOW_MS + 5000, &both),
    ]);
    let after = key_owned_by(Some(NOW_MS + 6000), &both, "b");
    assert_eq!(
        may_run(&late_start, "b", &key, NOW_MS + 5000),
        Permission::HistoryIncomplete
    );
    assert_eq!(
        may_run(&late_start, "b", &after, NOW_MS + 6000),
        Permission::Granted
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against keys that change their owner when another instance joins or leaves.
    #[test]
    fn least_movement(count in 2..12usize, number in 0..1000u64) {
        let all: Vec<_> = (0..count).map(|at| instance(&format!("i{at}"), 0)).collect();
        let remaining = &all[1..];
        let find = |instances: &[Instance]| {
            let history = history_of(&[(1, 0, instances), (1, NOW_MS, instances)]);
            find_owner(&history, &key(Some(NOW_MS), number), NOW_MS)
        };
        let owner_among_all = find(&all);
        prop_assert!(owner_among_all == find(remaining) || owner_among_all == Lookup::Found("i0".into()));
    }
}
