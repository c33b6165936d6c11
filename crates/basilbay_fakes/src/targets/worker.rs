//! One target: its state, the rules by which requests run, and its account.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::account::{Outcome, Ring, Run, Violation};
use super::chain::Client;
use super::fault::{Change, Crash, Lie, Load, Status, Straggle};
use super::noise::Noise;
use super::spec;
use crate::clock;
use crate::timer::Timer;

/// How much slower work runs for each multiple of the slots that is in flight above them.
const OVERLOAD_SLOPE: f64 = 2.0;

/// Multiple of the slots from which on requests are answered 503 at once.
const FAR_OVER: u32 = 2;

/// What a worker shares with the others of its process.
pub(super) struct Parts {
    pub(super) timer: Timer,
    pub(super) client: Client,
    pub(super) stop: CancellationToken,
    pub(super) kept: usize,
}

/// State that requests and tests change, under one lock.
struct State {
    random: fastrand::Rng,
    in_flight: u32,
    probing: u32,
    connections: u32,
    /// Crashes so far; runs and connections of an earlier life count no more.
    life: u64,
    alive: CancellationToken,
    refuse_until: Option<Instant>,
    warming: u32,
    cold: bool,
    silent: bool,
    draining: Option<Instant>,
    straggle: Option<(f64, Instant)>,
    paused_until: Option<Instant>,
    fail_fast: bool,
    shed: bool,
    noise: Option<Noise>,
    lie: Lie,
    /// Requests in flight at past moments, while load figures lag.
    past: VecDeque<(Instant, u32)>,
    completions: u64,
    failed_fast: u64,
    refused: u64,
    probes: u64,
    ring: Ring,
    violation: Violation,
}

/// A target.
pub(super) struct Worker {
    pub(super) spec: spec::Target,
    pub(super) address: SocketAddr,
    pub(super) timer: Timer,
    pub(super) client: Client,
    pub(super) stop: CancellationToken,
    state: Mutex<State>,
    resumed: Notify,
}

/// Who asks for a run.
pub(super) struct Call {
    pub(super) request: Arc<str>,
    pub(super) key: Option<Arc<str>>,
    pub(super) kind: spec::Kind,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It fails fast.
    Fail,
    /// It sheds load.
    Shed,
}

/// A request in flight; dropping it before its end counts as a cancellation.
pub(super) struct Running {
    worker: Arc<Worker>,
    life: u64,
    run: Option<Run>,
    /// When the work is done.
    pub(super) end: Instant,
}

/// One open connection of a life.
pub(super) struct Connection {
    worker: Arc<Worker>,
    life: u64,
    /// Cancelled by a crash.
    pub(super) alive: CancellationToken,
}

/// A probe that occupies a slot.
pub(super) struct Probing {
    worker: Arc<Worker>,
    life: u64,
}

