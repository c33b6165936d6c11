//! Adaptive concurrency limit: how many requests a warm target runs without slowing down or
//! shedding.
//!
//! Completions are evaluated in windows of a few rounds. If the mean service time of a window is
//! within a tolerance of the warm profile, a limit that was fully used grows. A slow window cuts
//! the limit, and the next window shows whether the cut helped: if concurrency is the cause, the
//! throughput (limit / mean) stays the same or rises. If the throughput falls with the limit, the
//! slowness has another cause; the cut is reverted and the profile raised. Errors that look like
//! load shedding cut the limit without waiting for the end of the window.

use std::mem;
use std::time::{Duration, Instant};

use basilbay_model::service::LimitRule;

use crate::profile::Profile;
use crate::request::StartIndex;

/// Rounds (as many completions as the limit) per window; with exponential service times, the mean
/// of 4 rounds of 18 has a relative standard deviation of 12%.
const WINDOW_ROUNDS: u32 = 4;

/// Minimum completions per window.
const MIN_WINDOW_COMPLETIONS: u32 = 8;

/// Maximum completions per window, so that a large limit is still evaluated several times per
/// second.
const MAX_WINDOW_COMPLETIONS: u32 = 128;

/// A window is slow if its mean exceeds the warm mean by this factor.
const SLOW_FACTOR: f64 = 2.0;

/// Margin on top of [`SLOW_FACTOR`] when a slower profile is accepted: 4 standard deviations of a
/// window of exponential service times. At 1.25, noise alone started a new trial every few windows.
const RAISE_MARGIN: f64 = 1.5;

/// Largest cut for one slow window, so that a noisy window costs at most a quarter of the limit.
const SLOW_CUT_FACTOR: f64 = 0.75;

/// Factor on the window length during a trial, since a wrong result is costly.
const TRIAL_WINDOW_FACTOR: u32 = 2;

/// A cut is evaluated once the limit is below this ratio of the previous one. After two full cuts
/// (0.56), a throughput that falls with the limit can be distinguished from an unchanged one
/// despite noise, and a cut that proves wrong has not halved the limit.
const TRIAL_LIMIT_RATIO: f64 = 0.7;

/// Ratio of the throughput that must remain for a cut to count as helpful: halfway between an
/// unchanged throughput and one that falls with the limit.
const MIN_THROUGHPUT_RATIO: f64 = 0.78;

/// Cut when a quarter of the completions are shed; it is bounded to one slot if a good window
/// preceded it.
const SHED_CUT_FACTOR: f64 = 0.7;

/// Minimum shed requests for that cut; one or two errors do not indicate overload.
const MIN_SHED: u32 = 3;

/// Completions per shed request at which that cut is due.
const COMPLETIONS_PER_SHED: u32 = 4;

/// Cut for a window in which more than one in [`MILD_COMPLETIONS_PER_SHED`] requests was shed.
const MILD_SHED_CUT_FACTOR: f64 = 0.9;

/// Completions per shed request above which a window counts as free of shedding.
const MILD_COMPLETIONS_PER_SHED: u32 = 10;

/// First growth step after a cut, in slots per window; the limit stays below the harmful one for a
/// few windows before it probes again.
const INITIAL_STEP_SLOTS: f64 = 0.25;

/// First growth step after a cut for slowness, which is less harmful than shedding and noisier.
const SLOW_CUT_STEP_SLOTS: f64 = 1.0;

/// Factor between growth steps; a step is at most the square root of the limit.
const STEP_GROWTH_FACTOR: f64 = 1.5;

/// A completed request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the request was started.
    pub started_at: Instant,
    /// Index of its start.
    pub index: StartIndex,
    /// Index of the next start of the gate.
    pub next_index: StartIndex,
    /// Time from start to completion.
    pub service_time: Duration,
    /// Number of running requests just before it completed, including itself.
    pub concurrency: u32,
    /// Concurrency allowed by all limits together.
    pub allowed: u32,
    /// Whether the target counted as warm.
    pub is_warm: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    completions: u32,
    /// Successful responses of the warm target, whose service times add up to `total_s`.
    timed: u32,
    /// Completions during which the concurrency had reached the limit.
    at_limit: u32,
    /// Errors that indicate overload.
    shed: u32,
    total_s: f64,
}

impl Window {
    fn limit_was_reached(&self) -> bool {
        self.at_limit * 2 >= self.completions
    }
}

/// Limit and mean service time from before a cut for slowness, with which the next window is
/// compared.
#[derive(Clone, Copy, Debug)]
struct Trial {
    limit: f64,
    mean_s: f64,
}

