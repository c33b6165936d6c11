//! Cost of looking up a key's owner and of claiming and finishing a key.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use basilbay_keys::history::History;
use basilbay_keys::key::Key;
use basilbay_keys::owner;
use basilbay_keys::store::{Finish, Limits, Shards, Store};
use basilbay_model::roster::{Instance, Roster, State};
use criterion::{Criterion, criterion_group, criterion_main};

const RETENTION: Duration = Duration::from_secs(600);
/// Time for which an ended entry is kept: the retention period, `OWNERSHIP_GRACE` and
/// `MAX_AGE_STEP`.
const ENTRY_LIFETIME: Duration = Duration::from_secs(634);
const WALL_MS: u64 = 10_000_000;

fn key(number: u64) -> Key {
    let text = format!("01890a5d-ac96-4000-8000-{number:012x}");
    Key::parse(&text, SystemTime::UNIX_EPOCH).expect("a valid key")
}

fn instance(number: usize) -> Instance {
    let address = ([127, 0, 0, 1], 1).into();
    Instance {
        id: Arc::from(format!("paydesk-{number}")),
        service: Arc::from("paydesk"),
        domain: Arc::from("tt-north-1"),
        region: Arc::from("tt"),
        peer: address,
        admin: address,
        listen: address,
        state: State::Live,
        target: None,
        started_at_ms: None,
        slots: None,
        listed_at_ms: 0,
        leaving_at_ms: None,
    }
}

fn history(count: usize) -> History {
    let mut history = History::new(Arc::from("paydesk"), RETENTION, 0);
    let mut roster = Roster {
        version: 1,
        as_of_ms: 0,
        instances: (0..count).map(instance).collect(),
    };
    roster.sort();
    history.observe(&roster);
    roster.as_of_ms = WALL_MS;
    history.observe(&roster);
    history
}

fn limits() -> Limits {
    Limits {
        entries: 10_000_000,
        response_bytes: 64 << 20,
        retention: RETENTION,
    }
}

fn find(criterion: &mut Criterion) {
    for count in [4, 9, 100] {
        let history = history(count);
        let key = key(1);
        criterion.bench_function(&format!("find/{count}"), |bench| {
            bench.iter(|| owner::find(&history, "paydesk", black_box(&key), WALL_MS, RETENTION));
        });
    }
    criterion.bench_function("parse", |bench| {
        bench.iter(|| Key::parse(black_box("order-00001234567"), SystemTime::UNIX_EPOCH));
    });
}

/// Claims and finishes one key and evicts the oldest, with a constant number of entries.
fn claim(criterion: &mut Criterion) {
    for count in [1000, 100_000] {
        let keys: Vec<_> = (0..2 * u64::from(count)).map(key).collect();
        let step = ENTRY_LIFETIME / count;
        let store = RefCell::new(Store::new(limits()));
        let shards = Shards::new(limits());
        let unsharded = |key: &Key, now| {
            let mut store = store.borrow_mut();
            store.claim(key, 1, 0, now);
            store.finish(key, Finish::TooLarge, now);
            store.evict_expired(now);
        };
        let sharded = |key: &Key, now| {
            let mut store = shards.lock(key);
            store.claim(key, 1, 0, now);
            store.finish(key, Finish::TooLarge, now);
            store.evict_expired(now);
        };
        cycle(
            criterion,
            &format!("claim_finish/{count}"),
            &keys,
            step,
            unsharded,
        );
        let name = format!("claim_finish_shards/{count}");
        cycle(criterion, &name, &keys, step, sharded);
        println!("{} and {} keys stored", store.borrow().len(), shards.len());
    }
}

/// Runs `operation` for half of the keys, then measures it for one key after another.
fn cycle(
    criterion: &mut Criterion,
    name: &str,
    keys: &[Key],
    step: Duration,
    operation: impl Fn(&Key, Instant),
) {
    let mut now = Instant::now();
    let mut next = keys.iter().cycle();
    let mut iteration = || {
        now += step;
        operation(next.next().expect("a cycle"), now);
    };
    (0..keys.len() / 2).for_each(|_| iteration());
    criterion.bench_function(name, |bench| bench.iter(&mut iteration));
}

/// Insertion and removal in the two layouts that were considered for the entries of one shard.
fn layout(criterion: &mut Criterion) {
    for count in [1000u64, 6250, 100_000] {
        let digests: Vec<_> = (0..count + 1000).map(|at| key(at).digest()).collect();
        let (stored, fresh) = digests.split_at(count as usize);
        let mut sorted: Vec<(u64, u32)> = stored.iter().map(|at| ((at >> 64) as u64, 0)).collect();
        sorted.sort_unstable();
        let mut tree: BTreeMap<u128, u32> = stored.iter().map(|at| (*at, 0)).collect();
        let mut next = fresh.iter().cycle();
        criterion.bench_function(&format!("sorted_vector/{count}"), |bench| {
            bench.iter(|| {
                let digest = (next.next().expect("a cycle") >> 64) as u64;
                let index = sorted.partition_point(|entry| entry.0 < digest);
                sorted.insert(index, (digest, 1));
                sorted.remove(index)
            });
        });
        criterion.bench_function(&format!("tree/{count}"), |bench| {
            bench.iter(|| {
                let digest = next.next().expect("a cycle");
                tree.insert(*digest, 1);
                tree.remove(digest)
            });
        });
    }
}

criterion_group!(benches, find, claim, layout);
criterion_main!(benches);
