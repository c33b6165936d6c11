//! Metrics over StatsD.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

/// Result of setting up the metrics.
pub type Result<T> = anyhow::Result<T>;

/// First part of every metric's name.
const PREFIX: &str = "basilbay";

/// Where metrics go; without an address they go nowhere.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends to an address, or nowhere.
    pub fn new(address: Option<SocketAddr>) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Self {
                client: StatsdClient::from_sink(PREFIX, NopMetricSink),
            });
        };
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket)?);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, sink),
        })
    }

    /// Adds to a counter; a metric that cannot be sent is dropped.
    pub fn count(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a time in milliseconds.
    pub fn time(&self, name: &str, milliseconds: u64) {
        let _ = self.client.time(name, milliseconds);
    }
}