impl Worker {
    pub(super) fn new(spec: spec::Target, address: SocketAddr, parts: Parts) -> Self {
        let state = State {
            random: fastrand::Rng::with_seed(spec.seed),
            in_flight: 0,
            probing: 0,
            connections: 0,
            life: 0,
            alive: parts.stop.child_token(),
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
            lie: Lie::default(),
            past: VecDeque::new(),
            completions: 0,
            failed_fast: 0,
            refused: 0,
            probes: 0,
            ring: Ring::new(parts.kept),
            violation: Violation::new(&spec.id),
        };
        Self {
            spec,
            address,
            timer: parts.timer,
            client: parts.client,
            stop: parts.stop,
            state: Mutex::new(state),
            resumed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection, or counts it as one too many.
    pub(super) fn connect(self: &Arc<Self>) -> Option<Connection> {
        let mut state = self.state();
        if state.connections >= self.spec.connections {
            state.violation.over_connections += 1;
            return None;
        }
        state.connections += 1;
        Some(Connection {
            worker: self.clone(),
            life: state.life,
            alive: state.alive.clone(),
        })
    }

    /// Starts a run.
    pub(super) fn begin(self: &Arc<Self>, call: &Call) -> Result<Running, Refusal> {
        let mut state = self.state();
        let now = Instant::now();
        state.refuse(&self.spec)?;
        state.in_flight += 1;
        state.remember(now);
        state.count_violations(&self.spec, now);
        let work = state.work(&self.spec, &call.kind, now);
        let end = match &mut state.noise {
            Some(noise) => noise.end(now, work),
            None => now + work,
        };
        let start_us = clock::micros();
        Ok(Running {
            worker: self.clone(),
            life: state.life,
            end,
            run: Some(Run {
                target: self.spec.id.clone(),
                request: call.request.clone(),
                key: call.key.clone(),
                kind: call.kind.path.clone(),
                start_us,
                end_us: start_us,
                outcome: Outcome::Cancelled,
                in_flight_at_start: state.in_flight,
                cold: state.cold,
            }),
        })
    }

    /// Starts a probe; it occupies a slot until it is dropped.
    pub(super) fn probe(self: &Arc<Self>) -> Probing {
        let mut state = self.state();
        state.probing += 1;
        state.probes += 1;
        Probing {
            worker: self.clone(),
            life: state.life,
        }
    }

    /// The load figure that a probe reads.
    pub(super) fn load(&self) -> Load {
        let state = self.state();
        let now = Instant::now();
        let told = if state.draining.is_some() {
            "draining"
        } else if state.cold && !state.silent {
            "cold"
        } else {
            "warm"
        };
        let lie = &state.lie;
        Load {
            in_flight: lie.in_flight.unwrap_or_else(|| state.lagging(now)),
            slots: self.spec.slots,
            state: lie.state.clone().unwrap_or_else(|| told.to_owned()),
        }
    }

    /// Waits while answers are held back.
    pub(super) async fn resumed(&self) {
        loop {
            let resumed = self.resumed.notified();
            tokio::pin!(resumed);
            resumed.as_mut().enable();
            let until = self.state().paused_until;
            let Some(until) = until.filter(|until| *until > Instant::now()) else {
                return;
            };
            tokio::select! {
                () = self.timer.until(until) => {}
                () = resumed => {}
            }
        }
    }

    /// Ends this life: all connections close and new ones are refused for a while.
    pub(super) fn crash(&self, crash: Crash) {
        let refuse_ms = crash.refuse_ms.unwrap_or(self.spec.restart_ms);
        let mut state = self.state();
        state.life += 1;
        state.in_flight = 0;
        state.probing = 0;
        state.connections = 0;
        state.past.clear();
        state.turn_cold(&self.spec, false);
        state.draining = None;
        state.paused_until = None;
        state.refuse_until = Some(Instant::now() + Duration::from_millis(refuse_ms));
        let ended = std::mem::replace(&mut state.alive, self.stop.child_token());
        drop(state);
        self.resumed.notify_waiters();
        ended.cancel();
    }

    /// The token of this life.
    pub(super) fn alive(&self) -> CancellationToken {
        self.state().alive.clone()
    }

    /// Until when connections are refused.
    pub(super) fn refuses_until(&self) -> Option<Instant> {
        let until = self.state().refuse_until;
        until.filter(|until| *until > Instant::now())
    }

    /// Changes the behaviour.
    pub(super) fn change(&self, change: &Change) {
        let now = Instant::now();
        self.state().change(&self.spec, change, now);
        if change.pause_ms.is_some() {
            self.resumed.notify_waiters();
        }
        if let Some(crash) = change.crash {
            self.crash(crash);
        }
    }

    /// The state in figures.
    pub(super) fn status(&self) -> Status {
        let state = self.state();
        Status {
            id: self.spec.id.clone(),
            service: self.spec.service.clone(),
            address: self.address,
            in_flight: state.in_flight,
            connections: state.connections,
            cold: state.cold,
            draining: state.draining.is_some(),
            completions: state.completions,
            failed_fast: state.failed_fast,
            shed: state.refused,
            probes: state.probes,
            crashes: state.life,
        }
    }

    /// At most `count` runs from a sequence number on, and the number to continue with.
    pub(super) fn runs(&self, from: u64, count: usize) -> (u64, Vec<Run>) {
        self.state().ring.read(from, count)
    }

    /// Limits that were broken.
    pub(super) fn violation(&self) -> Violation {
        self.state().violation.clone()
    }

    /// Forgets runs and violations.
    pub(super) fn clear(&self) {
        let mut state = self.state();
        state.ring.clear();
        state.violation = Violation::new(&self.spec.id);
    }
}

impl State {
    fn refuse(&mut self, spec: &spec::Target) -> Result<(), Refusal> {
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

    fn count_violations(&mut self, spec: &spec::Target, now: Instant) {
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
    fn work(&mut self, spec: &spec::Target, kind: &spec::Kind, now: Instant) -> Duration {
        let time = kind.service_time;
        let spread = (time.sigma * self.normal()).exp();
        let median = Duration::from_micros(time.median_us);
        median.mul_f64(spread * self.slowness(spec, now))
    }

    /// A standard normal number, by the Box-Muller transform.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.f64();
        radius * angle.cos()
    }

    fn slowness(&self, spec: &spec::Target, now: Instant) -> f64 {
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

    fn complete(&mut self, spec: &spec::Target) {
        self.completions += 1;
        if !self.cold {
            return;
        }
        self.warming += 1;
        self.cold = self.warming < spec.cold.warm_after;
    }

    fn turn_cold(&mut self, spec: &spec::Target, silent: bool) {
        self.warming = 0;
        self.cold = spec.cold.warm_after > 0;
        self.silent = silent;
    }

    fn change(&mut self, spec: &spec::Target, change: &Change, now: Instant) {
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
    fn remember(&mut self, now: Instant) {
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
    fn lagging(&self, now: Instant) -> u32 {
        if self.lie.lag_ms == 0 {
            return self.in_flight;
        }
        let lag = Duration::from_millis(self.lie.lag_ms);
        let past = self.past.iter().rev().find(|(at, _)| *at + lag <= now);
        past.or(self.past.front())
            .map_or(self.in_flight, |(_, in_flight)| *in_flight)
    }
}

impl Running {
    /// Ends the run as completed; false when the target crashed before.
    pub(super) fn finish(mut self) -> bool {
        self.close(Outcome::Done) == Some(Outcome::Done)
    }

    fn close(&mut self, outcome: Outcome) -> Option<Outcome> {
        let mut run = self.run.take()?;
        run.end_us = clock::micros();
        let worker = &self.worker;
        let mut state = worker.state();
        let is_current = state.life == self.life;
        run.outcome = if is_current {
            outcome
        } else {
            Outcome::Crashed
        };
        if is_current {
            state.in_flight -= 1;
            state.remember(Instant::now());
        }
        let ended = run.outcome;
        if ended == Outcome::Done {
            state.complete(&worker.spec);
        }
        state.ring.push(run);
        Some(ended)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.close(Outcome::Cancelled);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.worker.state();
        if state.life == self.life {
            state.connections -= 1;
        }
    }
}

impl Drop for Probing {
    fn drop(&mut self) {
        let mut state = self.worker.state();
        if state.life == self.life {
            state.probing -= 1;
        }
    }
}
