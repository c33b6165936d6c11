//! Cost of admission: an offer with the completion that makes room for it, at 18 slots.
#![allow(missing_docs, reason = "criterion's macros make undocumented items")]

use std::hint::black_box;
use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::request::Request;
use basilbay_model::service::Contract;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

struct Load {
    gate: Gate,
    now: Instant,
    next: u64,
    running: Vec<u64>,
}

impl Load {
    /// A warm gate with `busy` requests offered, as many as fit running and the rest waiting.
    fn new(busy: u64) -> Self {
        let contract = Contract {
            cold_slots: 18,
            warm_after: 0,
            ..Contract::default()
        };
        let now = Instant::now();
        let mut load = Self {
            gate: Gate::new(&contract, Startup::Fresh, now),
            now,
            next: 0,
            running: Vec::with_capacity(64),
        };
        for _ in 0..busy {
            load.offer();
        }
        load
    }

    fn offer(&mut self) {
        let request = Request {
            id: self.next,
            weight: 1 + (self.next % 3) as u32,
            deadline: self.now + Duration::from_secs(2),
            goal_at: self.now + Duration::from_secs(1),
            suspect: false,
            may_wait: true,
        };
        self.next += 1;
        if self.gate.offer(black_box(request), self.now) == Decision::Run {
            self.running.push(request.id);
        }
    }

    fn turn(&mut self) {
        self.now += Duration::from_micros(500);
        let id = self.running.remove(0);
        black_box(self.gate.complete(id, Completion::Answered, self.now));
        self.drain();
        self.offer();
        self.drain();
    }

    fn drain(&mut self) {
        for action in self.gate.drain_actions() {
            if let Action::Start(id) = action {
                self.running.push(id);
            }
        }
    }
}

fn admission(criterion: &mut Criterion) {
    for (name, busy) in [("18 slots", 18), ("full queue", 36)] {
        criterion.bench_function(&format!("offer and complete, {name}"), |bencher| {
            let mut load = Load::new(busy);
            bencher.iter_batched(|| (), |()| load.turn(), BatchSize::SmallInput);
        });
    }
    criterion.bench_function("refusal, full queue", |bencher| {
        let mut load = Load::new(36);
        bencher.iter(|| {
            load.offer();
            load.drain();
        });
    });
}

criterion_group!(benches, admission);
criterion_main!(benches);
