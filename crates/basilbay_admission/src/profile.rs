//! Service times of the target, as the gate measured them.

use std::time::Duration;

/// An answer that takes this many times the warm mean is far above the profile. Processor sharing
/// on a third of the slots explains a factor of 3, which is the limit's business.
const FAR_FACTOR: f64 = 4.0;

/// Factor over the high quantile that an answer must exceed as well, so that a slow kind of request
/// does not look like a cold target.
const FAR_HIGH_FACTOR: f64 = 2.0;

/// An answer within this factor of the warm mean is normal.
const NORMAL_FACTOR: f64 = 1.5;

/// An error that comes quicker than this share of the warm mean is taken for shedding.
const SHED_SHARE: f64 = 0.25;

/// The quantile that `high` follows.
const HIGH_QUANTILE: f64 = 0.95;

/// Relative step of the quantile estimate.
const HIGH_STEP: f64 = 0.1;

/// Share of a new sample in the recent service time.
const RECENT_SHARE: f64 = 1.0 / 16.0;

/// Share of a window mean below the warm mean that is taken over.
const FALL_SHARE: f64 = 0.25;

/// Share of a window mean above the warm mean that is taken over; small, so that a slow overload
/// does not become the norm.
const RISE_SHARE: f64 = 0.05;

/// Service times: recent ones in any state, and those of the warm target.
#[derive(Clone, Debug, Default)]
pub struct Profile {
    recent: Option<f64>,
    mean: Option<f64>,
    high: f64,
}

impl Profile {
    /// Mean service time of recent answers; zero before the first.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.recent.unwrap_or(0.0))
    }

    /// Mean service time of the warm target in seconds, once known.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Takes the service time of an answer, in any state of the target.
    pub fn note(&mut self, service: Duration) {
        let sample = service.as_secs_f64();
        let recent = self.recent.get_or_insert(sample);
        *recent += (sample - *recent) * RECENT_SHARE;
    }

    /// Takes the service time of an answer of a warm target into the high quantile.
    pub fn note_warm(&mut self, service: Duration) {
        let sample = service.as_secs_f64();
        if self.high == 0.0 {
            self.high = sample;
        }
        let direction = if sample > self.high {
            HIGH_QUANTILE
        } else {
            HIGH_QUANTILE - 1.0
        };
        self.high *= 1.0 + HIGH_STEP * direction;
    }

    /// Takes the mean of a window of answers of a warm target. While the limit was `full`, only
    /// a lower one: a higher one may come from the concurrency that the limit is to judge.
    pub fn settle(&mut self, window: f64, full: bool) {
        let mean = self.mean.get_or_insert(window);
        if window < *mean {
            *mean += (window - *mean) * FALL_SHARE;
        } else if !full {
            *mean += (window - *mean) * RISE_SHARE;
        }
    }

    /// Raises the warm mean at once: the longer times are found not to come from concurrency.
    pub fn raise(&mut self, mean: f64) {
        self.mean = Some(self.mean.map_or(mean, |known| known.max(mean)));
        self.high = self.high.max(mean);
    }

    /// Whether a service time is so long that the target looks cold.
    pub fn is_far_above(&self, service: Duration) -> bool {
        let sample = service.as_secs_f64();
        self.mean
            .is_some_and(|mean| sample > mean * FAR_FACTOR && sample > self.high * FAR_HIGH_FACTOR)
    }

    /// Whether a service time is usual for the warm target.
    pub fn is_normal(&self, service: Duration) -> bool {
        let sample = service.as_secs_f64();
        self.mean.is_some_and(|mean| sample <= mean * NORMAL_FACTOR)
    }

    /// Whether an error after this time speaks of overload: shed quickly, or stuck for long. An
    /// error after a usual time is the application's own and does not depend on the load.
    pub fn is_overload(&self, service: Duration) -> bool {
        let sample = service.as_secs_f64();
        self.mean
            .is_none_or(|mean| sample < mean * SHED_SHARE || sample > mean * FAR_FACTOR)
    }
}
