//! Service time of each kind of request, as measured by the gate.
//!
//! The input is the service time of each response. The output is a moving average for each kind,
//! for the question whether a request can still finish in time. A kind that is refused by its own
//! average gets no new samples, so each such refusal reduces the average until a request runs and
//! is measured. Only refusals while the target responds to other kinds count: a target that runs
//! one kind frees its slots if it refuses that kind, and then runs the next request.

use std::time::Duration;

use crate::profile::RECENT_GAIN;
use crate::request::KindKey;

/// Maximum number of kinds with an average of their own; the one without a sample for the longest
/// time is replaced.
const MAX_KINDS: usize = 64;

/// Factor by which a refusal reduces the average.
const REFUSAL_FACTOR: f64 = 63.0 / 64.0;

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: KindKey,
    mean_s: f64,
    /// Refusals since the last sample.
    refusals: i32,
    /// Number of responses of the target at the last sample.
    sampled_at: u64,
}

impl Entry {
    /// Weight of the earlier samples.
    fn confidence(&self) -> f64 {
        REFUSAL_FACTOR.powi(self.refusals)
    }

    fn estimate_s(&self) -> f64 {
        self.mean_s * self.confidence()
    }
}

/// Moving averages of the service times, by kind.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Number of responses of the target.
    responses: u64,
}

impl Table {
    /// Expected service time of a kind in seconds; `None` if it is unknown.
    pub fn estimate_s(&self, key: KindKey) -> Option<f64> {
        let index = self.index(key).ok()?;
        Some(self.entries[index].estimate_s())
    }

    /// Records the service time of a response.
    pub fn record(&mut self, key: KindKey, service_time: Duration) {
        self.responses += 1;
        let sample_s = service_time.as_secs_f64();
        let responses = self.responses;
        let entry = self.entry(key, sample_s);
        // The less the earlier samples are trusted, the more the new one counts.
        let gain = 1.0 - (1.0 - RECENT_GAIN) * entry.confidence();
        entry.mean_s += (sample_s - entry.mean_s) * gain;
        entry.refusals = 0;
        entry.sampled_at = responses;
    }

    /// Records a request that was refused because of the estimate; `mean_s` is the mean over all
    /// kinds in seconds, which is the estimate of an unknown kind.
    pub fn record_refusal(&mut self, key: KindKey, mean_s: f64) {
        let responses = self.responses;
        let entry = self.entry(key, mean_s);
        if entry.sampled_at < responses {
            entry.refusals = entry.refusals.saturating_add(1);
        }
    }

    /// Records a request that was cancelled after it had run for `elapsed`. If it was admitted with
    /// a reduced estimate and ran for longer, the estimate returns to the earlier average.
    pub fn record_cancelled(&mut self, key: KindKey, elapsed: Duration) {
        let Ok(index) = self.index(key) else {
            return;
        };
        let entry = &mut self.entries[index];
        let elapsed_s = elapsed.as_secs_f64();
        if entry.refusals > 0 && elapsed_s > entry.estimate_s() {
            entry.mean_s = entry.mean_s.max(elapsed_s);
            entry.refusals = 0;
        }
    }

    fn index(&self, key: KindKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }

    /// The entry of a kind; a new one starts with `mean_s`.
    fn entry(&mut self, key: KindKey, mean_s: f64) -> &mut Entry {
        let index = match self.index(key) {
            Ok(index) => index,
            Err(index) => {
                let entry = Entry {
                    key,
                    mean_s,
                    refusals: 0,
                    sampled_at: 0,
                };
                self.insert(index, entry)
            }
        };
        &mut self.entries[index]
    }

    /// Inserts an entry at its index in the sorted entries and returns its index after the
    /// replacement of another one.
    fn insert(&mut self, index: usize, entry: Entry) -> usize {
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].sampled_at);
        let Some(oldest) = oldest.filter(|_| self.entries.len() >= MAX_KINDS) else {
            self.entries.insert(index, entry);
            return index;
        };
        self.entries.remove(oldest);
        let index = if oldest < index { index - 1 } else { index };
        self.entries.insert(index, entry);
        index
    }
}
