//! Where keys belong, and the cases in which an earlier form of the rules gave a key two homes.

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

/// Long after the instances `a` and `b` were listed at 0.
const T: Timestamp = 100_000;

fn seen(views: &[(u64, Timestamp, &[Instance])]) -> History {
    let mut history = History::new(SERVICE.into(), RETENTION, 0);
    for (version, as_of, instances) in views {
        history.observe(&roster(*version, *as_of, instances));
    }
    history
}

fn ask(history: &History, me: &str, key: &Key, wall: Timestamp) -> Permission {
    owner::may_run(history, me, SERVICE, key, wall, RETENTION)
}

fn seek(history: &History, key: &Key, wall: Timestamp) -> Lookup {
    owner::find(history, SERVICE, key, wall, RETENTION)
}

fn pair() -> [Instance; 2] {
    [instance("a", 0), instance("b", 0)]
}

/// A key of a time whose home is the given instance of those listed from the start.
fn key_at(issued: Option<Timestamp>, instances: &[Instance], owner: &str) -> Key {
    let wall = issued.unwrap_or(T);
    let history = seen(&[(1, 0, instances), (1, wall, instances)]);
    (0..)
        .map(|number| key(issued, number))
        .find(|key| seek(&history, key, wall) == Lookup::Found(owner.into()))
        .expect("an endless search")
}

fn wall(stamp: Timestamp) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(stamp)
}

/// Guards against keys that headers cannot carry and keys from the future.
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

