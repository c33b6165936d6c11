//! Load push: selects the daemons of callers that receive the load of the local target by datagram,
//! and when.
//!
//! Every response carries the load, so a daemon that calls often has a recent report. A daemon that
//! calls about once per second would pick a target by a report that is a second old. Such a daemon
//! receives a datagram when the load has changed enough since it was last sent there. A token
//! bucket bounds the bytes, and daemons with the oldest reports come first.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_model::id::InstanceId;
use basilbay_wire::load::{Load, State};

/// How long a daemon receives the load after its last request.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(10);

/// Minimum change of the utilization for which a datagram is sent.
const MIN_UTILIZATION_CHANGE: f64 = 0.2;

/// Minimum interval between datagrams to one daemon.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Byte rate for load datagrams. Gossip sends and receives 4.9 KB/s, and every byte sent is
/// received by another daemon, so this is what remains of the control budget of 9 KB/s.
const BYTES_PER_SECOND: f64 = 2000.0;

/// Capacity of the token bucket, for sudden changes of the load.
const BURST_BYTES: f64 = 2000.0;

/// A daemon that sends requests to the local target.
#[derive(Clone, Debug)]
struct Subscriber {
    id: InstanceId,
    address: SocketAddr,
    expires_at: Instant,
    /// When the load was last sent to it, in a response or a datagram.
    sent_at: Instant,
    /// Utilization that was sent then.
    sent_utilization: f64,
    /// State that was sent then.
    sent_state: State,
}

/// The subscribed daemons and the byte budget of their datagrams.
#[derive(Clone, Debug)]
pub struct Publisher {
    subscribers: Vec<Subscriber>,
    /// Bytes that may be sent; negative after state changes beyond the budget.
    tokens: f64,
    refilled_at: Instant,
}

impl Publisher {
    /// Creates a publisher without subscribers.
    pub fn new(now: Instant) -> Self {
        Self {
            subscribers: Vec::new(),
            tokens: BURST_BYTES,
            refilled_at: now,
        }
    }

    /// Subscribes a daemon, or renews its subscription, when it receives the load with a response.
    pub fn subscribe(&mut self, id: &InstanceId, address: SocketAddr, load: &Load, now: Instant) {
        let subscriber = Subscriber {
            id: id.clone(),
            address,
            expires_at: now + SUBSCRIPTION_TTL,
            sent_at: now,
            sent_utilization: utilization(load),
            sent_state: load.state,
        };
        match self.subscribers.binary_search_by(|known| known.id.cmp(id)) {
            Ok(index) => self.subscribers[index] = subscriber,
            Err(index) => self.subscribers.insert(index, subscriber),
        }
    }

    /// Addresses to which `load` is to be sent now, at a cost of `bytes` each; they count as sent.
    pub fn take_due(&mut self, load: &Load, bytes: usize, now: Instant) -> Vec<SocketAddr> {
        self.subscribers
            .retain(|subscriber| subscriber.expires_at > now);
        self.refill(now);
        let utilization = utilization(load);
        let mut due: Vec<usize> = (0..self.subscribers.len())
            .filter(|index| self.subscribers[*index].is_due(load, utilization, now))
            .collect();
        due.sort_by_key(|index| self.subscribers[*index].sent_at);
        let cost = bytes as f64;
        let mut addresses = Vec::new();
        for index in due {
            // A changed state is sent immediately, regardless of the budget: it is rare, and each
            // request that it avoids costs more than the datagram.
            let subscriber = &mut self.subscribers[index];
            let state_changed = subscriber.sent_state != load.state;
            if self.tokens < cost && !state_changed {
                break;
            }
            self.tokens -= cost;
            subscriber.sent_at = now;
            subscriber.sent_utilization = utilization;
            subscriber.sent_state = load.state;
            addresses.push(subscriber.address);
        }
        addresses
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * BYTES_PER_SECOND).min(BURST_BYTES);
    }
}

impl Subscriber {
    fn is_due(&self, load: &Load, utilization: f64, now: Instant) -> bool {
        if self.sent_state != load.state {
            return true;
        }
        let is_changed = (utilization - self.sent_utilization).abs() >= MIN_UTILIZATION_CHANGE;
        is_changed && now.saturating_duration_since(self.sent_at) >= MIN_INTERVAL
    }
}

fn utilization(load: &Load) -> f64 {
    f64::from(load.in_flight + load.queued) / f64::from(load.limit.max(1))
}
