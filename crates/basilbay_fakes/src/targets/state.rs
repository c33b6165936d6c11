//! State of one target and the rules by which it changes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use super::audit::{Ring, Violation};
use super::fault::{Change, Misreport, Straggle};
use super::noise::Noise;
use super::spec;

/// How much slower work runs for each multiple of the slots that is in flight above them.
const OVERLOAD_SLOPE: f64 = 2.0;

/// Multiple of the slots from which on requests are answered 503 at once.
const FAR_OVER: u32 = 2;

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It fails fast.
    Fail,
    /// It sheds load.
    Shed,
}

/// State that requests and tests change, under one lock.
pub(super) struct State {
    pub(super) random: fastrand::Rng,
    pub(super) in_flight: u32,
    pub(super) probing: u32,
    pub(super) connections: u32,
    /// Crashes so far; runs and connections of an earlier life count no more.
    pub(super) life: u64,
    pub(super) alive: CancellationToken,
    pub(super) refuse_until: Option<Instant>,
    pub(super) warming: u32,
    pub(super) cold: bool,
    pub(super) silent: bool,
    pub(super) draining: Option<Instant>,
    pub(super) straggle: Option<(f64, Instant)>,
    pub(super) paused_until: Option<Instant>,
    pub(super) fail_fast: bool,
    pub(super) shed: bool,
    pub(super) noise: Option<Noise>,
    pub(super) lie: Misreport,
    /// Requests in flight at past moments, while load figures lag.
    pub(super) past: VecDeque<(Instant, u32)>,
    pub(super) completions: u64,
    pub(super) failed_fast: u64,
    pub(super) refused: u64,
    pub(super) probes: u64,
    pub(super) ring: Ring,
    pub(super) violation: Violation,
}

impl State {
    pub(super) fn new(spec: &spec::Target, kept: usize, alive: CancellationToken) -> Self {
        Self {
            random: fastrand::Rng::with_seed(spec.seed),
            in_flight: 0,
            probing: 0,
            connections: 0,
            life: 0,
            alive,
            refuse_until: None,
            warming: 0,
            cold: spec.cold.warm_after > 0,
            silent: false,
            draining: None,
            straggle: None,
            paused_until: None,
            fail_fast: false,
            shed: false,
            noise: None,
            lie: Misreport::default(),
            past: VecDeque::new(),
            completions: 0,
            failed_fast: 0,
            refused: 0,
            probes: 0,
            ring: Ring::new(kept),
            violation: Violation::new(&spec.id),
        }
    }

    pub(super) fn refuse(&mut self, spec: &spec::Target) -> Result<(), Refusal> {
        if self.fail_fast {
            self.failed_fast += 1;
            return Err(Refusal::Fail);
        }
        let far_over = self.in_flight >= spec.slots.saturating_mul(FAR_OVER);
        if far_over {
            self.violation.over_slots += 1;
        }
        if self.shed || far_over {
            self.refused += 1;
            return Err(Refusal::Shed);
        }
        Ok(())
    }

    pub(super) fn count_violations(&mut self, spec: &spec::Target, now: Instant) {
        if self.in_flight > spec.slots {
            self.violation.over_slots += 1;
        }
        if self.cold && self.in_flight > spec.cold.slots {
            self.violation.over_cold += 1;
        }
        if let Some(since) = self.draining {
            let after = u64::try_from((now - since).as_micros()).unwrap_or(u64::MAX);
            let violation = &mut self.violation;
            violation.while_draining += 1;
            violation.latest_after_drain_us = violation.latest_after_drain_us.max(after);
        }
    }

    /// Time that a request runs which starts now on a machine without noise.
    pub(super) fn work(
        &mut self,
        spec: &spec::Target,
        kind: &spec::Kind,
        now: Instant,
    ) -> Duration {
        let time = kind.service_time;
        let spread = (time.sigma * self.normal()).exp();
        let median = Duration::from_micros(time.median_us);
        median.mul_f64(spread * self.slowness(spec, now))
    }

    /// A standard normal number, by the Box-Muller transform.
    pub(super) fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.f64();
        radius * angle.cos()
    }

    /// Time that others on the machine make a request take, in percent of the usual.
    pub(super) fn pace_percent(&self, now: Instant) -> u32 {
        match self.straggle {
            Some((straggle, until)) if now < until => (straggle * 100.0) as u32,
            _ => 100,
        }
    }

    pub(super) fn slowness(&self, spec: &spec::Target, now: Instant) -> f64 {
        let busy = self.in_flight + self.probing;
        let over = f64::from(busy.saturating_sub(spec.slots)) / f64::from(spec.slots);
        let mut factor = 1.0 + OVERLOAD_SLOPE * over;
        if self.cold {
            let crowd = f64::from(busy) / f64::from(spec.cold.slots);
            factor *= spec.cold.factor * crowd.max(1.0);
        }
        match self.straggle {
            Some((straggle, until)) if now < until => factor * straggle,
            _ => factor,
        }
    }

    pub(super) fn complete(&mut self, spec: &spec::Target) {
        self.completions += 1;
        if !self.cold {
            return;
        }
        self.warming += 1;
        self.cold = self.warming < spec.cold.warm_after;
    }

    pub(super) fn turn_cold(&mut self, spec: &spec::Target, silent: bool) {
        self.warming = 0;
        self.cold = spec.cold.warm_after > 0;
        self.silent = silent;
    }

    pub(super) fn change(&mut self, spec: &spec::Target, change: &Change, now: Instant) {
        if let Some(drain) = change.drain {
            self.draining = drain.then(|| self.draining.unwrap_or(now));
        }
        if change.cool == Some(true) {
            self.turn_cold(spec, true);
        }
        if change.warm == Some(true) {
            self.cold = false;
        }
        if let Some(Straggle { factor, for_ms }) = change.straggle {
            self.straggle = Some((factor, now + Duration::from_millis(for_ms)));
        }
        if let Some(pause_ms) = change.pause_ms {
            self.paused_until = Some(now + Duration::from_millis(pause_ms));
        }
        self.fail_fast = change.fail_fast.unwrap_or(self.fail_fast);
        self.shed = change.shed.unwrap_or(self.shed);
        if let Some(noise) = change.noise {
            let noisy = noise.factor > 1.0;
            self.noise = noisy.then(|| Noise::new(noise, spec.seed, now));
        }
        if let Some(lie) = &change.load {
            self.lie = lie.clone();
            self.past.clear();
            self.remember(now);
        }
    }

    /// Keeps the requests in flight for lagging load figures.
    pub(super) fn remember(&mut self, now: Instant) {
        if self.lie.lag_ms == 0 {
            return;
        }
        let lag = Duration::from_millis(self.lie.lag_ms);
        self.past.push_back((now, self.in_flight));
        while self.past.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.past.pop_front();
        }
    }

    /// The requests in flight as a lagging figure has them.
    pub(super) fn lagging(&self, now: Instant) -> u32 {
        if self.lie.lag_ms == 0 {
            return self.in_flight;
        }
        let lag = Duration::from_millis(self.lie.lag_ms);
        let past = self.past.iter().rev().find(|(at, _)| *at + lag <= now);
        past.or(self.past.front())
            .map_or(self.in_flight, |(_, in_flight)| *in_flight)
    }
}
