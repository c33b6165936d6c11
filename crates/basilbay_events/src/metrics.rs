//! Metrics over StatsD.
//!
//! Counters, gauges and times have fixed names, listed in [`ALL`] and on the metrics page. A sink
//! gathers lines into one datagram and sends it from a thread of its own, so that a request never
//! waits for it.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};

/// Result of setting up the metrics.
pub type Result<T> = anyhow::Result<T>;

/// First part of every metric's name.
pub const PREFIX: &str = "basilbay";

/// Sort of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// Counts up.
    Counter,
    /// Has a present value.
    Gauge,
    /// A time in milliseconds.
    Time,
}

/// A metric that a daemon sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name after the prefix.
    pub name: &'static str,
    /// Its sort.
    pub sort: Sort,
    /// What it says.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($($id:ident $sort:ident $name:literal $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: Metric = Metric {
                name: $name,
                sort: Sort::$sort,
                meaning: $meaning,
            };
        )*

        /// Every metric.
        pub const ALL: &[Metric] = &[$($id),*];
    };
}

metrics! {
    CALLS_ANSWERED Counter "calls.answered"
        "Requests of callers that a target answered.";
    CALLS_NOT_RUN Counter "calls.not_run"
        "Requests of callers that were answered with outcome `not-run`.";
    CALLS_UNKNOWN Counter "calls.unknown"
        "Requests of callers that were answered with outcome `unknown`.";
    CALL_TIME Time "calls.time"
        "Time from a caller's request to the answer.";
    ATTEMPTS_REPEATED Counter "attempts.repeated"
        "Attempts after the first one of a call.";
    ATTEMPTS_HEDGED Counter "attempts.hedged"
        "Second attempts beside a first one that had not answered for long.";
    RUNS_COMPLETED Counter "runs.completed"
        "Requests that the own target answered.";
    RUNS_REFUSED Counter "runs.refused"
        "Requests that the own gate refused.";
    IN_FLIGHT Gauge "target.in_flight"
        "Requests on the own target.";
    LIMIT Gauge "target.limit"
        "Requests that the own target is allowed.";
    QUEUED Gauge "target.queued"
        "Requests that wait for the own target.";
    KEYS Gauge "keys.remembered"
        "Idempotency keys in memory.";
    CONFIG_VERSION Gauge "config.version"
        "Configuration version in force.";
    ROSTER_AGE Gauge "roster.age"
        "Age of the instance list in milliseconds.";
}

/// Where metrics go; without an address they go nowhere.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Sends to an address, or nowhere.
    pub fn new(address: Option<SocketAddr>) -> Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: None });
        };
        let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self {
            client: Some(StatsdClient::from_sink(PREFIX, sink)),
        })
    }

    /// Adds to a counter; a metric that cannot be sent is dropped.
    pub fn count(&self, metric: Metric, amount: u64) {
        if let Some(client) = &self.client {
            let _ = client.count(metric.name, amount);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(metric.name, value);
        }
    }

    /// Records a time.
    pub fn time(&self, metric: Metric, time: std::time::Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(metric.name, time);
        }
    }
}
