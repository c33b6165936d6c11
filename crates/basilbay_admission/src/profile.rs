//! Service-time statistics of the target, as measured by the gate.
//!
//! The input is the service time of each response. The output is a moving average over recent
//! responses, for estimates of waiting times, and the mean and 95th percentile of the warm target,
//! which classify service times as normal, as an outlier or as a sign of overload.

use std::time::Duration;

/// A response that takes this many times the warm mean is an outlier. Processor sharing on a third
/// of the slots explains a factor of 3, which the adaptive limit handles.
const OUTLIER_MEAN_FACTOR: f64 = 4.0;

/// Factor over the 95th percentile that an outlier must also exceed, so that a slow kind of request
/// is not mistaken for a cold target.
const OUTLIER_P95_FACTOR: f64 = 2.0;

/// A response within this factor of the warm mean is normal.
const NORMAL_FACTOR: f64 = 1.5;

/// An error faster than this fraction of the warm mean counts as load shedding.
const FAST_ERROR_FACTOR: f64 = 0.25;

/// Quantile tracked by `warm_p95_s`.
const QUANTILE: f64 = 0.95;

/// Relative step size of the quantile estimate.
const QUANTILE_STEP: f64 = 0.1;

/// Weight of a new sample in the recent mean.
const RECENT_GAIN: f64 = 1.0 / 16.0;

/// Weight of a window mean that is below the warm mean.
const FALL_GAIN: f64 = 0.25;

/// Weight of a window mean that is above the warm mean; small, so that a slowly building overload
/// does not become the baseline.
const RISE_GAIN: f64 = 0.05;

/// Service times: recent ones in any state, and those of the warm target.
#[derive(Clone, Debug, Default)]
pub struct Profile {
    /// Moving average; `None` before the first response.
    recent_mean_s: Option<f64>,
    warm_mean_s: Option<f64>,
    /// 95th percentile of the warm target; 0 until it is known.
    warm_p95_s: f64,
}

impl Profile {
    /// Mean service time of recent responses; zero before the first.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.recent_mean_s.unwrap_or(0.0))
    }

    /// Mean service time of the warm target in seconds; `None` until it is known.
    pub fn warm_mean_s(&self) -> Option<f64> {
        self.warm_mean_s
    }

    /// Records the service time of a response in any state of the target.
    pub fn record(&mut self, service_time: Duration) {
        let sample_s = service_time.as_secs_f64();
        let recent = self.recent_mean_s.get_or_insert(sample_s);
        *recent += (sample_s - *recent) * RECENT_GAIN;
    }

    /// Updates the 95th percentile with the service time of a response of the warm target.
    pub fn record_warm(&mut self, service_time: Duration) {
        let sample_s = service_time.as_secs_f64();
        if self.warm_p95_s == 0.0 {
            self.warm_p95_s = sample_s;
        }
        let direction = if sample_s > self.warm_p95_s {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.warm_p95_s *= 1.0 + QUANTILE_STEP * direction;
    }

    /// Updates the warm mean from a window of responses of the warm target. If the limit was
    /// reached, only a lower mean is used: a higher one may be caused by the concurrency that the
    /// limit evaluates.
    pub fn update_warm_mean(&mut self, window_mean_s: f64, limit_was_reached: bool) {
        let mean = self.warm_mean_s.get_or_insert(window_mean_s);
        if window_mean_s < *mean {
            *mean += (window_mean_s - *mean) * FALL_GAIN;
        } else if !limit_was_reached {
            *mean += (window_mean_s - *mean) * RISE_GAIN;
        }
    }

    /// Raises the warm mean immediately, once concurrency is ruled out as the cause of longer
    /// service times.
    pub fn raise_warm_mean(&mut self, mean_s: f64) {
        self.warm_mean_s = Some(self.warm_mean_s.map_or(mean_s, |known| known.max(mean_s)));
        self.warm_p95_s = self.warm_p95_s.max(mean_s);
    }

    /// Whether a service time is so long that the target may be cold; `false` while the warm mean
    /// is unknown.
    pub fn is_outlier(&self, service_time: Duration) -> bool {
        let sample_s = service_time.as_secs_f64();
        self.warm_mean_s.is_some_and(|mean| {
            sample_s > mean * OUTLIER_MEAN_FACTOR && sample_s > self.warm_p95_s * OUTLIER_P95_FACTOR
        })
    }

    /// Whether a service time is normal for the warm target; `false` while the warm mean is
    /// unknown.
    pub fn is_normal(&self, service_time: Duration) -> bool {
        let sample_s = service_time.as_secs_f64();
        self.warm_mean_s
            .is_some_and(|mean| sample_s <= mean * NORMAL_FACTOR)
    }

    /// Whether an error after this time indicates overload: shed quickly, or stuck for long. An
    /// error after a normal time comes from the application and does not depend on the load. While
    /// the warm mean is unknown, every error counts.
    pub fn indicates_overload(&self, service_time: Duration) -> bool {
        let sample_s = service_time.as_secs_f64();
        self.warm_mean_s.is_none_or(|mean| {
            sample_s < mean * FAST_ERROR_FACTOR || sample_s > mean * OUTLIER_MEAN_FACTOR
        })
    }
}
