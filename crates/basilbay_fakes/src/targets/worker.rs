//! A running target: starts and ends runs, connections and probes against its state.

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

/// Resources that the workers of a process share, and their settings.
pub(super) struct Context {
    pub(super) timer: Timer,
    pub(super) client: Client,
    pub(super) stop: CancellationToken,
    /// Runs that each worker retains.
    pub(super) max_runs: usize,
}

/// A running target.
pub(super) struct Worker {
    pub(super) spec: spec::Target,
    pub(super) address: SocketAddr,
    pub(super) timer: Timer,
    pub(super) client: Client,
    pub(super) stop: CancellationToken,
    state: Mutex<State>,
    /// Notified when a pause ends or changes.
    pause_changed: Notify,
}

/// Id, idempotency key and kind of a request, as its run records them.
pub(super) struct Call {
    pub(super) request: Arc<str>,
    pub(super) key: Option<Arc<str>>,
    pub(super) kind: spec::Kind,
}

/// Guard of a request in flight; dropping it without [`Running::finish`] records a cancellation.
pub(super) struct Running {
    worker: Arc<Worker>,
    generation: u64,
    start: Instant,
    run: Option<Run>,
    /// Time at which the request's work is done.
    pub(super) end: Instant,
}

/// Guard of an open connection.
pub(super) struct Connection {
    worker: Arc<Worker>,
    generation: u64,
    /// Cancelled when the target crashes.
    pub(super) crash_token: CancellationToken,
}

/// Guard of a probe, which occupies a slot.
pub(super) struct Probe {
    worker: Arc<Worker>,
    generation: u64,
}

