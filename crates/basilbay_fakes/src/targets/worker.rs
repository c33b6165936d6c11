//! One target: runs, connections and probes against its state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::audit::{Outcome, Run, Violation};
use super::chain::Client;
use super::fault::{Change, Crash, Load, Status};
use super::spec;
use super::state::{Refusal, State};
use crate::clock;
use crate::timer::Timer;

/// What a worker shares with the others of its process.
pub(super) struct Parts {
    pub(super) timer: Timer,
    pub(super) client: Client,
    pub(super) stop: CancellationToken,
    pub(super) kept: usize,
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

/// A request in flight; dropping it before its end counts as a cancellation.
pub(super) struct Running {
    worker: Arc<Worker>,
    life: u64,
    start: Instant,
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
        let state = State::new(&spec, parts.kept, parts.stop.child_token());
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
        let start_us = clock::unix_us();
        state.refuse(&self.spec)?;
        state.in_flight += 1;
        state.remember(now);
        state.count_violations(&self.spec, now);
        let work = state.work(&self.spec, &call.kind, now);
        let end = match &mut state.noise {
            Some(noise) => noise.end(now, work),
            None => now + work,
        };
        Ok(Running {
            worker: self.clone(),
            life: state.life,
            start: now,
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

    /// Time that a request takes which starts now, in percent of the usual.
    pub(super) fn pace_percent(&self) -> u32 {
        self.state().pace_percent(Instant::now())
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
                () = self.timer.sleep_until(until) => {}
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

impl Running {
    /// Ends the run as completed; false when the target crashed before.
    pub(super) fn finish(mut self) -> bool {
        self.close(Outcome::Done) == Some(Outcome::Done)
    }

    fn close(&mut self, outcome: Outcome) -> Option<Outcome> {
        let mut run = self.run.take()?;
        // Measured by the monotonic clock, so that a step of the wall clock changes no run's length.
        let ran_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        run.end_us = run.start_us.saturating_add(ran_us);
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
