//! The adaptive limit: how many requests a warm target runs without slowing down or shedding.
//!
//! Answers are judged in windows of a few rounds. A window whose mean service time is within a
//! tolerance of the warm profile lets a limit that was in full use grow. A slow window cuts it, and
//! the next window tells whether the cut helped: when concurrency is the cause, the throughput
//! (limit / mean) stays the same or rises. When the throughput falls with the limit, the slowness
//! has another cause, so the cut is taken back and the profile is raised. Errors that look like
//! shedding cut the limit without waiting for the end of the window.

use std::mem;
use std::time::Duration;

use crate::profile::Profile;
use crate::request::Order;

/// Rounds (limit completions each) in a window; with exponential times the mean of 4 rounds of 18
/// has a relative deviation of 12%.
const WINDOW_ROUNDS: u32 = 4;

/// Fewest completions in a window.
const WINDOW_MIN: u32 = 8;

/// Most completions in a window, so that a large limit is still judged several times a second.
const WINDOW_MAX: u32 = 128;

/// A window is slow when its mean exceeds the warm mean by this factor.
const TOLERANCE: f64 = 2.0;

/// Margin over the tolerance when a slower profile is accepted.
const RAISE_MARGIN: f64 = 1.1;

/// Largest cut for one slow window; one noisy window costs a quarter at most.
const SLOW_CUT: f64 = 0.75;

/// Share of the throughput that a cut must keep to count as helpful.
const KEPT_THROUGHPUT: f64 = 0.9;

/// Cut when a quarter of the completions are shed.
const SHED_CUT: f64 = 0.7;

/// Fewest shed requests for that cut; one or two errors are no sign of overload.
const SHED_MIN: u32 = 3;

/// Completions for each shed request at which that cut is due.
const SHED_PARTS: u32 = 4;

/// Cut for a window in which more than one in [`MILD_PARTS`] was shed.
const MILD_CUT: f64 = 0.9;

/// Completions for each shed request above which a window passes as free of shedding.
const MILD_PARTS: u32 = 10;

/// A completed request, as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Position of its start.
    pub order: Order,
    /// Position of the next start.
    pub next: Order,
    /// Time from start to completion.
    pub service: Duration,
    /// Requests that ran until it completed, itself included.
    pub running: u32,
    /// Requests that were allowed to run, by this limit and all others.
    pub allowed: u32,
    /// Whether the target counted as warm.
    pub warm: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    seen: u32,
    timed: u32,
    full: u32,
    shed: u32,
    total: f64,
}

impl Window {
    fn is_full(&self) -> bool {
        self.full * 2 >= self.seen
    }
}

/// The state before a cut for slowness, to which the next window is compared.
#[derive(Clone, Copy, Debug)]
struct Trial {
    limit: f64,
    mean: f64,
}

/// The adaptive limit of one target, between 1 and the slots of its contract.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: u32,
    value: f64,
    /// Below it the limit grows by its square root a window, above it by 1.
    threshold: f64,
    /// Starts below it happened before the last cut and are not judged.
    first: Order,
    window: Window,
    trial: Option<Trial>,
}

impl Limit {
    /// A limit that begins at the slots of the contract.
    pub fn new(slots: u32) -> Self {
        let value = f64::from(slots.max(1));
        Self {
            slots: slots.max(1),
            value,
            threshold: value,
            first: 0,
            window: Window::default(),
            trial: None,
        }
    }

    /// Requests that may run.
    pub fn allowed(&self) -> u32 {
        // The value is between 1 and `slots`, which fits.
        self.value as u32
    }

    /// Takes another number of slots; a higher one is approached by growth.
    pub fn set_slots(&mut self, slots: u32) {
        if self.slots == slots.max(1) {
            return;
        }
        self.slots = slots.max(1);
        self.threshold = f64::from(self.slots);
        self.value = self.value.min(self.threshold);
        self.trial = None;
    }