impl Worker {
    pub(super) fn new(spec: spec::Target, address: SocketAddr, context: Context) -> Self {
        let state = State::new(&spec, context.max_runs, context.stop.child_token());
        Self {
            spec,
            address,
            timer: context.timer,
            client: context.client,
            stop: context.stop,
            state: Mutex::new(state),
            pause_changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection, or returns `None` and counts a violation if the limit is reached.
    pub(super) fn connect(self: &Arc<Self>) -> Option<Connection> {
        let mut state = self.state();
        if state.connections >= self.spec.connections {
            state.violation.over_connections += 1;
            return None;
        }
        state.connections += 1;
        Some(Connection {
            worker: self.clone(),
            generation: state.generation,
            crash_token: state.crash_token.clone(),
        })
    }

    /// Starts running a request, unless the target refuses it.
    pub(super) fn start_run(self: &Arc<Self>, call: &Call) -> Result<Running, Refusal> {
        let mut state = self.state();
        let now = Instant::now();
        let start_us = clock::unix_us();
        state.admit(&self.spec)?;
        state.in_flight += 1;
        state.record_in_flight(now);
        state.count_violations(&self.spec, now);
        let work = state.service_time(&self.spec, &call.kind, now);
        let end = match &mut state.noise {
            Some(noise) => noise.end_time(now, work),
            None => now + work,
        };
        Ok(Running {
            worker: self.clone(),
            generation: state.generation,
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
    pub(super) fn probe(self: &Arc<Self>) -> Probe {
        let mut state = self.state();
        state.active_probes += 1;
        state.probes += 1;
        Probe {
            worker: self.clone(),
            generation: state.generation,
        }
    }

    /// Load as reported to probes, with any false values.
    pub(super) fn load(&self) -> Load {
        let state = self.state();
        let now = Instant::now();
        let reported = if state.draining.is_some() {
            "draining"
        } else if state.cold && !state.hides_cold {
            "cold"
        } else {
            "warm"
        };
        let misreport = &state.misreport;
        Load {
            in_flight: misreport
                .in_flight
                .unwrap_or_else(|| state.lagged_in_flight(now)),
            slots: self.spec.slots,
            state: misreport
                .state
                .clone()
                .unwrap_or_else(|| reported.to_owned()),
        }
    }

    /// Service time as slowed by other load on the machine, in percent of the usual time.
    pub(super) fn slowdown_percent(&self) -> u32 {
        self.state().slowdown_percent(Instant::now())
    }

    /// Waits while a pause holds back responses.
    pub(super) async fn wait_while_paused(&self) {
        loop {
            let changed = self.pause_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let until = self.state().paused_until;
            let Some(until) = until.filter(|until| *until > Instant::now()) else {
                return;
            };
            tokio::select! {
                () = self.timer.sleep_until(until) => {}
                () = changed => {}
            }
        }
    }

    /// Crashes the target: all connections close, and new ones are refused until the restart.
    pub(super) fn crash(&self, crash: Crash) {
        let refuse_ms = crash.refuse_ms.unwrap_or(self.spec.restart_ms);
        let mut state = self.state();
        state.generation += 1;
        state.in_flight = 0;
        state.active_probes = 0;
        state.connections = 0;
        state.in_flight_history.clear();
        state.turn_cold(&self.spec, false);
        state.draining = None;
        state.paused_until = None;
        state.refuse_until = Some(Instant::now() + Duration::from_millis(refuse_ms));
        let previous = std::mem::replace(&mut state.crash_token, self.stop.child_token());
        drop(state);
        self.pause_changed.notify_waiters();
        previous.cancel();
    }

    /// Token that is cancelled when the target crashes next.
    pub(super) fn crash_token(&self) -> CancellationToken {
        self.state().crash_token.clone()
    }

    /// End of the time in which connections are refused; `None` if they are accepted.
    pub(super) fn restart_at(&self) -> Option<Instant> {
        let until = self.state().refuse_until;
        until.filter(|until| *until > Instant::now())
    }

    /// Applies a change of behaviour.
    pub(super) fn change(&self, change: &Change) {
        let now = Instant::now();
        self.state().change(&self.spec, change, now);
        if change.pause_ms.is_some() {
            self.pause_changed.notify_waiters();
        }
        if let Some(crash) = change.crash {
            self.crash(crash);
        }
    }

    /// Status for the control listener.
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
            shed: state.shed_requests,
            probes: state.probes,
            crashes: state.generation,
        }
    }

    /// Returns at most `count` runs from sequence number `from` on, and the number at which to
    /// continue.
    pub(super) fn runs(&self, from: u64, count: usize) -> (u64, Vec<Run>) {
        self.state().ring.read(from, count)
    }

    /// Violations of the target's limits.
    pub(super) fn violation(&self) -> Violation {
        self.state().violation.clone()
    }

    /// Discards the recorded runs and violations.
    pub(super) fn clear(&self) {
        let mut state = self.state();
        state.ring.clear();
        state.violation = Violation::new(&self.spec.id);
    }
}

impl Running {
    /// Ends the run as completed; returns false if the target has crashed meanwhile.
    pub(super) fn finish(mut self) -> bool {
        self.close(Outcome::Done) == Some(Outcome::Done)
    }

    /// Records the end of the run once; later calls return `None`.
    fn close(&mut self, outcome: Outcome) -> Option<Outcome> {
        let mut run = self.run.take()?;
        // Uses the monotonic clock, so that a step of the wall clock does not change the duration.
        let ran_us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        run.end_us = run.start_us.saturating_add(ran_us);
        let worker = &self.worker;
        let mut state = worker.state();
        let is_current = state.generation == self.generation;
        run.outcome = if is_current {
            outcome
        } else {
            Outcome::Crashed
        };
        if is_current {
            state.in_flight -= 1;
            state.record_in_flight(Instant::now());
        }
        let outcome = run.outcome;
        if outcome == Outcome::Done {
            state.complete(&worker.spec);
        }
        state.ring.push(run);
        Some(outcome)
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
        if state.generation == self.generation {
            state.connections -= 1;
        }
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        let mut state = self.worker.state();
        if state.generation == self.generation {
            state.active_probes -= 1;
        }
    }
}
