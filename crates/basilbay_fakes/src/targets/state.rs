//! Mutable state of one target and its transitions.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use super::audit::{Ring, Violation};
use super::fault::{Change, Misreport, Straggle};
use super::noise::Noise;
use super::spec;

/// Increase of the service-time factor if the requests in flight exceed the slots by the number of
/// slots; smaller and larger excesses count in proportion.
const OVERLOAD_SLOPE: f64 = 2.0;

/// Requests in flight, as a multiple of the slots, at which further requests are shed with 503.
const SHED_FACTOR: u32 = 2;

/// Reason why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The target fails fast.
    Fail,
    /// The target sheds load.
    Shed,
}

/// State that requests and control commands change, guarded by one lock.
pub(super) struct State {
    pub(super) rng: fastrand::Rng,
    pub(super) in_flight: u32,
    /// Probes in progress, each of which occupies a slot.
    pub(super) active_probes: u32,
    pub(super) connections: u32,
    /// Crashes so far. Runs, connections and probes of an earlier generation no longer change the
    /// counts.
    pub(super) generation: u64,
    /// Cancelled by the crash that ends this generation.
    pub(super) crash_token: CancellationToken,
    /// End of the time in which connections are refused after a crash; `None` before the first one.
    pub(super) refuse_until: Option<Instant>,
    /// Requests completed since the target turned cold.
    pub(super) warmup_completions: u32,
    pub(super) cold: bool,
    /// Whether load reports state `warm` although the target is cold.
    pub(super) hides_cold: bool,
    /// Start of draining; `None` if the target is not draining.
    pub(super) draining: Option<Instant>,
    /// Service-time factor of a slowdown and its end.
    pub(super) straggle: Option<(f64, Instant)>,
    pub(super) paused_until: Option<Instant>,
    pub(super) fail_fast: bool,
    pub(super) shed: bool,
    pub(super) noise: Option<Noise>,
    pub(super) misreport: Misreport,
    /// Requests in flight at earlier times, oldest first; recorded only while load reports lag.
    pub(super) in_flight_history: VecDeque<(Instant, u32)>,
    pub(super) completions: u64,
    pub(super) failed_fast: u64,
    pub(super) shed_requests: u64,
    pub(super) probes: u64,
    pub(super) ring: Ring,
    pub(super) violation: Violation,
}

impl State {
    pub(super) fn new(
        spec: &spec::Target,
        max_runs: usize,
        crash_token: CancellationToken,
    ) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(spec.seed),
            in_flight: 0,
            active_probes: 0,
            connections: 0,
            generation: 0,
            crash_token,
            refuse_until: None,
            warmup_completions: 0,
            cold: spec.cold.warm_after > 0,
            hides_cold: false,
            draining: None,
            straggle: None,
            paused_until: None,
            fail_fast: false,
            shed: false,
            noise: None,
            misreport: Misreport::default(),
            in_flight_history: VecDeque::new(),
            completions: 0,
            failed_fast: 0,
            shed_requests: 0,
            probes: 0,
            ring: Ring::new(max_runs),
            violation: Violation::new(&spec.id),
        }
    }

    /// Decides whether a request is run, and counts refused requests.
    pub(super) fn admit(&mut self, spec: &spec::Target) -> Result<(), Refusal> {
        if self.fail_fast {
            self.failed_fast += 1;
            return Err(Refusal::Fail);
        }
        let is_overloaded = self.in_flight >= spec.slots.saturating_mul(SHED_FACTOR);
        if is_overloaded {
            self.violation.over_slots += 1;
        }
        if self.shed || is_overloaded {
            self.shed_requests += 1;
            return Err(Refusal::Shed);
        }
        Ok(())
    }

    /// Counts the limits that a request exceeds; called when it is already counted as in flight.
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

    /// Draws the service time, without noise, of a request that starts now.
    pub(super) fn service_time(
        &mut self,
        spec: &spec::Target,
        kind: &spec::Kind,
        now: Instant,
    ) -> Duration {
        let time = kind.service_time;
        let deviation = (time.sigma * self.normal()).exp();
        let median = Duration::from_micros(time.median_us);
        median.mul_f64(deviation * self.slowdown_factor(spec, now))
    }

    /// Draws from the standard normal distribution, by the Box-Muller transform.
    pub(super) fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.rng.f64();
        radius * angle.cos()
    }

    /// Service time as slowed by other load on the machine, in percent of the usual time.
    pub(super) fn slowdown_percent(&self, now: Instant) -> u32 {
        match self.straggle {
            Some((straggle, until)) if now < until => (straggle * 100.0) as u32,
            _ => 100,
        }
    }

    /// Factor on the service time of a request that starts now, without noise.
    pub(super) fn slowdown_factor(&self, spec: &spec::Target, now: Instant) -> f64 {
        let busy = self.in_flight + self.active_probes;
        let excess = f64::from(busy.saturating_sub(spec.slots)) / f64::from(spec.slots);
        let mut factor = 1.0 + OVERLOAD_SLOPE * excess;
        if self.cold {
            let load = f64::from(busy) / f64::from(spec.cold.slots);
            factor *= spec.cold.factor * load.max(1.0);
        }
        match self.straggle {
            Some((straggle, until)) if now < until => factor * straggle,
            _ => factor,
        }
    }

    /// Counts a completed request, with which a cold target may become warm.
    pub(super) fn complete(&mut self, spec: &spec::Target) {
        self.completions += 1;
        if !self.cold {
            return;
        }
        self.warmup_completions += 1;
        self.cold = self.warmup_completions < spec.cold.warm_after;
    }

    /// Makes the target cold, unless `warm_after` is 0.
    pub(super) fn turn_cold(&mut self, spec: &spec::Target, hides_cold: bool) {
        self.warmup_completions = 0;
        self.cold = spec.cold.warm_after > 0;
        self.hides_cold = hides_cold;
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
            let is_active = noise.factor > 1.0;
            self.noise = is_active.then(|| Noise::new(noise, spec.seed, now));
        }
        if let Some(misreport) = &change.load {
            self.misreport = misreport.clone();
            self.in_flight_history.clear();
            self.record_in_flight(now);
        }
    }

    /// Records the requests in flight for lagging load reports, and evicts what is too old.
    pub(super) fn record_in_flight(&mut self, now: Instant) {
        if self.misreport.lag_ms == 0 {
            return;
        }
        let lag = Duration::from_millis(self.misreport.lag_ms);
        self.in_flight_history.push_back((now, self.in_flight));
        while self
            .in_flight_history
            .get(1)
            .is_some_and(|(at, _)| *at + lag <= now)
        {
            self.in_flight_history.pop_front();
        }
    }

    /// Requests in flight as a lagging load report shows them.
    pub(super) fn lagged_in_flight(&self, now: Instant) -> u32 {
        if self.misreport.lag_ms == 0 {
            return self.in_flight;
        }
        let lag = Duration::from_millis(self.misreport.lag_ms);
        let sample = self
            .in_flight_history
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now);
        sample
            .or(self.in_flight_history.front())
            .map_or(self.in_flight, |(_, in_flight)| *in_flight)
    }
}
