//! What a home remembers, for how long, and within which bounds.

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

fn answer(size: usize) -> Arc<Response> {
    Arc::new(Response {
        status: 200,
        headers: vec![(Arc::from("etag"), Arc::from(&b"1"[..]))],
        body: Arc::from(vec![0; size]),
    })
}

fn run(memory: &mut Store, number: u64, finish: Finish, now: Instant) {
    assert_eq!(memory.claim(&key(number), 1, 0, now), Claim::Run);
    memory.finish(&key(number), finish, now);
}

/// Lets time pass as in a daemon that is awake.
fn pass(memory: &mut Store, from: Instant, time: Duration) -> Instant {
    let end = from + time;
    let mut now = from;
    while now < end {
        now = end.min(now + Duration::from_secs(1));
        memory.evict_expired(now);
    }
    now
}

/// Guards against a repeat that runs, waiters that are never woken, and a
/// second end that turns a key that ran into one that did not.
#[test]
fn claim_outcomes() {
    let now = Instant::now();
    let mut memory = Store::new(LIMITS);
    let key = key(1);
    assert_eq!(memory.claim(&key, 1, 10, now), Claim::Run);
    assert_eq!(memory.claim(&key, 1, 11, now), Claim::Join);
    assert_eq!(memory.claim(&key, 1, 12, now), Claim::Join);
    assert_eq!(memory.claim(&key, 2, 13, now), Claim::Reused);
    memory.remove_waiter(&key, 11);
    let stored = answer(10);
    let woken = memory.finish(&key, Finish::Response(stored.clone()), now);
    assert_eq!(woken, [12]);
    assert_eq!(memory.claim(&key, 1, 14, now), Claim::Replay(stored));
    run(&mut memory, 2, Finish::Unknown, now);
    assert_eq!(memory.claim(&self::key(2), 1, 0, now), Claim::Interrupted);
    assert!(memory.finish(&self::key(2), Finish::NotRun, now).is_empty());
    assert_eq!(memory.claim(&self::key(2), 1, 0, now), Claim::Interrupted);
    run(&mut memory, 3, Finish::NotRun, now);
    run(&mut memory, 3, Finish::TooLarge, now);
    assert_eq!(memory.claim(&self::key(3), 1, 0, now), Claim::Completed);
}

/// Guards against forgetting a key early, late, or while it runs.
#[test]
fn forget_retention() {
    let start = Instant::now();
    let mut memory = Store::new(LIMITS);
    run(&mut memory, 1, Finish::TooLarge, start);
    memory.claim(&key(2), 1, 0, start);
    let now = pass(&mut memory, start, RETENTION + Duration::from_secs(4));
    assert_eq!(memory.claim(&key(1), 1, 0, now), Claim::Completed);
    let now = pass(&mut memory, now, Duration::from_secs(30));
    assert_eq!(memory.len(), 1);
    assert_eq!(memory.claim(&key(2), 1, 0, now), Claim::Join);
}

/// Guards against a pause that makes a daemon forget keys whose resends wait in its sockets.
#[test]
fn long_pause() {
    let start = Instant::now();
    let mut memory = Store::new(LIMITS);
    run(&mut memory, 1, Finish::TooLarge, start);
    let now = pass(&mut memory, start, RETENTION);
    let resumed = now + Duration::from_secs(3600);
    memory.evict_expired(resumed);
    assert_eq!(memory.claim(&key(1), 1, 0, resumed), Claim::Completed);
}

/// Guards against room that is made by forgetting facts.
#[test]
fn full_table() {
    let now = Instant::now();
    let mut memory = Store::new(LIMITS);
    for number in 0..4 {
        run(&mut memory, number, Finish::TooLarge, now);
    }
    assert_eq!(memory.claim(&key(4), 1, 0, now), Claim::Full);
    assert_eq!(memory.claim(&key(0), 1, 0, now), Claim::Completed);
}

/// Guards against a memory look-up that comes after the permission.
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

    /// Guards against bounds that are exceeded, miscounted bytes, and facts that go with bodies.
    #[test]
    fn bounded_memory(
        sends in prop::collection::vec((0..8u64, 0..1200usize, 0..4u8, 0..6u64), 1..80),
    ) {
        let mut now = Instant::now();
        let mut memory = Store::new(LIMITS);
        let mut ran: Vec<(u64, Instant)> = Vec::new();
        for (number, size, end, wait) in sends {
            now = pass(&mut memory, now, Duration::from_secs(wait));
            let known = ran.iter().any(|(at, when)| *at == number && now <= *when + RETENTION);
            let claim = memory.claim(&key(number), 1, 0, now);
            prop_assert!(!known || (claim != Claim::Run && claim != Claim::Full));
            if claim == Claim::Run {
                let finish = match end {
                    0 => Finish::NotRun,
                    1 => Finish::Unknown,
                    _ => Finish::Response(answer(size)),
                };
                if end != 0 {
                    ran.push((number, now));
                }
                memory.finish(&key(number), finish, now);
            }
            prop_assert!(memory.len() <= LIMITS.entries && memory.response_bytes() <= LIMITS.response_bytes);
        }
        pass(&mut memory, now, RETENTION + Duration::from_secs(34));
        prop_assert_eq!((memory.len(), memory.response_bytes()), (0, 0));
    }
}
