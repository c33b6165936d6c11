//! Converts records and runs to the points of the plots.

use std::ops::Range;

use basilbay_fakes::targets::audit::Run;
use basilbay_model::id::{DomainId, InstanceId};

use crate::audit::row::Class;
use crate::audit::{Summary, classify};
use crate::client::record::Record;
use crate::fleet::event::{Event, Kind};
use crate::plan::Stream;

/// Points (x, y) of one line.
pub type Points = Vec<(f64, f64)>;

/// Length of an interval over which statistics are calculated, in seconds.
pub const INTERVAL_S: f64 = 0.25;

/// Lowest and highest quantile of a plotted distribution.
const MIN_QUANTILE: f64 = 0.5;
const MAX_QUANTILE: f64 = 0.9999;

/// Number of equal steps into which the axis of a distribution is divided.
const DISTRIBUTION_STEPS: usize = 200;

/// Records, run logs and events of the scenario in which a domain is taken out and brought back.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Streams of the plan.
    pub streams: Vec<Stream>,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Requests with their outcomes, sorted by planned time.
    pub records: Vec<Record>,
    /// Run log of the targets.
    pub runs: Vec<Run>,
    /// Events that were injected into the fleet.
    pub events: Vec<Event>,
    /// Result of the audit.
    pub summary: Summary,
    /// Failure domain of each target.
    pub domains: Vec<(InstanceId, DomainId)>,
}

/// Statistics of the requests planned within an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stats {
    /// Number of requests with a latency: all except refused ones.
    pub count: usize,
    /// Median latency in ms.
    pub p50: f64,
    /// 99th percentile of the latency in ms.
    pub p99: f64,
    /// Weight answered in time as a fraction of the offered weight; 1 if none was offered.
    pub goodput: f64,
}

impl Timeline {
    /// Seconds since the planned time of the first request.
    fn seconds_at(&self, at_us: u64) -> f64 {
        let start = self.records.first().map_or(at_us, |record| record.due_us);
        (at_us as f64 - start as f64) / 1e6
    }

    /// Times and labels of the events that take domains out or bring them back.
    pub fn markers(&self) -> Vec<(f64, String)> {
        let events = self.events.iter();
        let markers = events.filter_map(|event| {
            let text = match &event.kind {
                Kind::DomainOut(domain) => format!("{domain} out"),
                Kind::DomainIn(domain) => format!("{domain} in"),
                _ => return None,
            };
            Some((self.seconds_at(event.at_us), text))
        });
        markers.collect()
    }

    /// Statistics of the requests planned within a time range in seconds.
    pub fn stats(&self, time: &Range<f64>) -> Stats {
        let mut latencies_ms = Vec::new();
        let mut offered = 0;
        let mut answered = 0;
        for record in &self.records {
            if !time.contains(&self.seconds_at(record.due_us)) {
                continue;
            }
            let stream = &self.streams[record.stream];
            let class = classify(record, stream);
            offered += u64::from(stream.weight);
            if class == Class::Answered {
                answered += u64::from(stream.weight);
            }
            if class != Class::Refused {
                latencies_ms.push(record.took_us as f64 / 1000.0);
            }
        }
        latencies_ms.sort_by(f64::total_cmp);
        Stats {
            count: latencies_ms.len(),
            p50: quantile(&latencies_ms, 0.5),
            p99: quantile(&latencies_ms, 0.99),
            goodput: match offered {
                0 => 1.0,
                offered => answered as f64 / offered as f64,
            },
        }
    }

    /// Midpoint in seconds and statistics of each interval.
    pub fn interval_stats(&self) -> Vec<(f64, Stats)> {
        let intervals = intervals(self.seconds).map(|time| (midpoint(&time), self.stats(&time)));
        intervals.collect()
    }

    /// Mean requests in flight at a target within a time range in seconds.
    pub fn in_flight(&self, target: &str, time: &Range<f64>) -> f64 {
        let runs = self.runs.iter().filter(|run| &*run.target == target);
        let overlaps = runs.map(|run| {
            let start = self.seconds_at(run.start_us).max(time.start);
            let end = self.seconds_at(run.end_us).min(time.end);
            (end - start).max(0.0)
        });
        overlaps.sum::<f64>() / (time.end - time.start)
    }

    /// Mean requests in flight at a target in each interval.
    pub fn in_flight_points(&self, target: &str) -> Points {
        let times = intervals(self.seconds);
        times
            .map(|time| (midpoint(&time), self.in_flight(target, &time)))
            .collect()
    }

    /// Names and time ranges in seconds of the phases before, between and after the markers.
    pub fn phases(&self) -> Vec<(String, Range<f64>)> {
        let mut phases = Vec::new();
        let mut name = "before".to_owned();
        let mut start = 0.0;
        for (at, text) in self.markers() {
            phases.push((name, start..at));
            name = text;
            start = at;
        }
        phases.push((name, start..self.seconds));
        phases
    }
}

fn intervals(seconds: f64) -> impl Iterator<Item = Range<f64>> {
    let count = (seconds / INTERVAL_S).ceil() as usize;
    (0..count).map(|index| {
        let start = index as f64 * INTERVAL_S;
        start..start + INTERVAL_S
    })
}

fn midpoint(time: &Range<f64>) -> f64 {
    f64::midpoint(time.start, time.end)
}

/// Quantile of sorted values; 0 if there are none.
fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0.0)
}

/// Position of a quantile on the logarithmic axis of a distribution: 90% is 1, 99% is 2, 99.9% is
/// 3.
pub fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).log10()
}

/// Samples by quantile, from the median to 99.99% or to the quantile above which one sample
/// remains.
pub fn distribution(samples: &[f64]) -> Points {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let from = nines(MIN_QUANTILE);
    let to = nines(MAX_QUANTILE).min((sorted.len().max(2) as f64).log10());
    let positions = (0..=DISTRIBUTION_STEPS)
        .map(|step| from + (to - from) * step as f64 / DISTRIBUTION_STEPS as f64);
    positions
        .map(|position| (position, quantile(&sorted, 1.0 - 10_f64.powf(-position))))
        .collect()
}
