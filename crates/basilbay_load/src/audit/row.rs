//! Counts and latencies of the requests of one service.

use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::client::record::Record;
use crate::plan::Stream;

/// Precision of the latency histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum latency that a histogram records.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Outcome class of a request from the view of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// Complete response before the deadline.
    Answered,
    /// Ended after the deadline, or reported as timed out.
    Late,
    /// Reported as not run.
    Refused,
    /// Not idempotent, with an unknown outcome; this is no violation.
    Unknown,
    /// Error status from the target.
    Failed,
    /// No response by the end of the grace period, or an idempotent request that ended with an
    /// unknown outcome before its deadline.
    Lost,
    /// Truncated response, or response of another request.
    Foreign,
}

/// Latency percentiles in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl Latency {
    /// Reads the percentiles of a histogram of microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// Creates an empty histogram of microseconds; `saturating_record` counts longer values as
/// `MAX_LATENCY_US`.
pub fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}

/// Requests of one service, or of all services.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Id of the service, or `all`.
    pub name: Arc<str>,
    /// Number of requests.
    pub sent: u64,
    /// Complete responses before the deadline.
    pub answered: u64,
    /// Requests that ended after their deadline or were reported as timed out.
    pub late: u64,
    /// Requests reported as not run.
    pub refused: u64,
    /// Non-idempotent requests of unknown outcome.
    pub unknown: u64,
    /// Error statuses from the target.
    pub failed: u64,
    /// Requests without a response, see [`Class::Lost`].
    pub lost: u64,
    /// Truncated responses, and responses of other requests.
    pub foreign: u64,
    /// Responses replayed from the key store.
    pub replayed: u64,
    /// Requests with more than one attempt.
    pub resent: u64,
    /// Weight of all requests.
    pub offered_weight: u64,
    /// Weight of the requests answered before their deadline.
    pub answered_weight: u64,
    /// Latency from the planned time, of all requests except refused ones.
    pub latency: Latency,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
}

impl Row {
    /// Creates a row without requests.
    pub fn new(name: &str) -> Self {
        Self {
            name: Arc::from(name),
            sent: 0,
            answered: 0,
            late: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
            lost: 0,
            foreign: 0,
            replayed: 0,
            resent: 0,
            offered_weight: 0,
            answered_weight: 0,
            latency: Latency::default(),
            histogram: histogram(),
        }
    }

    /// Weight answered in time as a fraction of the offered weight; 1 if none was offered.
    pub fn goodput(&self) -> f64 {
        if self.offered_weight == 0 {
            return 1.0;
        }
        self.answered_weight as f64 / self.offered_weight as f64
    }

    pub(super) fn add(&mut self, record: &Record, stream: &Stream, class: Class) {
        self.sent += 1;
        self.offered_weight += u64::from(stream.weight);
        self.replayed += u64::from(record.is_replayed);
        self.resent += u64::from(record.attempts.len() > 1);
        let count = match class {
            Class::Answered => &mut self.answered,
            Class::Late => &mut self.late,
            Class::Refused => &mut self.refused,
            Class::Unknown => &mut self.unknown,
            Class::Failed => &mut self.failed,
            Class::Lost => &mut self.lost,
            Class::Foreign => &mut self.foreign,
        };
        *count += 1;
        if class == Class::Answered {
            self.answered_weight += u64::from(stream.weight);
        }
        // A request without a response counts with the time until its caller gave up.
        let is_refused = class == Class::Refused;
        if let Some(histogram) = self.histogram.as_mut().filter(|_| !is_refused) {
            histogram.saturating_record(record.took_us);
        }
    }

    /// Computes the latency percentiles from the histogram.
    pub(super) fn finish(&mut self) {
        if let Some(histogram) = &self.histogram {
            self.latency = Latency::from_histogram(histogram);
        }
    }
}
