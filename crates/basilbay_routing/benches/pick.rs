//! Time of one pick including its bookkeeping, by number of targets.

#![allow(missing_docs, reason = "criterion generates public items")]

#[path = "../tests/common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_routing::router::{Completion, Exclusions};
use basilbay_wire::load::Load;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Interval between calls of one daemon to one service: 5,000 calls per second.
const BETWEEN_CALLS: Duration = Duration::from_micros(200);

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for count in [4, 9, 100, 630] {
        let now = Instant::now();
        let mut router = fleet::router(count, 4, now);
        for index in 0..count {
            let load = Load {
                sequence: 1,
                in_flight: index as u32 % 18,
                limit: 18,
                latency_us: 5000,
                ..Load::default()
            };
            router.update_load(&fleet::id(index), &load, now);
        }
        let mut now = now;
        let exclusions = Exclusions::default();
        let mut call = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                call += 1;
                now += BETWEEN_CALLS;
                let picked = router.pick(call, &exclusions, now);
                if let Some(pick) = picked {
                    router.finish(&pick.id, call, Completion::Answered, now);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
