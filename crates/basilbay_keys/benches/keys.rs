//! Cost of finding a key's home and of claiming and ending a key.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use basilbay_keys::history::History;
use basilbay_keys::home;
use basilbay_keys::key::Key;
use basilbay_keys::memory::{Finish, Limits, Memory, Shards};
use basilbay_model::roster::{Instance, Roster, State};
use criterion::{Criterion, criterion_group, criterion_main};

const RETENTION: Duration = Duration::from_secs(600);
const WALL: u64 = 10_000_000;

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
    roster.as_of_ms = WALL;
    history.observe(&roster);
    history
}

fn limits() -> Limits {
    Limits {
        facts: 10_000_000,
        bytes: 64 << 20,
        retention: RETENTION,
    }
}

fn find(criterion: &mut Criterion) {
    for count in [4, 9, 100] {
        let history = history(count);
        let key = key(1);
        criterion.bench_function(&format!("find/{count}"), |bench| {
            bench.iter(|| home::find(&history, "paydesk", black_box(&key), WALL, RETENTION));
        });
    }
    criterion.bench_function("parse", |bench| {
        bench.iter(|| Key::parse(black_box("order-00001234567"), SystemTime::UNIX_EPOCH));
    });
}

/// One key more and one key less, at a constant number of keys.
fn claim(criterion: &mut Criterion) {
    let now = Instant::now();
    for count in [1000, 100_000] {
        let keys: Vec<_> = (0..count + 1000).map(key).collect();
        let mut memory = Memory::new(limits());
        let shards = Shards::new(limits());
        for key in &keys[..count as usize] {
            memory.claim(key, 1, 0, now);
            memory.finish(key, Finish::TooLarge, now);
            shards.claim(key, 1, 0, now);
            shards.finish(key, Finish::TooLarge, now);
        }
        let mut next = keys[count as usize..].iter().cycle();
        criterion.bench_function(&format!("claim_finish/{count}"), |bench| {
            bench.iter(|| {
                let key = next.next().expect("a cycle");
                memory.claim(key, 1, 0, now);
                memory.finish(key, Finish::NotRun, now)
            });
        });
        criterion.bench_function(&format!("claim_finish_shards/{count}"), |bench| {
            bench.iter(|| {
                let key = next.next().expect("a cycle");
                shards.claim(key, 1, 0, now);
                shards.finish(key, Finish::NotRun, now)
            });
        });
    }
}

/// Insertion and removal in the two layouts that were weighed for the facts of one shard.
fn layout(criterion: &mut Criterion) {
    for count in [1000u64, 6250, 100_000] {
        let digests: Vec<_> = (0..count + 1000).map(|at| key(at).digest()).collect();
        let (held, fresh) = digests.split_at(count as usize);
        let mut sorted: Vec<(u64, u32)> = held.iter().map(|at| ((at >> 64) as u64, 0)).collect();
        sorted.sort_unstable();
        let mut tree: BTreeMap<u128, u32> = held.iter().map(|at| (*at, 0)).collect();
        let mut next = fresh.iter().cycle();
        criterion.bench_function(&format!("sorted_vector/{count}"), |bench| {
            bench.iter(|| {
                let digest = (next.next().expect("a cycle") >> 64) as u64;
                let place = sorted.partition_point(|entry| entry.0 < digest);
                sorted.insert(place, (digest, 1));
                sorted.remove(place)
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
