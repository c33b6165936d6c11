//! Load push: which daemons receive the load, and how many bytes it costs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_routing::push::Publisher;
use basilbay_wire::load::{Load, State};
use proptest::prelude::*;

const DATAGRAM_BYTES: usize = 100;

/// Half of what the control budget of 9 KB/s leaves beside the 4.9 KB/s of gossip: every byte sent
/// by one daemon is received by another.
const BUDGET_BYTES_PER_SECOND: f64 = 2050.0;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn load(in_flight: u32, state: State) -> Load {
    Load {
        in_flight,
        limit: 18,
        state,
        ..Load::default()
    }
}

/// Guards against callers that keep an outdated state after a target closes.
#[test]
fn state_change_immediate() {
    let start = Instant::now();
    let mut publisher = Publisher::new(start);
    for port in 1..=300 {
        let id = Arc::from(format!("c-{port}"));
        publisher.subscribe(&id, address(port), &load(0, State::Warm), start);
    }
    let sent = publisher.take_due(&load(0, State::Leaving), DATAGRAM_BYTES, start);
    assert_eq!(sent.len(), 300);
}

/// Guards against datagrams to daemons that stopped calling.
#[test]
fn subscription_expires() {
    let start = Instant::now();
    let mut publisher = Publisher::new(start);
    publisher.subscribe(&Arc::from("c"), address(1), &load(0, State::Warm), start);
    let later = start + Duration::from_secs(11);
    assert!(
        publisher
            .take_due(&load(18, State::Warm), 100, later)
            .is_empty()
    );
}

proptest! {
    /// Guards against load datagrams that exceed the control budget while the load fluctuates.
    #[test]
    fn budget_holds(steps in prop::collection::vec((0_u32..18, 1_u64..20), 1..500)) {
        let start = Instant::now();
        let mut now = start;
        let mut publisher = Publisher::new(start);
        let mut bytes = 0;
        for (in_flight, gap_ms) in steps {
            now += Duration::from_millis(gap_ms);
            for port in 1..=9 {
                let id = Arc::from(format!("c-{port}"));
                if in_flight == u32::from(port) {
                    publisher.subscribe(&id, address(port), &load(in_flight, State::Warm), now);
                }
            }
            let sent = publisher.take_due(&load(in_flight, State::Warm), DATAGRAM_BYTES, now);
            bytes += sent.len() * DATAGRAM_BYTES;
        }
        let seconds = now.duration_since(start).as_secs_f64();
        prop_assert!(bytes as f64 <= BUDGET_BYTES_PER_SECOND * (seconds + 1.0));
    }
}
