//! Counts and latencies of the requests of one service.

use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::client::record::Record;
use crate::plan::Stream;

/// Digits of a latency that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest latency that a histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// What became of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// Answered whole and in time.
    Answered,
    /// Not before its deadline.
    Late,
    /// Told that it was not run.
    Refused,
    /// Not idempotent and told, truthfully, that the outcome is unknown.
    Unknown,
    /// The target answered with an error.
    Failed,
    /// No answer, although there should be one.
    Lost,
    /// An answer that is cut or belongs to another request.
    Foreign,
}

/// Latencies in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1000.
    pub p999: f64,
    /// Worst.
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

/// An empty histogram of microseconds; longer ones count as the longest.
pub fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}

/// The requests of one service, or all.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Service.
    pub name: Arc<str>,
    /// Requests.
    pub sent: u64,
    /// Answered whole and in time.
    pub answered: u64,
    /// Answered late, or told that the deadline passed.
    pub late: u64,
    /// Told not run.
    pub refused: u64,
    /// Told unknown.
    pub unknown: u64,
    /// The target answered with an error.
    pub failed: u64,
    /// No answer.
    pub lost: u64,
    /// Cut or foreign answers.
    pub foreign: u64,
    /// Answers from the memory of a key.
    pub replayed: u64,
    /// Requests that were sent again.
    pub resent: u64,
    /// Weight of all requests.
    pub offered_weight: u64,
    /// Weight of the requests that were answered in time.
    pub answered_weight: u64,
    /// Latency of all answers from the planned time, late ones included.
    pub latency: Latency,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
}

impl Row {
    /// A row without requests.
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

    /// Weight answered in time, as a part of the weight offered.
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
        // A request that gets no answer counts with the time until its caller gave up.
        let is_refused = class == Class::Refused;
        if let Some(histogram) = self.histogram.as_mut().filter(|_| !is_refused) {
            histogram.saturating_record(record.took_us);
        }
    }

    pub(super) fn finish(&mut self) {
        if let Some(histogram) = &self.histogram {
            self.latency = Latency::from_histogram(histogram);
        }
    }
}
