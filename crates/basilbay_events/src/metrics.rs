//! Metrics, pushed over StatsD and rendered in the Prometheus text format.
//!
//! Counters, gauges and timers have fixed names, listed in [`ALL`] and on the metrics page. The
//! StatsD sink batches lines into datagrams and sends them from a separate thread, so that a
//! request never blocks on it. The Prometheus registry holds the same metrics for scraping.

use std::net::{SocketAddr, UdpSocket};

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntGauge, Registry, TextEncoder};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};

/// Result of setting up the metrics.
pub type Result<T> = anyhow::Result<T>;

/// Prefix of every metric name.
pub const PREFIX: &str = "basilbay";

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A monotonically increasing count.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution of durations: milliseconds in StatsD, a histogram in seconds in Prometheus.
    Time,
}

/// A metric that a daemon exports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name without the prefix.
    pub name: &'static str,
    /// Kind, which decides how the metric is updated and exported.
    pub kind: Kind,
    /// What the metric measures; the help text in Prometheus.
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
        "Requests of callers that got a response from a target.";
    CALLS_NOT_RUN Counter "calls.not_run"
        "Requests of callers that ended with outcome `not-run`.";
    CALLS_UNKNOWN Counter "calls.unknown"
        "Requests of callers that ended with outcome `unknown`.";
    CALLS_DROPPED Counter "calls.dropped"
        "Requests of callers whose connection the daemon closed before the response was complete.";
    CALL_TIME Time "calls.time"
        "Time from a caller's request to its response.";
    ATTEMPTS_REPEATED Counter "attempts.repeated"
        "Retries: attempts after a failed one of the same request.";
    ATTEMPTS_HEDGED Counter "attempts.hedged"
        "Hedged requests: second attempts in parallel with a slow first one.";
    RUNS_STARTED Counter "runs.started"
        "Requests that were handed to the local target.";
    RUNS_COMPLETED Counter "runs.completed"
        "Requests that the local target completed.";
    RUNS_REFUSED Counter "runs.refused"
        "Requests that the admission gate refused.";
    IN_FLIGHT Gauge "target.in_flight"
        "Requests in flight on the local target.";
    LIMIT Gauge "target.limit"
        "Concurrency limit of the local target.";
    QUEUED Gauge "target.queued"
        "Requests queued for the local target.";
    KEYS Gauge "keys.remembered"
        "Idempotency keys in memory.";
    CONFIG_VERSION Gauge "config.version"
        "Active configuration version; 0 when there is none.";
    LOG_DROPPED Gauge "log.dropped"
        "Log lines dropped since the start because the write buffer was full.";
    ROSTER_AGE Gauge "roster.age"
        "Age of the instance list, in milliseconds.";
}

/// Upper bounds of the histogram buckets, in steps of a factor of about 2 from 1 ms to 8 s.
const BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, 3.0, 8.0,
];

#[derive(Debug)]
enum Value {
    Counter(IntCounter),
    Gauge(IntGauge),
    Time(Histogram),
}

/// Registered Prometheus metrics.
#[derive(Debug)]
struct Exporter {
    registry: Registry,
    /// Metrics by name, sorted for binary search.
    values: Vec<(&'static str, Value)>,
}

impl Exporter {
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
                    let histogram =
                        Histogram::with_opts(options.buckets(BUCKETS_SECONDS.to_vec()))?;
                    registry.register(Box::new(histogram.clone()))?;
                    Value::Time(histogram)
                }
            };
            values.push((metric.name, value));
        }
        values.sort_by_key(|(name, _)| *name);
        Ok(Self { registry, values })
    }

    /// Finds a metric; `None` if it is not in [`ALL`].
    fn value(&self, metric: Metric) -> Option<&Value> {
        let index = self
            .values
            .binary_search_by_key(&metric.name, |(name, _)| *name)
            .ok()?;
        Some(&self.values[index].1)
    }
}

/// Records metrics for StatsD, Prometheus, both or neither.
#[derive(Debug)]
pub struct Metrics {
    /// `None` when no StatsD address is configured.
    client: Option<StatsdClient>,
    /// `None` when metrics are not scraped.
    exporter: Option<Exporter>,
}

impl Metrics {
    /// Sets up metrics that are sent to a StatsD address, if there is one, and with `with_exporter` registers
    /// them for [`Self::render`].
    pub fn new(address: Option<SocketAddr>, with_exporter: bool) -> Result<Self> {
        let exporter = if with_exporter {
            Some(Exporter::new()?)
        } else {
            None
        };
        let Some(address) = address else {
            return Ok(Self {
                client: None,
                exporter,
            });
        };
        let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self {
            client: Some(StatsdClient::from_sink(PREFIX, sink)),
            exporter,
        })
    }

    /// Increments a counter. Like all updates, one that cannot be sent over StatsD is dropped.
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

    /// Records a duration.
    pub fn time(&self, metric: Metric, time: std::time::Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(metric.name, time);
        }
        if let Some(Value::Time(histogram)) = self.value(metric) {
            histogram.observe(time.as_secs_f64());
        }
    }

    /// Renders the metrics in the Prometheus text format; empty without an exporter.
    pub fn render(&self) -> String {
        let Some(exporter) = &self.exporter else {
            return String::new();
        };
        let mut text = Vec::new();
        match TextEncoder::new().encode(&exporter.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => {
                tracing::warn!(%error, "cannot encode the metrics as text");
                String::new()
            }
        }
    }

    fn value(&self, metric: Metric) -> Option<&Value> {
        self.exporter.as_ref()?.value(metric)
    }
}
