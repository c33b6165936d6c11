//! Calls by path, with the busiest second.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Calls to one path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// `/config`, `/config watch`, `/instances` or, for all of them, `total`.
    pub path: String,
    /// Calls since the start; a waiting watch is one call.
    pub calls: u64,
    /// Most calls in one second, by seconds counted from the start.
    pub peak_per_second: u64,
}

/// Calls to all paths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All calls together.
    pub total: Count,
    /// Calls by path, sorted by path.
    pub paths: Vec<Count>,
}

impl Report {
    /// Calls to one path.
    pub fn calls(&self, path: &str) -> u64 {
        self.paths
            .iter()
            .find(|count| count.path == path)
            .map_or(0, |count| count.calls)
    }
}

struct Row {
    count: Count,
    second: u64,
    in_second: u64,
}

impl Row {
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

    fn add(&mut self, second: u64) {
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.count.calls += 1;
        self.count.peak_per_second = self.count.peak_per_second.max(self.in_second);
    }
}

/// Counters of a platform.
pub(super) struct Counts {
    start: Instant,
    total: Row,
    rows: Vec<Row>,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            total: Row::new("total"),
            rows: Vec::new(),
        }
    }
}

impl Counts {
    pub(super) fn add(&mut self, path: &str) {
        let second = self.start.elapsed().as_secs();
        self.total.add(second);
        let found = self
            .rows
            .binary_search_by(|row| row.count.path.as_str().cmp(path));
        let index = found.unwrap_or_else(|index| {
            self.rows.insert(index, Row::new(path));
            index
        });
        if let Some(row) = self.rows.get_mut(index) {
            row.add(second);
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            total: self.total.count.clone(),
            paths: self.rows.iter().map(|row| row.count.clone()).collect(),
        }
    }
}