/// Adaptive concurrency limit of one target, between 1 and the slots of its contract.
#[derive(Clone, Debug)]
pub struct Limit {
    slots: u32,
    rule: LimitRule,
    /// Limit under [`LimitRule::Fixed`].
    fixed: u32,
    /// Limit under [`LimitRule::Adaptive`], before rounding down.
    adaptive: f64,
    /// Growth after the next good window, in slots.
    step: f64,
    /// Whether a good window followed the last cut.
    stable_since_cut: bool,
    /// Requests with a lower start index were started before the last cut and are ignored.
    min_start_index: StartIndex,
    window: Window,
    /// Values from before the cut that is being evaluated; `None` if there is none.
    trial: Option<Trial>,
}

impl Limit {
    /// Creates a limit that starts at the slots of the contract.
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

    /// Maximum concurrency.
    pub fn allowed(&self) -> u32 {
        match self.rule {
            LimitRule::Fixed => self.fixed,
            // The value is between 1 and `slots` and fits.
            LimitRule::Adaptive => self.adaptive as u32,
        }
    }

    /// Sets the rule; a fixed limit is `percent` of the slots.
    pub fn set_rule(&mut self, rule: LimitRule, percent: u32) {
        self.rule = rule;
        self.fixed = (self.slots.saturating_mul(percent) / 100).clamp(1, self.slots);
    }

    /// Sets the number of slots; a higher one is reached by growth.
    pub fn set_slots(&mut self, slots: u32) {
        if self.slots == slots.max(1) {
            return;
        }
        self.slots = slots.max(1);
        self.adaptive = self.adaptive.min(f64::from(self.slots));
        self.trial = None;
    }

    /// Discards the current window, whose samples are from before a change of the target.
    pub fn restart_window(&mut self, next_index: StartIndex) {
        self.min_start_index = next_index;
        self.window = Window::default();
        self.trial = None;
    }

    /// Records a successful response.
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

    /// Records an error; one that does not indicate overload is ignored.
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
        if sample.index < self.min_start_index {
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
        let mean_s = window.total_s / f64::from(window.timed);
        let slow_threshold_s = profile.warm_mean_s().unwrap_or(mean_s) * SLOW_FACTOR;
        if mean_s > slow_threshold_s && window.limit_was_reached() {
            self.cut_for_slowness(mean_s, slow_threshold_s, sample, profile);
            return;
        }
        self.trial = None;
        profile.update_warm_mean(mean_s, window.limit_was_reached());
        if mean_s <= slow_threshold_s {
            self.grow(window);
        }
    }

    fn cut_for_slowness(
        &mut self,
        mean_s: f64,
        slow_threshold_s: f64,
        sample: Sample,
        profile: &mut Profile,
    ) {
        let limit = f64::from(sample.allowed.min(self.allowed()));
        let trial = self.trial.unwrap_or(Trial { limit, mean_s });
        if limit < trial.limit * TRIAL_LIMIT_RATIO {
            let throughput_ratio = (limit / mean_s) / (trial.limit / trial.mean_s);
            if throughput_ratio < MIN_THROUGHPUT_RATIO {
                self.revert_cut(trial, sample, profile);
                return;
            }
        }
        if limit <= 1.0 {
            profile.raise_warm_mean(mean_s * RAISE_MARGIN / SLOW_FACTOR);
            return;
        }
        self.cut((slow_threshold_s / mean_s).max(SLOW_CUT_FACTOR), sample);
        self.step = SLOW_CUT_STEP_SLOTS;
        self.trial = Some(trial);
    }

    fn revert_cut(&mut self, trial: Trial, sample: Sample, profile: &mut Profile) {
        profile.raise_warm_mean(trial.mean_s * RAISE_MARGIN / SLOW_FACTOR);
        self.adaptive = trial.limit.min(f64::from(self.slots));
        self.restart_window(sample.next_index);
    }

    fn cut_for_shedding(&mut self, sample: Sample) {
        // The other running requests were not shed, so after good windows a cut by one is enough.
        let floor = if self.stable_since_cut {
            f64::from(sample.concurrency.saturating_sub(1))
        } else {
            0.0
        };
        self.cut(SHED_CUT_FACTOR, sample);
        self.adaptive = self.adaptive.max(floor);
    }

    fn cut(&mut self, factor: f64, sample: Sample) {
        // Other limits may bind, so the excessive concurrency is what all limits together allowed.
        let exceeded = self.adaptive.min(f64::from(sample.allowed));
        self.adaptive = (exceeded * factor).max(1.0);
        self.step = INITIAL_STEP_SLOTS;
        self.stable_since_cut = false;
        self.restart_window(sample.next_index);
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
