//! Deterministic simulation of a target behind a gate, with a virtual clock in microseconds.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the items"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Startup};
use basilbay_admission::request::Request;
use basilbay_model::service::Contract;
use basilbay_wire::notice::Notice;

/// Weight, share of the requests, and milliseconds until the caller gives up.
pub type Kind = (u32, f64, u64);

pub struct Simulation {
    pub gate: Gate,
    /// Concurrency that the warm target can handle; it sheds further requests after 0.1 ms.
    pub capacity: u32,
    /// Concurrency that the cold target can handle, responses until it is warm, and responses so
    /// far.
    pub warmup: (u32, u32, u32),
    /// Mean service time without core contention.
    pub service_us: f64,
    /// Cores that the running requests share.
    pub cores: u32,
    /// Requests that exceeded the capacity of the target.
    pub excess: u32,
    /// Total weight of the requests completed before their deadline.
    pub weight: u32,
    /// Latency of each of these requests, in microseconds.
    pub latencies: Vec<u64>,
    clock_us: u64,
    epoch: Instant,
    seed: u64,
    running: u32,
    /// Offered requests with the time of the offer, by id.
    requests: Vec<(Request, u64)>,
    /// Time, id and whether the request was served.
    completions: BinaryHeap<Reverse<(u64, u64, bool)>>,
}

impl Simulation {
    pub fn new(contract: &Contract, startup: Startup) -> Self {
        let epoch = Instant::now();
        Self {
            gate: Gate::new(contract, startup, epoch),
            capacity: contract.slots,
            warmup: (contract.slots, 1, 0),
            service_us: 10_000.0,
            cores: u32::MAX,
            excess: 0,
            weight: 0,
            latencies: Vec::new(),
            clock_us: 0,
            epoch,
            seed: 7,
            running: 0,
            requests: Vec::new(),
            completions: BinaryHeap::new(),
        }
    }

    /// Resets the counts and offers `rate` requests per second, with exponential interarrival and
    /// service times.
    pub fn run(&mut self, millis: u64, rate: f64, kinds: &[Kind]) {
        self.excess = 0;
        self.weight = 0;
        self.latencies.clear();
        let end = self.clock_us + millis * 1000;
        let mut arrival = self.clock_us + self.exponential(1e6 / rate);
        while arrival < end {
            self.advance(arrival);
            self.offer(kinds);
            arrival += self.exponential(1e6 / rate);
        }
        self.advance(end);
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_micros(self.clock_us)
    }

    fn uniform(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.uniform()).ln() * mean) as u64
    }

    fn offer(&mut self, kinds: &[Kind]) {
        let mut draw = self.uniform();
        let chosen = kinds.iter().find(|kind| {
            draw -= kind.1;
            draw < 0.0
        });
        let (weight, _, millis) = *chosen.unwrap_or(&kinds[0]);
        let id = self.requests.len() as u64;
        let request = super::fixture::request(id, weight, millis, self.now());
        self.requests.push((request, self.clock_us));
        if self.gate.offer(request, self.now()) == Decision::Run {
            self.start(id);
        }
        self.process_actions();
    }

    fn start(&mut self, id: u64) {
        let (cold, after, done) = self.warmup;
        let cold = cold.min(self.capacity);
        let served = self.running < cold + (self.capacity - cold) * done.min(after) / after;
        let mut service = 100;
        if served {
            self.running += 1;
            let sharing = f64::from(self.running) / f64::from(self.running.min(self.cores));
            service = self.exponential(self.service_us * sharing);
        } else {
            self.excess += 1;
        }
        self.completions
            .push(Reverse((self.clock_us + service, id, served)));
    }

    fn process_actions(&mut self) {
        let actions: Vec<Action> = self.gate.drain_actions().collect();
        for action in actions {
            if let Action::Start(id) = action {
                self.start(id);
            }
        }
    }

    fn advance(&mut self, until: u64) {
        while self.completions.peek().is_some_and(|end| end.0.0 <= until) {
            let Some(Reverse((at, id, served))) = self.completions.pop() else {
                return;
            };
            self.clock_us = at;
            self.complete(id, served);
        }
        self.clock_us = until;
        self.gate.tick(self.now());
        self.process_actions();
    }

    fn complete(&mut self, id: u64, served: bool) {
        let (request, offered_at_us) = self.requests[id as usize];
        let mut completion = Completion::Failed;
        if served {
            completion = Completion::Answered;
            self.running -= 1;
            self.warmup.2 += 1;
            if self.now() <= request.deadline {
                self.weight += request.weight;
                self.latencies.push(self.clock_us - offered_at_us);
            }
        }
        let now = self.now();
        self.gate.observe_notice(&Notice::default(), now, now);
        self.gate.complete(id, completion, now);
        self.process_actions();
    }
}
