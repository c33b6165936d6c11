//! Request counts by path, with the peak rate per second.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Counts of the requests to one path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// `/config`, `/config watch`, `/instances`, or `total` for the sum over all paths.
    pub path: String,
    /// Requests since the start; a watch counts as one request, however long it waits.
    pub calls: u64,
    /// Largest number of requests within one second, with seconds aligned to the start.
    pub peak_per_second: u64,
}

/// Counts of the requests to all paths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sum over all paths.
    pub total: Count,
    /// Counts of each path, sorted by path.
    pub paths: Vec<Count>,
}

impl Report {
    /// Number of requests to a path; 0 if there were none.
    pub fn calls(&self, path: &str) -> u64 {
        self.paths
            .iter()
            .find(|count| count.path == path)
            .map_or(0, |count| count.calls)
    }
}

/// A count and the number of requests in the current second.
struct Counter {
    count: Count,
    second: u64,
    in_second: u64,
}

impl Counter {
    fn new(path: &str) -> Self {
        Self {
            count: Count {
                path: path.to_owned(),
                ..Count::default()
            },
            second: 0,
            in_second: 0,
        }
    }

    fn record(&mut self, second: u64) {
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.count.calls += 1;
        self.count.peak_per_second = self.count.peak_per_second.max(self.in_second);
    }
}

/// Counters of a platform, by path and in total.
pub(super) struct Counts {
    start: Instant,
    total: Counter,
    counters: Vec<Counter>,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            total: Counter::new("total"),
            counters: Vec::new(),
        }
    }
}

impl Counts {
    pub(super) fn record(&mut self, path: &str) {
        let second = self.start.elapsed().as_secs();
        self.total.record(second);
        let found = self
            .counters
            .binary_search_by(|counter| counter.count.path.as_str().cmp(path));
        let index = found.unwrap_or_else(|index| {
            self.counters.insert(index, Counter::new(path));
            index
        });
        if let Some(counter) = self.counters.get_mut(index) {
            counter.record(second);
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            total: self.total.count.clone(),
            paths: self
                .counters
                .iter()
                .map(|counter| counter.count.clone())
                .collect(),
        }
    }
}