/// Guards against a change of the hash: daemons of two builds would then disagree on homes.
#[test]
fn stable_hash() {
    let instances: Vec<_> = (0..9).map(|at| instance(&format!("i{at}"), 0)).collect();
    let history = seen(&[(1, 0, &instances), (1, T, &instances)]);
    let homes: Vec<_> = (0..8)
        .map(|number| match seek(&history, &key(Some(T), number), T) {
            Lookup::Found(id) => id.to_string(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(homes.join(" "), "i4 i6 i4 i3 i8 i1 i7 i7");
}

/// Guards against a wrong rule at the edges of grace, lease, and retention.
#[test]
fn rule_edges() {
    let [a, b] = pair();
    let history = seen(&[(1, 0, &[a.clone(), b.clone()]), (1, T, &[a, b])]);
    let mine = key_at(Some(T), &pair(), "a");
    assert_eq!(ask(&history, "a", &mine, T), Permission::Granted);
    assert_eq!(ask(&history, "a", &mine, T + 2999), Permission::Granted);
    assert_eq!(ask(&history, "a", &mine, T + 3000), Permission::StaleRoster);
    assert_eq!(
        ask(&history, "b", &mine, T),
        Permission::NotOwner(Some("a".into()))
    );
    assert_eq!(ask(&history, "a", &mine, T + 20_001), Permission::Expired);
    assert_eq!(
        seek(&history, &mine, T + 20_001),
        Lookup::Unknown(Reason::Expired)
    );
    let young = seen(&[(1, T - 3999, &pair()), (1, T, &pair())]);
    assert_eq!(ask(&young, "a", &mine, T), Permission::HistoryIncomplete);
    let late = [instance("a", T - 3999), instance("b", T - 3999)];
    let listed = seen(&[(1, 0, &[]), (2, T, &late)]);
    assert_eq!(seek(&listed, &mine, T), Lookup::NoOwner);
}

/// An instance that is listed and removed between two rosters of another daemon may have run a
/// key; the other daemon must not believe that it is the home.
#[test]
fn missed_instance() {
    let only = [instance("a", 0)];
    let both = [instance("a", 0), instance("b", T)];
    let key = key_at(Some(T + 5000), &pair(), "b");
    let brief = seen(&[(1, 0, &only), (2, T, &both), (2, T + 5000, &both)]);
    assert_eq!(ask(&brief, "b", &key, T + 5000), Permission::Granted);
    let blind = seen(&[(1, 0, &only), (1, T - 10, &only), (3, T + 6000, &only)]);
    assert_eq!(
        ask(&blind, "a", &key, T + 6000),
        Permission::HistoryIncomplete
    );
}

/// The daemon that sees a removal early must not take over while the removed one, which sees it
/// late, still counts its grace.
#[test]
fn late_removal() {
    let both = pair();
    let only = [instance("a", 0)];
    let key = key_at(Some(T + 4500), &both, "b");
    let early = seen(&[
        (1, 0, &both),
        (1, T, &both),
        (2, T + 100, &only),
        (2, T + 4500, &only),
    ]);
    let late = seen(&[(1, 0, &both), (1, T, &both), (2, T + 3000, &only)]);
    assert_eq!(ask(&early, "a", &key, T + 4500), Permission::Granted);
    assert_eq!(
        ask(&late, "b", &key, T + 4500),
        Permission::HistoryIncomplete
    );
}

/// A daemon that restarts with an old first roster must not believe that it remembers the time
/// before its restart.
#[test]
fn old_first() {
    let both = pair();
    let key = key_at(Some(T), &both, "a");
    let mut history = History::new(SERVICE.into(), RETENTION, T + 1000);
    history.observe(&roster(1, T - 30_000, &both));
    history.observe(&roster(1, T + 1500, &both));
    assert_eq!(
        ask(&history, "a", &key, T + 1500),
        Permission::HistoryIncomplete
    );
}

/// A daemon whose view ended before the key's issue time cannot say that the key has not run: it
/// may have been removed, and another may be the home.
#[test]
fn old_view() {
    let both = pair();
    let history = seen(&[(1, 0, &both), (1, T, &both)]);
    let near = key_at(Some(T + 3400), &both, "a");
    let far = key_at(Some(T + 3500), &both, "a");
    let outcome = |key, wall| ask(&history, "a", key, wall).outcome();
    assert_eq!(outcome(&near, T + 3400), Some(Outcome::NotRun));
    assert_eq!(outcome(&far, T + 3500), Some(Outcome::Unknown));
}

/// The first send and the last resend of an opaque key, timed by clocks that differ, must not find
/// two homes on the two sides of a change.
#[test]
fn skewed_window() {
    let both = pair();
    let only = [instance("a", 0)];
    let key = key_at(None, &both, "b");
    let before = seen(&[(1, 0, &both), (1, T, &both)]);
    // By its slow clock `b` runs the key at its last eligible moment.
    assert_eq!(ask(&before, "b", &key, T), Permission::Granted);
    let resent = T + RETENTION.as_millis() as u64 + 600;
    let steps = (0..45).map(|step| (2, T - 3900 + step * 500));
    let mut after = seen(&[(1, 0, &both), (1, T - 4000, &both)]);
    for (version, as_of) in steps.chain([(2, resent)]) {
        after.observe(&roster(version, as_of, &only));
    }
    assert_ne!(ask(&after, "a", &key, resent), Permission::Granted);
}

/// An instance that was off the list for a moment and kept its listing time does not own the keys
/// that another may have taken over.
#[test]
fn returned_instance() {
    let both = pair();
    let only = [instance("a", 0)];
    let key = key_at(Some(T + 5000), &both, "b");
    let history = seen(&[
        (1, 0, &both),
        (2, T, &only),
        (3, T + 2000, &both),
        (3, T + 5000, &both),
    ]);
    assert_eq!(
        ask(&history, "b", &key, T + 5000),
        Permission::HistoryIncomplete
    );
    assert_eq!(seek(&history, &key, T + 5000), Lookup::Found("b".into()));
    let forgetful = seen(&[(1, 0, &only), (2, T + 2000, &both), (2, T + 5000, &both)]);
    let after = key_at(Some(T + 6000), &both, "b");
    assert_eq!(
        ask(&forgetful, "b", &key, T + 5000),
        Permission::HistoryIncomplete
    );
    assert_eq!(ask(&forgetful, "b", &after, T + 6000), Permission::Granted);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against keys that move although their home stays, when one instance joins or leaves.
    #[test]
    fn least_movement(count in 2..12usize, number in 0..1000u64) {
        let all: Vec<_> = (0..count).map(|at| instance(&format!("i{at}"), 0)).collect();
        let some = &all[1..];
        let find = |instances: &[Instance]| {
            let history = seen(&[(1, 0, instances), (1, T, instances)]);
            seek(&history, &key(Some(T), number), T)
        };
        let wide = find(&all);
        prop_assert!(wide == find(some) || wide == Lookup::Found("i0".into()));
    }
}
