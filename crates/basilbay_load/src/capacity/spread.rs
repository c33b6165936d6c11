//! Summary of repeated measurements of one value.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Lowest, median and highest value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Lowest value.
    pub low: f64,
    /// Median; the mean of the middle two for an even number of values.
    pub median: f64,
    /// Highest value.
    pub high: f64,
}

impl Spread {
    /// Summarizes values; all zeros if there are none.
    pub fn from_values(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let (Some(low), Some(high)) = (values.first(), values.last()) else {
            return Self::default();
        };
        let upper = values[values.len() / 2];
        let lower = values[(values.len() - 1) / 2];
        Self {
            low: *low,
            median: (lower + upper) / 2.0,
            high: *high,
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = if self.high < 10.0 { 2 } else { 0 };
        write!(
            formatter,
            "{:.digits$} / {:.digits$} / {:.digits$}",
            self.low, self.median, self.high
        )
    }
}
