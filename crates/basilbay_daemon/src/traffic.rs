//! Counters of a daemon's control traffic: datagrams, pulls and reads of the platform. They show what
//! the control plane costs on the network.

use std::sync::atomic::{AtomicU64, Ordering};

use basilbay_admin::Control;

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Counters since the start of the daemon.
#[derive(Debug, Default)]
pub struct Traffic {
    datagrams_sent: AtomicU64,
    datagrams_received: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    exchanges: AtomicU64,
    platform_reads: AtomicU64,
}

impl Traffic {
    /// Counts a datagram that was handed to the kernel; `length` is its payload in bytes.
    pub fn record_datagram_sent(&self, length: usize) {
        add(&self.datagrams_sent, 1);
        add(&self.bytes_sent, length + DATAGRAM_HEADER_BYTES);
    }

    /// Counts a received datagram; `length` is its payload in bytes.
    pub fn record_datagram_received(&self, length: usize) {
        add(&self.datagrams_received, 1);
        add(&self.bytes_received, length + DATAGRAM_HEADER_BYTES);
    }

    /// Counts a response to another daemon's pull; `length` is its body in bytes.
    pub fn record_pull_served(&self, length: usize) {
        add(&self.exchanges, 1);
        add(&self.bytes_sent, length);
    }

    /// Counts a pull from another daemon; `length` is the response body in bytes.
    pub fn record_pull(&self, length: usize) {
        add(&self.exchanges, 1);
        add(&self.bytes_received, length);
    }

    /// Counts a read of the platform; `length` is the response body in bytes.
    pub fn record_platform_read(&self, length: usize) {
        add(&self.platform_reads, 1);
        self.record_pull(length);
    }

    /// Returns the counters in the form of the operators' interface.
    pub fn totals(&self) -> Control {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Control {
            datagrams_sent: get(&self.datagrams_sent),
            datagrams_received: get(&self.datagrams_received),
            bytes_sent: get(&self.bytes_sent),
            bytes_received: get(&self.bytes_received),
            exchanges: get(&self.exchanges),
            platform_reads: get(&self.platform_reads),
        }
    }
}

fn add(counter: &AtomicU64, value: usize) {
    counter.fetch_add(value as u64, Ordering::Relaxed);
}
