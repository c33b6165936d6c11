//! Cost of admission at 18 slots: an offer, and the completion that frees its slot.
#![allow(missing_docs, reason = "criterion's macros make undocumented items")]

use std::hint::black_box;
use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::request::Request;
use basilbay_model::service::Contract;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

struct Workload {
    gate: Gate,
    now: Instant,
    next: u64,
    running: Vec<u64>,
}

impl Workload {
    /// A warm gate with `busy` requests offered: as many as the slots allow are running, the rest
    /// is queued.
    fn new(busy: u64) -> Self {
        let contract = Contract {
            cold_slots: 18,
            warm_after: 0,
            ..Contract::default()
        };
        let now = Instant::now();
        let mut workload = Self {
            gate: Gate::new(&contract, Startup::Fresh, now),
            now,
            next: 0,
            running: Vec::with_capacity(64),
        };
        for _ in 0..busy {
            workload.offer();
        }
        workload
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

    fn step(&mut self) {
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
            let mut workload = Workload::new(busy);
            bencher.iter_batched(|| (), |()| workload.step(), BatchSize::SmallInput);
        });
    }
    criterion.bench_function("refusal, full queue", |bencher| {
        let mut workload = Workload::new(36);
        bencher.iter(|| {
            workload.offer();
            workload.drain();
        });
    });
}

criterion_group!(benches, admission);
criterion_main!(benches);
