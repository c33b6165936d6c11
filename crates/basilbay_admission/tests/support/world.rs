//! A deterministic target behind a gate, on a virtual clock in microseconds.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use basilbay_admission::gate::{Action, Completion, Decision, Gate, Start};
use basilbay_admission::request::Ticket;
use basilbay_model::service::Contract;

/// Mean service time of a warm target.
pub const SERVICE_US: f64 = 10_000.0;
/// Time in which a target sheds a request that it cannot bear.
const SHED_US: u64 = 100;

/// Weight, share of the requests, and time until the caller gives up.
pub type Kind = (u32, f64, u64);

pub struct World {
    pub gate: Gate,
    /// Requests that the warm target bears.
    pub bears: u32,
    /// Cold slots and answers until warm, and the answers so far.
    pub warming: Option<(u32, u32)>,
    pub warmth: u32,
    /// Factor on every service time.
    pub slowness: f64,
    /// Cores that the running requests share.
    pub cores: u32,
    /// Requests that came to the target beyond what it bears.
    pub overloads: u32,
    /// Requests and weight answered before their deadline.
    pub good: u32,
    pub good_weight: f64,
    pub offered_weight: f64,
    /// Time each good request took, in microseconds.
    pub latencies: Vec<u64>,
    clock: u64,
    epoch: Instant,
    seed: u64,
    inside: u32,
    tickets: Vec<(Ticket, u64)>,
    ends: BinaryHeap<Reverse<(u64, u64, bool)>>,
}

impl World {
    pub fn new(contract: &Contract, start: Start) -> Self {
        let epoch = Instant::now();
        Self {
            gate: Gate::new(contract, start, epoch),
            bears: contract.slots,
            warming: None,
            warmth: 0,
            slowness: 1.0,
            cores: u32::MAX,
            overloads: 0,
            good: 0,
            good_weight: 0.0,
            offered_weight: 0.0,
            latencies: Vec::new(),
            clock: 0,
            epoch,
            seed: 7,
            inside: 0,
            tickets: Vec::new(),
            ends: BinaryHeap::new(),
        }
    }

    pub fn now(&self) -> Instant {
        self.epoch + Duration::from_micros(self.clock)
    }

    /// Offers `rate` requests a second for `millis`, with exponential gaps and service times.
    pub fn run(&mut self, millis: u64, rate: f64, kinds: &[Kind]) {
        let end = self.clock + millis * 1000;
        let mut arrival = self.clock + self.exponential(1e6 / rate);
        while arrival < end {
            self.advance(arrival);
            self.offer(kinds);
            arrival += self.exponential(1e6 / rate);
        }
        self.advance(end);
    }

    pub fn reset_counts(&mut self) {
        self.overloads = 0;
        self.good = 0;
        self.good_weight = 0.0;
        self.offered_weight = 0.0;
        self.latencies.clear();
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

    fn capacity(&self) -> u32 {
        match self.warming {
            Some((cold, after)) if self.warmth < after => {
                cold + (self.bears - cold) * self.warmth / after
            }
            _ => self.bears,
        }
    }

    fn offer(&mut self, kinds: &[Kind]) {
        let mut draw = self.uniform();
        let mut chosen = kinds[0];
        for kind in kinds {
            chosen = *kind;
            draw -= kind.1;
            if draw < 0.0 {
                break;
            }
        }
        let ticket = Ticket {
            id: self.tickets.len() as u64,
            weight: chosen.0,
            deadline: self.now() + Duration::from_micros(chosen.2),
            suspect: false,
        };
        self.tickets.push((ticket, self.clock));
        self.offered_weight += f64::from(ticket.weight);
        if self.gate.offer(ticket, self.now()) == Decision::Run {
            self.begin(ticket.id);
        }
        self.act();
    }

    fn begin(&mut self, id: u64) {
        if self.inside >= self.capacity() {
            self.overloads += 1;
            self.ends.push(Reverse((self.clock + SHED_US, id, false)));
            return;
        }
        self.inside += 1;
        let sharing = f64::from(self.inside.max(self.cores)) / f64::from(self.cores);
        let service = self.exponential(SERVICE_US * self.slowness * sharing);
        self.ends.push(Reverse((self.clock + service, id, true)));
    }

    fn act(&mut self) {
        let actions: Vec<Action> = self.gate.drain_actions().collect();
        for action in actions {
            if let Action::Start(id) = action {
                self.begin(id);
            }
        }
    }

    fn advance(&mut self, until: u64) {
        while let Some(&Reverse((at, id, served))) = self.ends.peek() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.clock = at;
            self.end(id, served);
        }
        self.clock = until;
        self.gate.tick(self.now());
        self.act();
    }

    fn end(&mut self, id: u64, served: bool) {
        let result = if served {
            Completion::Answered
        } else {
            Completion::Failed
        };
        let (ticket, since) = self.tickets[id as usize];
        if served {
            self.inside -= 1;
            self.warmth += 1;
            if self.now() <= ticket.deadline {
                self.good += 1;
                self.good_weight += f64::from(ticket.weight);
                self.latencies.push(self.clock - since);
            }
        }
        let now = self.now();
        self.gate.complete(id, result, now);
        self.act();
    }
}
