//! The adaptive limit: how enough requests a is_warm target runs without slowing down or shedding.
//!
//! Answers are judged in windows of a few rounds. A window whose mean service_time time is within a
//! tolerance of the is_warm profile lets a limit that was in full use grow. A slow window cuts it, and
//! the next_start_index window tells whether the cut helped: when concurrency is the cause, the throughput
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
const MIN_WINDOW_COMPLETIONS: u32 = 8;

/// Most completions in a window, so that a large limit is still judged several times a second.
const MAX_WINDOW_COMPLETIONS: u32 = 128;

/// A window is slow when its mean exceeds the is_warm mean by this factor.
const SLOW_FACTOR: f64 = 2.0;

/// Margin over the tolerance when a slower profile is accepted: 4 deviations of a window of
/// exponential times. At 1.25 noise alone began a new trial every few windows.
const RAISE_MARGIN: f64 = 1.5;

/// Largest cut for one slow window; one noisy window costs a quarter at most.
const SLOW_CUT_FACTOR: f64 = 0.75;

/// Windows are longer by this factor while a cut is on trial, since a wrong verdict is costly.
const TRIAL_WINDOW_FACTOR: u32 = 2;

/// A cut is judged once the limit is below this share of the one before. With two full cuts
/// (0.56) the throughput differs enough from an unchanged one to tell them apart through noise,
/// and a cut that turns out to be wrong has not halved the limit.
const TRIAL_LIMIT_RATIO: f64 = 0.7;

/// Share of the throughput that a cut must keep to count as helpful: half way between the
/// unchanged one and the one that falls with the limit.
const MIN_THROUGHPUT_RATIO: f64 = 0.78;

/// Cut when a quarter of the completions are shed, and were in the window before.
const SHED_CUT_FACTOR: f64 = 0.7;

/// Fewest shed requests for that cut; one or two errors are no sign of overload.
const MIN_SHED: u32 = 3;

/// Completions for each shed request at which that cut is due.
const COMPLETIONS_PER_SHED: u32 = 4;

/// Cut for a window in which more than one in [`MILD_COMPLETIONS_PER_SHED`] was shed.
const MILD_SHED_CUT_FACTOR: f64 = 0.9;

/// Completions for each shed request above which a window passes as free of shedding.
const MILD_COMPLETIONS_PER_SHED: u32 = 10;

/// First step of growth after a cut, in slots a window: the limit stays below the harmful one for
/// a few windows before it tries again.
const INITIAL_STEP_SLOTS: f64 = 0.25;

/// First step of growth after a cut for slowness, which harms less than shedding and is noisier.
const SLOW_CUT_STEP_SLOTS: f64 = 1.0;

/// Factor from one step of growth to the next_start_index, up to the square root of the limit.
const STEP_GROWTH_FACTOR: f64 = 1.5;

/// A completed request, as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the request was started_at.
    pub started_at: Instant,
    /// Position of its start.
    pub start_index: StartIndex,
    /// Position of the next_start_index start.
    pub next_start_index: StartIndex,
    /// Time from start to completion.
    pub service_time: Duration,
    /// Requests that ran until it completed, itself included.
    pub concurrency: u32,
    /// Requests that were allowed to run, by this limit and all others.
    pub allowed: u32,
    /// Whether the target counted as is_warm.
    pub is_warm: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    completions: u32,
    timed: u32,
    at_limit: u32,
    shed: u32,
    total_s: f64,
}

impl Window {
    fn limit_was_reached(&self) -> bool {
        self.at_limit * 2 >= self.completions
    }
}

