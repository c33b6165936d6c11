//! The adaptive limit: how many requests a warm target runs without slowing down or shedding.
//!
//! Answers are judged in windows of a few rounds. A window whose mean service time is within a
//! tolerance of the warm profile lets a limit that was in full use grow. A slow window cuts it, and
//! the next window tells whether the cut helped: when concurrency is the cause, the throughput
//! (limit / mean) stays the same or rises. When the throughput falls with the limit, the slowness
//! has another cause, so the cut is taken back and the profile is raised. Errors that look like
//! shedding cut the limit without waiting for the end of the window.

use std::mem;
use std::time::{Duration, Instant};

use basilbay_model::service::LimitRule;

use crate::profile::Profile;
use crate::request::StartIndex;

/// Rounds (limit completions each) in a window; with exponential times the mean of 4 rounds of 18
/// has a relative deviation of 12%.
const WINDOW_ROUNDS: u32 = 4;

/// Fewest completions in a window.
const WINDOW_MIN: u32 = 8;

/// Most completions in a window, so that a large limit is still judged several times a second.
const WINDOW_MAX: u32 = 128;

/// A window is slow when its mean exceeds the warm mean by this factor.
const TOLERANCE: f64 = 2.0;

/// Margin over the tolerance when a slower profile is accepted: 4 deviations of a window of
/// exponential times. At 1.25 noise alone began a new trial every few windows.
const RAISE_MARGIN: f64 = 1.5;

/// Largest cut for one slow window; one noisy window costs a quarter at most.
const SLOW_CUT: f64 = 0.75;

/// Windows are longer by this factor while a cut is on trial, since a wrong verdict is costly.
const TRIAL_FACTOR: u32 = 2;

/// A cut is judged once the limit is below this share of the one before. With two full cuts
/// (0.56) the throughput differs enough from an unchanged one to tell them apart through noise,
/// and a cut that turns out to be wrong has not halved the limit.
const TRIAL_DEPTH: f64 = 0.7;

/// Share of the throughput that a cut must keep to count as helpful: half way between the
/// unchanged one and the one that falls with the limit.
const KEPT_THROUGHPUT: f64 = 0.78;

/// Cut when a quarter of the completions are shed, and were in the window before.
const SHED_CUT: f64 = 0.7;

/// Fewest shed requests for that cut; one or two errors are no sign of overload.
const SHED_MIN: u32 = 3;

/// Completions for each shed request at which that cut is due.
const SHED_PARTS: u32 = 4;

/// Cut for a window in which more than one in [`MILD_PARTS`] was shed.
const MILD_CUT: f64 = 0.9;

/// Completions for each shed request above which a window passes as free of shedding.
const MILD_PARTS: u32 = 10;

/// First step of growth after a cut, in slots a window: the limit stays below the harmful one for
/// a few windows before it tries again.
const FIRST_STEP: f64 = 0.25;

/// First step of growth after a cut for slowness, which harms less than shedding and is noisier.
const SLOW_STEP: f64 = 1.0;

/// Factor from one step of growth to the next, up to the square root of the limit.
const STEP_FACTOR: f64 = 1.5;

/// A completed request, as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the request was started.
    pub started: Instant,
    /// Position of its start.
    pub order: StartIndex,
    /// Position of the next start.
    pub next: StartIndex,
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
    rule: LimitRule,
    fixed: u32,
    value: f64,
    /// By how much the next good window lets it grow.
    step: f64,
    /// Whether a good window followed the last cut.
    proven: bool,
    /// Starts below it happened before the last cut and are not judged.
    first: StartIndex,
    window: Window,
    trial: Option<Trial>,
}

impl Limit {
    /// A limit that begins at the slots of the contract.
    pub fn new(slots: u32) -> Self {
        let value = f64::from(slots.max(1));
        Self {
            slots: slots.max(1),
            rule: LimitRule::Adaptive,
            fixed: slots.max(1),
            value,
            step: value.sqrt(),
            proven: true,
            first: 0,
            window: Window::default(),
            trial: None,
        }
    }

    /// Requests that may run.
    pub fn allowed(&self) -> u32 {
        match self.rule {
            LimitRule::Fixed => self.fixed,
            // The value is between 1 and `slots`, which fits.
            LimitRule::Adaptive => self.value as u32,
        }
    }

    /// Takes another rule; a fixed limit is `percent` of the slots.
    pub fn set_rule(&mut self, rule: LimitRule, percent: u32) {
        self.rule = rule;
        self.fixed = (self.slots.saturating_mul(percent) / 100).clamp(1, self.slots);
    }

    /// Takes another number of slots; a higher one is approached by growth.
    pub fn set_slots(&mut self, slots: u32) {
        if self.slots == slots.max(1) {
            return;
        }
        self.slots = slots.max(1);
        self.value = self.value.min(f64::from(self.slots));
        self.trial = None;
    }

    /// Drops the window in progress: the target changed, so its samples no longer belong together.
    pub fn restart_window(&mut self, next: StartIndex) {
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
            self.shed(sample);
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
        let mut length = rounds.clamp(WINDOW_MIN, WINDOW_MAX);
        if self.trial.is_some() {
            length *= TRIAL_FACTOR;
        }
        if self.window.seen < length {
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
        profile.settle(mean, window.is_full());
        if mean <= tolerated {
            self.grow(window);
        }
    }

    fn slow(&mut self, mean: f64, tolerated: f64, sample: Sample, profile: &mut Profile) {
        let limit = f64::from(sample.allowed.min(self.allowed()));
        let trial = self.trial.unwrap_or(Trial { limit, mean });
        if limit < trial.limit * TRIAL_DEPTH {
            let kept = (limit / mean) / (trial.limit / trial.mean);
            if kept < KEPT_THROUGHPUT {
                self.revert(trial, sample, profile);
                return;
            }
        }
        if limit <= 1.0 {
            profile.raise(mean * RAISE_MARGIN / TOLERANCE);
            return;
        }
        self.cut((tolerated / mean).max(SLOW_CUT), sample);
        self.step = SLOW_STEP;
        self.trial = Some(trial);
    }

    fn revert(&mut self, trial: Trial, sample: Sample, profile: &mut Profile) {
        profile.raise(trial.mean * RAISE_MARGIN / TOLERANCE);
        self.value = trial.limit.min(f64::from(self.slots));
        self.restart_window(sample.next);
    }

    fn shed(&mut self, sample: Sample) {
        // The others that run were not shed, so after good windows one less is enough.
        let floor = if self.proven {
            f64::from(sample.running.saturating_sub(1))
        } else {
            0.0
        };
        self.cut(SHED_CUT, sample);
        self.value = self.value.max(floor);
    }

    fn cut(&mut self, factor: f64, sample: Sample) {
        // Only as many ran as all limits together allowed, so that is what proved too much.
        let proved = self.value.min(f64::from(sample.allowed));
        self.value = (proved * factor).max(1.0);
        self.step = FIRST_STEP;
        self.proven = false;
        self.restart_window(sample.next);
    }

    fn grow(&mut self, window: &Window) {
        self.proven = true;
        if !window.is_full() {
            return;
        }
        self.value = (self.value + self.step).min(f64::from(self.slots));
        self.step = (self.step * STEP_FACTOR).min(self.value.sqrt());
    }
}
