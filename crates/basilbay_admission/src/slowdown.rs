//! Detects slowdowns of a target caused by other load on its machine.
//!
//! Such a slowdown lasts for tens to hundreds of milliseconds, and the service time of a request
//! follows the speed of the machine at its start: a request that starts during a slowdown takes
//! several times as long as one that waits for its end. Requests are therefore started only at
//! normal speed, which counts as known if the target was measured a few milliseconds ago.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

/// Maximum age of a normal measurement; with slowdowns of 150 ms, one measurement in 30 is outdated
/// by then.
const NORMAL_MAX_AGE: Duration = Duration::from_millis(5);

/// Interval of probes during a slowdown, and maximum age of a slow measurement; requests start 10
/// ms late on average when the slowdown ends.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum age of a slow measurement while no probe succeeds.
const SLOW_MAX_AGE: Duration = Duration::from_millis(100);

/// How long the target counts as normal after a failed probe: without probes, requests must still
/// run.
const FAILED_PROBE_HOLD: Duration = Duration::from_millis(20);

/// Duration after which a slowdown counts as persistent: three slowdowns of 150 ms.
const MAX_TRANSIENT: Duration = Duration::from_millis(450);

/// Maximum gap between two slow measurements of the same slowdown; after half a slowdown without a
/// measurement it may be another one.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(75);

/// Speed of the target's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Normal speed, or unknown because the target cannot be probed.
    Normal,
    /// Slow; expected to end soon.
    Transient,
    /// Slow for so long that waiting does not help.
    Persistent,
    /// Unknown until the target is probed.
    Unknown,
}

/// Tracks the speed of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    /// Percentage of the normal service time from which a measurement is slow; 0 disables
    /// detection.
    threshold_percent: u32,
    can_probe: bool,
    /// Whether the last measurement was slow.
    is_slow: bool,
    /// First measurement of the current slowdown; `None` at normal speed.
    slow_since: Option<Instant>,
    /// When the speed was last measured; `None` before the first measurement.
    measured_at: Option<Instant>,
    /// End of the hold after a failed probe; `None` before the first failure.
    probes_failed_until: Option<Instant>,
}

impl Detector {
    /// Applies a new contract; a target without a health path cannot be probed.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.threshold_percent = contract.slow_percent;
        self.can_probe = contract.slow_percent > 0 && contract.health_path.is_some();
    }

    /// Records a measured service time, in percent of the normal one.
    pub fn record(&mut self, percent: u32, now: Instant) {
        let is_continued = self
            .measured_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_SAMPLE_GAP);
        self.is_slow = self.threshold_percent > 0 && percent >= self.threshold_percent;
        self.slow_since = match self.is_slow {
            true => self.slow_since.filter(|_| is_continued).or(Some(now)),
            false => None,
        };
        self.measured_at = Some(now);
    }

    /// Records a failed probe.
    pub fn record_failed_probe(&mut self, now: Instant) {
        self.probes_failed_until = Some(now + FAILED_PROBE_HOLD);
    }

    /// Whether the last measurement was slow.
    pub fn is_slowed(&self) -> bool {
        self.is_slow
    }

    /// Status at `now`.
    pub fn status(&self, now: Instant) -> Status {
        if !self.can_probe {
            return Status::Normal;
        }
        let age = self.measured_at.map(|at| now.saturating_duration_since(at));
        let max_age = if self.is_slow {
            PROBE_INTERVAL
        } else {
            NORMAL_MAX_AGE
        };
        if age.is_none_or(|age| age > max_age) {
            let probes_fail = self.probes_failed_until.is_some_and(|until| now < until);
            if !probes_fail {
                return Status::Unknown;
            }
            if !self.is_slow || age.is_none_or(|age| age > SLOW_MAX_AGE) {
                return Status::Normal;
            }
        }
        let duration = self
            .slow_since
            .map(|since| now.saturating_duration_since(since));
        match duration {
            None => Status::Normal,
            Some(duration) if duration < MAX_TRANSIENT => Status::Transient,
            Some(_) => Status::Persistent,
        }
    }

    /// When to probe the target again while requests wait for the end of a slowdown; `None` in any
    /// other status.
    pub fn next_probe_at(&self, now: Instant) -> Option<Instant> {
        match self.status(now) {
            Status::Transient => {
                let next = self.measured_at? + PROBE_INTERVAL;
                Some(next.max(self.probes_failed_until.unwrap_or(next)) + Duration::from_micros(1))
            }
            _ => None,
        }
    }
}
