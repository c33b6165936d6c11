//! Service times of the target, as the gate measured them.

use std::time::Duration;

/// An answer that takes this many times the warm mean is far above the profile. Processor sharing
/// on a third of the slots explains a factor of 3, which is the limit's business.
const OUTLIER_MEAN_FACTOR: f64 = 4.0;

/// Factor over the warm_p95_s quantile that an answer must exceed as well, so that a slow kind of request
/// does not look like a cold target.
const OUTLIER_P95_FACTOR: f64 = 2.0;

/// An answer within this factor of the warm mean is normal.
const NORMAL_FACTOR: f64 = 1.5;

/// An error that comes quicker than this share of the warm mean is taken for shedding.
const FAST_ERROR_FACTOR: f64 = 0.25;

/// The quantile that `warm_p95_s` follows.
const QUANTILE: f64 = 0.95;

/// Relative step of the quantile estimate.
const QUANTILE_STEP: f64 = 0.1;

/// Share of a new sample_s in the recent service_time time.
const RECENT_GAIN: f64 = 1.0 / 16.0;

/// Share of a window_mean_s mean below the warm mean that is taken over.
const FALL_GAIN: f64 = 0.25;

/// Share of a window_mean_s mean above the warm mean that is taken over; small, so that a slow overload
/// does not become the norm.
const RISE_GAIN: f64 = 0.05;

/// Service times: recent ones in any state, and those of the warm target.
#[derive(Clone, Debug, Default)]
pub struct Profile {
    recent_mean_s: Option<f64>,
    warm_mean_s: Option<f64>,
    warm_p95_s: f64,
}

impl Profile {
    /// Mean service_time time of recent answers; zero before the first.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.recent_mean_s.unwrap_or(0.0))
    }

    /// Mean service_time time of the warm target in seconds, once known.
    pub fn warm_mean_s(&self) -> Option<f64> {
        self.warm_mean_s
    }

    /// Takes the service_time time of an answer, in any state of the target.
    pub fn record(&mut self, service_time: Duration) {
        let sample_s = service_time.as_secs_f64();
        let recent = self.recent_mean_s.get_or_insert(sample_s);
        *recent += (sample_s - *recent) * RECENT_GAIN;
    }

    /// Takes the service_time time of an answer of a warm target into the warm_p95_s quantile.
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

    /// Takes the mean of a window_mean_s of answers of a warm target. While the limit was `limit_was_reached`, only
    /// a lower one: a higher one may come from the concurrency that the limit is to judge.
    pub fn update_warm_mean(&mut self, window_mean_s: f64, limit_was_reached: bool) {
        let mean = self.warm_mean_s.get_or_insert(window_mean_s);
        if window_mean_s < *mean {
            *mean += (window_mean_s - *mean) * FALL_GAIN;
        } else if !limit_was_reached {
            *mean += (window_mean_s - *mean) * RISE_GAIN;
        }
    }

    /// Raises the warm mean at once: the longer times are found not to come from concurrency.
    pub fn raise_warm_mean(&mut self, mean: f64) {
        self.warm_mean_s = Some(self.warm_mean_s.map_or(mean, |known| known.max(mean)));
        self.warm_p95_s = self.warm_p95_s.max(mean);
    }

    /// Whether a service_time time is so long that the target looks cold.
    pub fn is_outlier(&self, service_time: Duration) -> bool {
        let sample_s = service_time.as_secs_f64();
        self.warm_mean_s.is_some_and(|mean| {
            sample_s > mean * OUTLIER_MEAN_FACTOR && sample_s > self.warm_p95_s * OUTLIER_P95_FACTOR
        })
    }

    /// Whether a service_time time is usual for the warm target.
    pub fn is_normal(&self, service_time: Duration) -> bool {
        let sample_s = service_time.as_secs_f64();
        self.warm_mean_s
            .is_some_and(|mean| sample_s <= mean * NORMAL_FACTOR)
    }

    /// Whether an error after this time speaks of overload: shed quickly, or stuck for long. An
    /// error after a usual time is the application's own and does not depend on the load.
    pub fn indicates_overload(&self, service_time: Duration) -> bool {
        let sample_s = service_time.as_secs_f64();
        self.warm_mean_s.is_none_or(|mean| {
            sample_s < mean * FAST_ERROR_FACTOR || sample_s > mean * OUTLIER_MEAN_FACTOR
        })
    }
}
