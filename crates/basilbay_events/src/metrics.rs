//! Metrics over StatsD and as text.
//!
//! Counters, gauges and times have fixed names, listed in [`ALL`] and on the metrics page. A sink
//! gathers lines into one datagram and sends it from a thread of its own, so that a request never
//! waits for it. The same figures can be read as text in the format of Prometheus.

use std::net::{SocketAddr, UdpSocket};

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntGauge, Registry, TextEncoder};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};

/// Result of setting up the metrics.
pub type Result<T> = anyhow::Result<T>;

/// First part of every metric's name.
pub const PREFIX: &str = "basilbay";

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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
    pub kind: Kind,
    /// What it says.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($($id:ident $kind:ident $name:literal $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: Metric = Metric {
                name: $name,
                kind: Kind::$kind,
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
    LOG_DROPPED Gauge "log.dropped"
        "Lines of the log that did not fit into its buffer since the start.";
    ROSTER_AGE Gauge "roster.age"
        "Age of the instance list in milliseconds.";
}

/// Bounds of the buckets of times, in seconds: a factor of about 2 from 1 ms to 8 s.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, 3.0, 8.0,
];

#[derive(Debug)]
enum Value {
    Counter(IntCounter),
    Gauge(IntGauge),
    Time(Histogram),
}

/// Metrics that are kept to be read.
#[derive(Debug)]
struct Kept {
    registry: Registry,
    /// Sorted by name.
    values: Vec<(&'static str, Value)>,
}

impl Kept {
    fn new() -> Result<Self> {
        let registry = Registry::new();
        let mut values = Vec::with_capacity(ALL.len());
        for metric in ALL {
            let name = format!("{PREFIX}_{}", metric.name.replace('.', "_"));
            let value = match metric.kind {
                Kind::Counter => {
                    let counter = IntCounter::new(format!("{name}_total"), metric.meaning)?;
                    registry.register(Box::new(counter.clone()))?;
                    Value::Counter(counter)
                }
                Kind::Gauge => {
                    let gauge = IntGauge::new(name, metric.meaning)?;
                    registry.register(Box::new(gauge.clone()))?;
                    Value::Gauge(gauge)
                }
                Kind::Time => {
                    let options = HistogramOpts::new(format!("{name}_seconds"), metric.meaning);
                    let histogram = Histogram::with_opts(options.buckets(BUCKETS.to_vec()))?;
                    registry.register(Box::new(histogram.clone()))?;
                    Value::Time(histogram)
                }
            };
            values.push((metric.name, value));
        }
        values.sort_by_key(|(name, _)| *name);
        Ok(Self { registry, values })
    }

    fn value(&self, metric: Metric) -> Option<&Value> {
        let index = self
            .values
            .binary_search_by_key(&metric.name, |(name, _)| *name)
            .ok()?;
        Some(&self.values[index].1)
    }
}

/// Where metrics go; without an address they go nowhere.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    kept: Option<Kept>,
}

impl Metrics {
    /// Sends to an address or nowhere, and keeps the figures to be read or not.
    pub fn new(address: Option<SocketAddr>, keeps: bool) -> Result<Self> {
        let kept = if keeps { Some(Kept::new()?) } else { None };
        let Some(address) = address else {
            return Ok(Self { client: None, kept });
        };
        let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self {
            client: Some(StatsdClient::from_sink(PREFIX, sink)),
            kept,
        })
    }

    /// Adds to a counter; a metric that cannot be sent is dropped.
    pub fn count(&self, metric: Metric, amount: u64) {
        if let Some(client) = &self.client {
            let _ = client.count(metric.name, amount);
        }
        if let Some(Value::Counter(counter)) = self.value(metric) {
            counter.inc_by(amount);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(metric.name, value);
        }
        if let Some(Value::Gauge(gauge)) = self.value(metric) {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Records a time.
    pub fn time(&self, metric: Metric, time: std::time::Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(metric.name, time);
        }
        if let Some(Value::Time(histogram)) = self.value(metric) {
            histogram.observe(time.as_secs_f64());
        }
    }

    /// The figures in the text format of Prometheus; empty when they are not kept.
    pub fn render(&self) -> String {
        let Some(kept) = &self.kept else {
            return String::new();
        };
        let mut text = Vec::new();
        match TextEncoder::new().encode(&kept.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => {
                tracing::warn!(%error, "metrics cannot be written as text");
                String::new()
            }
        }
    }

    fn value(&self, metric: Metric) -> Option<&Value> {
        self.kept.as_ref()?.value(metric)
    }
}
