//! Which callers' daemons are told of the own target's load, and when.
//!
//! Every answer carries the load, so a daemon that calls often is told often. A daemon that calls
//! about once a second would pick with a figure that is a second old; it gets a datagram when the
//! load has changed enough since it was last told. A token bucket bounds the bytes, and those who
//! were told longest ago come first.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_model::id::InstanceId;
use basilbay_wire::load::{Load, State};

/// Time after its last request for which a daemon is told of the load.
const INTEREST: Duration = Duration::from_secs(10);

/// Change of fill that is worth a datagram, as a part of the limit.
const CHANGE: f64 = 0.2;

/// Shortest time between two datagrams to one daemon.
const PAUSE: Duration = Duration::from_millis(5);

/// Bytes a second for load. Gossip sends and receives 4.9 KB/s, and every byte that is sent is
/// received by another daemon, so this is what the control budget of 9 KB/s leaves.
const BYTES_PER_SECOND: f64 = 2000.0;

/// Bytes that are saved up for a sudden change.
const BURST_BYTES: f64 = 2000.0;

/// A daemon that sends requests here.
#[derive(Clone, Debug)]
struct Subscriber {
    id: InstanceId,
    address: SocketAddr,
    until: Instant,
    told_at: Instant,
    told_fill: f64,
    told_state: State,
}

/// The daemons that want to know, and the budget for telling them.
#[derive(Clone, Debug)]
pub struct Publisher {
    subscribers: Vec<Subscriber>,
    tokens: f64,
    filled_at: Instant,
}

impl Publisher {
    /// A publisher without subscribers.
    pub fn new(now: Instant) -> Self {
        Self {
            subscribers: Vec::new(),
            tokens: BURST_BYTES,
            filled_at: now,
        }
    }

    /// Notes that a daemon got the load with an answer.
    pub fn subscribe(&mut self, id: &InstanceId, address: SocketAddr, load: &Load, now: Instant) {
        let subscriber = Subscriber {
            id: id.clone(),
            address,
            until: now + INTEREST,
            told_at: now,
            told_fill: fill(load),
            told_state: load.state,
        };
        match self.subscribers.binary_search_by(|known| known.id.cmp(id)) {
            Ok(index) => self.subscribers[index] = subscriber,
            Err(index) => self.subscribers.insert(index, subscriber),
        }
    }

    /// Addresses that should be told of this load now; each costs `bytes`.
    pub fn take_due(&mut self, load: &Load, bytes: usize, now: Instant) -> Vec<SocketAddr> {
        self.subscribers.retain(|subscriber| subscriber.until > now);
        self.refill(now);
        let fill = fill(load);
        let mut due: Vec<usize> = (0..self.subscribers.len())
            .filter(|index| self.subscribers[*index].is_due(load, fill, now))
            .collect();
        due.sort_by_key(|index| self.subscribers[*index].told_at);
        let cost = bytes as f64;
        let mut addresses = Vec::new();
        for index in due {
            // A change of state is told at once, whatever the budget says: it is rare, and
            // each request that it saves costs more than the datagram.
            let subscriber = &mut self.subscribers[index];
            let is_urgent = subscriber.told_state != load.state;
            if self.tokens < cost && !is_urgent {
                break;
            }
            self.tokens -= cost;
            subscriber.told_at = now;
            subscriber.told_fill = fill;
            subscriber.told_state = load.state;
            addresses.push(subscriber.address);
        }
        addresses
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + passed * BYTES_PER_SECOND).min(BURST_BYTES);
    }
}

impl Subscriber {
    fn is_due(&self, load: &Load, fill: f64, now: Instant) -> bool {
        if self.told_state != load.state {
            return true;
        }
        let is_changed = (fill - self.told_fill).abs() >= CHANGE;
        is_changed && now.saturating_duration_since(self.told_at) >= PAUSE
    }
}

fn fill(load: &Load) -> f64 {
    f64::from(load.in_flight + load.queued) / f64::from(load.limit.max(1))
}