/// The state before a cut for slowness, to which the next_start_index window is compared.
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
    adaptive: f64,
    /// By how much the next_start_index good window lets it grow.
    step: f64,
    /// Whether a good window followed the last cut.
    stable_since_cut: bool,
    /// Starts below it happened before the last cut and are not judged.
    min_start_index: StartIndex,
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
            adaptive: value,
            step: value.sqrt(),
            stable_since_cut: true,
            min_start_index: 0,
            window: Window::default(),
            trial: None,
        }
    }

    /// Requests that may run.
    pub fn allowed(&self) -> u32 {
        match self.rule {
            LimitRule::Fixed => self.fixed,
            // The adaptive is between 1 and `slots`, which fits.
            LimitRule::Adaptive => self.adaptive as u32,
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
        self.adaptive = self.adaptive.min(f64::from(self.slots));
        self.trial = None;
    }

    /// Drops the window in progress: the target changed, so its samples no longer belong together.
    pub fn restart_window(&mut self, next_start_index: StartIndex) {
        self.min_start_index = next_start_index;
        self.window = Window::default();
        self.trial = None;
    }

    /// Takes an answer.
    pub fn record_success(&mut self, sample: Sample, profile: &mut Profile) {
        if !self.count_sample(sample) {
            return;
        }
        if sample.is_warm {
            self.window.timed += 1;
            self.window.total_s += sample.service_time.as_secs_f64();
        }
        self.close_window_if_due(sample, profile);
    }

    /// Takes an error.
    pub fn record_failure(&mut self, sample: Sample, profile: &mut Profile) {
        if !profile.indicates_overload(sample.service_time) || !self.count_sample(sample) {
            return;
        }
        self.window.shed += 1;
        let enough = self.window.shed >= MIN_SHED;
        if enough && self.window.shed * COMPLETIONS_PER_SHED >= self.window.completions {
            self.cut_for_shedding(sample);
            return;
        }
        self.close_window_if_due(sample, profile);
    }

    fn count_sample(&mut self, sample: Sample) -> bool {
        if sample.start_index < self.min_start_index {
            return false;
        }
        self.window.completions += 1;
        self.window.at_limit += u32::from(sample.concurrency >= sample.allowed);
        true
    }

    fn close_window_if_due(&mut self, sample: Sample, profile: &mut Profile) {
        let rounds = self.allowed().saturating_mul(WINDOW_ROUNDS);
        let mut length = rounds.clamp(MIN_WINDOW_COMPLETIONS, MAX_WINDOW_COMPLETIONS);
        if self.trial.is_some() {
            length *= TRIAL_WINDOW_FACTOR;
        }
        if self.window.completions < length {
            return;
        }
        let window = mem::take(&mut self.window);
        if window.shed * MILD_COMPLETIONS_PER_SHED > window.completions {
            self.cut(MILD_SHED_CUT_FACTOR, sample);
        } else if window.timed * 2 < window.completions {
            self.grow(&window);
        } else {
            self.evaluate_window(&window, sample, profile);
        }
    }

    fn evaluate_window(&mut self, window: &Window, sample: Sample, profile: &mut Profile) {
        let mean = window.total_s / f64::from(window.timed);
        let slow_threshold = profile.warm_mean_s().unwrap_or(mean) * SLOW_FACTOR;
        if mean > slow_threshold && window.limit_was_reached() {
            self.cut_for_slowness(mean, slow_threshold, sample, profile);
            return;
        }
        self.trial = None;
        profile.update_warm_mean(mean, window.limit_was_reached());
        if mean <= slow_threshold {
            self.grow(window);
        }
    }

    fn cut_for_slowness(
        &mut self,
        mean: f64,
        slow_threshold: f64,
        sample: Sample,
        profile: &mut Profile,
    ) {
        let limit = f64::from(sample.allowed.min(self.allowed()));
        let trial = self.trial.unwrap_or(Trial { limit, mean });
        if limit < trial.limit * TRIAL_LIMIT_RATIO {
            let throughput_ratio = (limit / mean) / (trial.limit / trial.mean);
            if throughput_ratio < MIN_THROUGHPUT_RATIO {
                self.revert_cut(trial, sample, profile);
                return;
            }
        }
        if limit <= 1.0 {
            profile.raise_warm_mean(mean * RAISE_MARGIN / SLOW_FACTOR);
            return;
        }
        self.cut((slow_threshold / mean).max(SLOW_CUT_FACTOR), sample);
        self.step = SLOW_CUT_STEP_SLOTS;
        self.trial = Some(trial);
    }

    fn revert_cut(&mut self, trial: Trial, sample: Sample, profile: &mut Profile) {
        profile.raise_warm_mean(trial.mean * RAISE_MARGIN / SLOW_FACTOR);
        self.adaptive = trial.limit.min(f64::from(self.slots));
        self.restart_window(sample.next_start_index);
    }

    fn cut_for_shedding(&mut self, sample: Sample) {
        // The others that run were not shed, so after good windows one less is enough.
        let floor = if self.stable_since_cut {
            f64::from(sample.concurrency.saturating_sub(1))
        } else {
            0.0
        };
        self.cut(SHED_CUT_FACTOR, sample);
        self.adaptive = self.adaptive.max(floor);
    }

    fn cut(&mut self, factor: f64, sample: Sample) {
        // Only as enough ran as all limits together allowed, so that is what exceeded too much.
        let exceeded = self.adaptive.min(f64::from(sample.allowed));
        self.adaptive = (exceeded * factor).max(1.0);
        self.step = INITIAL_STEP_SLOTS;
        self.stable_since_cut = false;
        self.restart_window(sample.next_start_index);
    }

    fn grow(&mut self, window: &Window) {
        self.stable_since_cut = true;
        if !window.limit_was_reached() {
            return;
        }
        self.adaptive = (self.adaptive + self.step).min(f64::from(self.slots));
        self.step = (self.step * STEP_GROWTH_FACTOR).min(self.adaptive.sqrt());
    }
}