    /// Drops the window in progress: the target changed, so its samples no longer belong together.
    pub fn restart_window(&mut self, next: Order) {
        self.first = next;
        self.window = Window::default();
        self.trial = None;
    }

    /// Takes an answer.
    pub fn answered(&mut self, sample: Sample, profile: &mut Profile) {
        if !self.count(sample) {
            return;
        }
        if sample.warm {
            self.window.timed += 1;
            self.window.total += sample.service.as_secs_f64();
        }
        self.close_when_due(sample, profile);
    }

    /// Takes an error.
    pub fn failed(&mut self, sample: Sample, profile: &mut Profile) {
        if !profile.is_overload(sample.service) || !self.count(sample) {
            return;
        }
        self.window.shed += 1;
        let many = self.window.shed >= SHED_MIN;
        if many && self.window.shed * SHED_PARTS >= self.window.seen {
            self.cut(SHED_CUT, sample);
            return;
        }
        self.close_when_due(sample, profile);
    }

    fn count(&mut self, sample: Sample) -> bool {
        if sample.order < self.first {
            return false;
        }
        self.window.seen += 1;
        self.window.full += u32::from(sample.running >= sample.allowed);
        true
    }

    fn close_when_due(&mut self, sample: Sample, profile: &mut Profile) {
        let rounds = self.allowed().saturating_mul(WINDOW_ROUNDS);
        if self.window.seen < rounds.clamp(WINDOW_MIN, WINDOW_MAX) {
            return;
        }
        let window = mem::take(&mut self.window);
        if window.shed * MILD_PARTS > window.seen {
            self.cut(MILD_CUT, sample);
        } else if window.timed * 2 < window.seen {
            self.grow(&window);
        } else {
            self.judge(&window, sample, profile);
        }
    }

    fn judge(&mut self, window: &Window, sample: Sample, profile: &mut Profile) {
        let mean = window.total / f64::from(window.timed);
        let tolerated = profile.mean().unwrap_or(mean) * TOLERANCE;
        if mean > tolerated && window.is_full() {
            self.slow(mean, tolerated, sample, profile);
            return;
        }
        self.trial = None;
        profile.settle(mean);
        if mean <= tolerated {
            self.grow(window);
        }
    }

    fn slow(&mut self, mean: f64, tolerated: f64, sample: Sample, profile: &mut Profile) {
        let limit = f64::from(sample.allowed.min(self.allowed()));
        if let Some(trial) = self.trial.take() {
            let kept = (limit / mean) / (trial.limit / trial.mean);
            if kept < KEPT_THROUGHPUT {
                self.take_back(trial, sample, profile);
                return;
            }
        }
        if limit <= 1.0 {
            profile.raise(mean * RAISE_MARGIN / TOLERANCE);
            return;
        }
        self.cut((tolerated / mean).max(SLOW_CUT), sample);
        self.trial = Some(Trial { limit, mean });
    }

    fn take_back(&mut self, trial: Trial, sample: Sample, profile: &mut Profile) {
        profile.raise(trial.mean * RAISE_MARGIN / TOLERANCE);
        self.value = trial.limit.min(f64::from(self.slots));
        self.restart_window(sample.next);
    }

    fn cut(&mut self, factor: f64, sample: Sample) {
        // Only as many ran as all limits together allowed, so that is what proved too much.
        self.value = self.value.min(f64::from(sample.allowed));
        self.threshold = if self.value >= self.threshold {
            self.value * MILD_CUT
        } else {
            (self.threshold + self.value) / 2.0
        };
        self.value = (self.value * factor).max(1.0);
        self.restart_window(sample.next);
    }

    fn grow(&mut self, window: &Window) {
        if !window.is_full() {
            return;
        }
        let step = if self.value < self.threshold {
            self.value.sqrt()
        } else {
            1.0
        };
        self.value = (self.value + step).min(f64::from(self.slots));
    }
}
