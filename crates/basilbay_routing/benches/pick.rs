//! Time of one pick with its bookkeeping, by number of targets.

#![allow(missing_docs, reason = "criterion generates public items")]

#[path = "../tests/common/fleet.rs"]
mod fleet;

use std::time::Instant;

use basilbay_routing::router::Ending;
use basilbay_wire::load::Load;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

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
            router.hear(&fleet::id(index), &load, now);
        }
        let mut call = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                call += 1;
                let picked = router.pick(call, &[], now);
                if let Some(id) = picked {
                    router.end(&id, call, Ending::Answered, now);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
