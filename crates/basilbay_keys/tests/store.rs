//! Contents, retention and limits of the idempotency store.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use basilbay_keys::decision::{self, Decision};
use basilbay_keys::key::Key;
use basilbay_keys::owner::Permission;
use basilbay_keys::store::{Claim, Finish, Limits, Response, Shards, Store};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION: Duration = Duration::from_secs(20);

const LIMITS: Limits = Limits {
    entries: 4,
    response_bytes: 1000,
    retention: RETENTION,
};

fn key(number: u64) -> Key {
    Key::parse(&format!("order-{number}"), UNIX_EPOCH).expect("a valid key")
}

fn response(size: usize) -> Arc<Response> {
    Arc::new(Response {
        status: 200,
        headers: vec![(Arc::from("etag"), Arc::from(&b"1"[..]))],
        body: Arc::from(vec![0; size]),
    })
}

fn run_key(store: &mut Store, number: u64, finish: Finish, now: Instant) {
    assert_eq!(store.claim(&key(number), 1, 0, now), Claim::Run);
    store.finish(&key(number), finish, now);
}

/// Advances time with one eviction per second, as a running daemon does.
fn advance(store: &mut Store, from: Instant, time: Duration) -> Instant {
    let end = from + time;
    let mut now = from;
    while now < end {
        now = end.min(now + Duration::from_secs(1));
        store.evict_expired(now);
    }
    now
}

/// Guards against a resend that runs again, waiters that are never woken, and a second `finish`
/// that marks a key that ran as not run.
#[test]
fn claim_outcomes() {
    let now = Instant::now();
    let mut store = Store::new(LIMITS);
    let key = key(1);
    assert_eq!(store.claim(&key, 1, 10, now), Claim::Run);
    assert_eq!(store.claim(&key, 1, 11, now), Claim::Join);
    assert_eq!(store.claim(&key, 1, 12, now), Claim::Join);
    assert_eq!(store.claim(&key, 2, 13, now), Claim::Reused);
    store.remove_waiter(&key, 11);
    let stored = response(10);
    let woken = store.finish(&key, Finish::Response(stored.clone()), now);
    assert_eq!(woken, [12]);
    assert_eq!(store.claim(&key, 1, 14, now), Claim::Replay(stored));
    run_key(&mut store, 2, Finish::Unknown, now);
    assert_eq!(store.claim(&self::key(2), 1, 0, now), Claim::Interrupted);
    assert!(store.finish(&self::key(2), Finish::NotRun, now).is_empty());
    assert_eq!(store.claim(&self::key(2), 1, 0, now), Claim::Interrupted);
    run_key(&mut store, 3, Finish::NotRun, now);
    run_key(&mut store, 3, Finish::TooLarge, now);
    assert_eq!(store.claim(&self::key(3), 1, 0, now), Claim::Completed);
}

/// Guards against evicting an entry too early, too late, or while the key runs.
#[test]
fn eviction_after_retention() {
    let start = Instant::now();
    let mut store = Store::new(LIMITS);
    run_key(&mut store, 1, Finish::TooLarge, start);
    store.claim(&key(2), 1, 0, start);
    let now = advance(&mut store, start, RETENTION + Duration::from_secs(4));
    assert_eq!(store.claim(&key(1), 1, 0, now), Claim::Completed);
    let now = advance(&mut store, now, Duration::from_secs(30));
    assert_eq!(store.len(), 1);
    assert_eq!(store.claim(&key(2), 1, 0, now), Claim::Join);
}

/// Guards against a pause that expires entries whose resends are still in the socket buffers.
#[test]
fn long_pause() {
    let start = Instant::now();
    let mut store = Store::new(LIMITS);
    run_key(&mut store, 1, Finish::TooLarge, start);
    let now = advance(&mut store, start, RETENTION);
    let resumed = now + Duration::from_secs(3600);
    store.evict_expired(resumed);
    assert_eq!(store.claim(&key(1), 1, 0, resumed), Claim::Completed);
}

/// Guards against evicting entries within their retention period to make room for new keys.
#[test]
fn full_store() {
    let now = Instant::now();
    let mut store = Store::new(LIMITS);
    for number in 0..4 {
        run_key(&mut store, number, Finish::TooLarge, now);
    }
    assert_eq!(store.claim(&key(4), 1, 0, now), Claim::Full);
    assert_eq!(store.claim(&key(0), 1, 0, now), Claim::Completed);
}

/// Guards against checking permission before looking up the store, which would report a running key
/// as not run.
#[test]
fn decide_order() {
    let now = Instant::now();
    let shards = Shards::new(LIMITS);
    let decide = |permission| decision::decide(&shards, &key(1), 1, 0, now, || permission);
    assert_eq!(
        decide(Permission::StaleRoster),
        Decision::Denied(Permission::StaleRoster)
    );
    assert_eq!(decide(Permission::Granted), Decision::Claim(Claim::Run));
    assert_eq!(
        decide(Permission::StaleRoster),
        Decision::Claim(Claim::Join)
    );
}

/// Guards against two threads that both run one key.
#[test]
fn racing_threads() {
    let now = Instant::now();
    let shards = Shards::new(Limits {
        entries: 4000,
        ..LIMITS
    });
    let runs: usize = std::thread::scope(|scope| {
        let race = || {
            (0..200)
                .filter(|at| shards.claim(&key(*at), 1, 0, now) == Claim::Run)
                .count()
        };
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(race)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .sum()
    });
    assert_eq!((runs, shards.len()), (200, 200));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(45),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against exceeded limits, miscounted bytes, and entries that are evicted together with
    /// their responses.
    #[test]
    fn limits_hold(
        sends in prop::collection::vec((0..8u64, 0..1200usize, 0..4u8, 0..6u64), 1..80),
    ) {
        let mut now = Instant::now();
        let mut store = Store::new(LIMITS);
        let mut runs: Vec<(u64, Instant)> = Vec::new();
        for (number, size, end, wait) in sends {
            now = advance(&mut store, now, Duration::from_secs(wait));
            let known = runs.iter().any(|(at, when)| *at == number && now <= *when + RETENTION);
            let claim = store.claim(&key(number), 1, 0, now);
            prop_assert!(!known || (claim != Claim::Run && claim != Claim::Full));
            if claim == Claim::Run {
                let finish = match end {
                    0 => Finish::NotRun,
                    1 => Finish::Unknown,
                    _ => Finish::Response(response(size)),
                };
                if end != 0 {
                    runs.push((number, now));
                }
                store.finish(&key(number), finish, now);
            }
            prop_assert!(store.len() <= LIMITS.entries);
            prop_assert!(store.response_bytes() <= LIMITS.response_bytes);
        }
        advance(&mut store, now, RETENTION + Duration::from_secs(34));
        prop_assert_eq!((store.len(), store.response_bytes()), (0, 0));
    }
}
