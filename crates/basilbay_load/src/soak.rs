//! Soak test: random faults on a fleet of real processes, reproducible from a seed.
//!
//! Each seed generates a scenario: the faults, their times and the load. Several faults follow each
//! other or overlap; all end some time before the load does, so that the last requests show whether
//! the fleet has recovered. The guarantees are audited as in every scenario.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use basilbay_fakes::platform::fault::{self, Faults};
use basilbay_fakes::proxy::fault::{Direction, Faults as PathFaults};
use basilbay_fakes::targets::fault::{Change, Crash, Noise, Straggle};
use basilbay_fakes::targets::response::POISON;
use basilbay_model::id::DomainId;
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::audit::row::Class;
use crate::audit::{Breaches, classify};
use crate::deployment::Deployment;
use crate::plan::Stream;
use crate::scenario::action::Action;
use crate::scenario::verdict::{Check, Limit};
use crate::scenario::{Event, Extra, Scenario};
use crate::trial::Trial;

/// Result of a soak run.
pub type Result<T> = anyhow::Result<T>;

/// Regression seeds, one per line with the cause of the failure; every soak runs them first.
const REGRESSIONS: &str = include_str!("../soak-seeds.txt");

/// Earliest start of a fault.
const FIRST_FAULT_MS: u64 = 500;

/// Time after the last fault in which the fleet may still be recovering; a daemon that starts
/// catches up within four seconds.
const RECOVERY_MS: u64 = 4_500;

/// Time at the end of the load in which the fleet must have recovered.
const RECOVERED_MS: u64 = 1_500;

/// Minimum fraction of the requests after recovery that must be answered in time.
const MIN_RECOVERED_ANSWERED: f64 = 0.95;

/// Upper bound of the duration of a fault.
const MAX_FAULT_MS: u64 = 1_500;

/// Upper bound of the pause of a daemon; a caller of a paused daemon waits that long.
const MAX_PAUSE_MS: u64 = 700;

/// Range of the number of faults of one seed.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 3..=8;

/// Rate of requests that crash their targets, in seeds that have such requests.
const POISON_PER_S: f64 = 0.5;

/// Few slots, so that the fleet and not the machine's CPU is the limit.
const SLOTS_PER_TARGET: u32 = 4;

/// Loads to choose from, as fractions of the capacity; the highest is near the limit.
const LOAD_FRACTIONS: [f64; 4] = [0.2, 0.4, 0.6, 0.85];

/// Result of one seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Generated scenario.
    pub scenario: Scenario,
    /// Violations of the guarantees.
    pub breaches: Breaches,
    /// Checked limits.
    pub checks: Vec<Check>,
}

impl Outcome {
    /// Whether all checks hold.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = if self.holds() { "passed" } else { "FAILED" };
        write!(formatter, "seed {}: {status}", self.seed)?;
        for check in self.checks.iter().filter(|check| !check.holds) {
            write!(formatter, "\n  {}", check.line())?;
        }
        for (name, breach) in self.breaches.named() {
            if breach.count > 0 {
                let examples = breach.examples.join("; ");
                write!(formatter, "\n  {name}: {} ({examples})", breach.count)?;
            }
        }
        Ok(())
    }
}

/// Seeds from `soak-seeds.txt`.
pub fn regressions() -> Vec<u64> {
    let lines = REGRESSIONS.lines().map(str::trim);
    lines
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect()
}

/// Generates the scenario of a seed.
pub fn generate(seed: u64, seconds: f64) -> Result<Scenario> {
    let mut rng = Rng::with_seed(seed);
    let name = *pick(&mut rng, &["caroni", "ozolini"]);
    let deployment = Deployment::builtin(name)?;
    let last_ms = ((seconds * 1000.0) as u64).saturating_sub(RECOVERY_MS + RECOVERED_MS);
    let mut builder = Builder {
        members: deployment.groups.iter().map(|group| group.targets).sum(),
        domains: deployment.domains(),
        last_ms: last_ms.max(FIRST_FAULT_MS + MAX_FAULT_MS),
        events: Vec::new(),
        reserved: Vec::new(),
        rng,
    };
    let count = builder.rng.usize(FAULT_COUNT);
    for _ in 0..count {
        builder.add_fault();
    }
    let has_poison = builder.rng.u8(..4) == 0;
    let load = *pick(&mut builder.rng, &LOAD_FRACTIONS);
    let keyed = *pick(&mut builder.rng, &[0.0, 0.5]);
    Ok(Scenario {
        name: Arc::from(format!("soak-{seed}")),
        about: Arc::from("Random faults generated from a seed."),
        deployment: Arc::from(name),
        slots: Some(SLOTS_PER_TARGET),
        scale: 1.0,
        cold: false,
        proxied: true,
        seconds,
        load,
        keyed,
        body_bytes: *pick(&mut builder.rng, &[0, 0, 2_000, 100_000]),
        http2: builder.rng.bool(),
        grace_ms: 2_000,
        steps: Vec::new(),
        extra: has_poison
            .then(|| poison_stream(&deployment))
            .flatten()
            .into_iter()
            .collect(),
        events: builder.events,
        limits: Limit::default(),
    })
}

/// Runs the scenario of a seed and checks its result.
pub async fn run_seed(seed: u64, seconds: f64) -> Result<Outcome> {
    let scenario = generate(seed, seconds)?;
    let (trial, verdict) = scenario.run(None, seed).await?;
    let mut checks = verdict.checks;
    checks.push(Check::at_least(
        "answered once all is calm",
        recovered_fraction(&trial),
        MIN_RECOVERED_ANSWERED,
    ));
    Ok(Outcome {
        seed,
        scenario,
        breaches: trial.summary.breaches,
        checks,
    })
}

/// Fraction of the requests after recovery that was answered in time; requests with a key are left
/// out, because they may have to wait for a daemon that is old enough to own them.
fn recovered_fraction(trial: &Trial) -> f64 {
    let last = trial.records.iter().map(|record| record.due_us).max();
    let from = last.unwrap_or(0).saturating_sub(RECOVERED_MS * 1000);
    let recovered = trial
        .records
        .iter()
        .filter(|record| record.due_us >= from && record.key.is_none());
    let (mut all, mut answered) = (0_u64, 0_u64);
    for record in recovered {
        let stream = &trial.streams[record.stream];
        if stream.headers.is_empty() {
            all += 1;
            answered += u64::from(classify(record, stream) == Class::Answered);
        }
    }
    if all == 0 {
        return 1.0;
    }
    answered as f64 / all as f64
}

/// Generates the faults of a scenario one after the other; times are in ms from the start of the
/// load.
struct Builder {
    rng: Rng,
    /// Number of members of the fleet.
    members: usize,
    domains: Vec<DomainId>,
    /// Latest end of a fault in ms; a stopped daemon is restarted up to 600 ms later.
    last_ms: u64,
    events: Vec<Event>,
    /// Members that a fault stops or pauses, with the fault's start and end in ms; overlapping
    /// faults of this kind on one member would undo each other.
    reserved: Vec<(usize, u64, u64)>,
}

impl Builder {
    /// Adds one random fault.
    fn add_fault(&mut self) {
        let at = self.rng.u64(FIRST_FAULT_MS..self.last_ms);
        let length = self.rng.u64(100..MAX_FAULT_MS);
        let until = (at + length).min(self.last_ms);
        let member = self.rng.usize(..self.members);
        match self.rng.u8(..14) {
            0 => self.add_stop(member, at, until, Action::Kill(member)),
            1 => self.add_stop(member, at, until, Action::Terminate(member)),
            2 => self.add_pause(member, at, until),
            3 => self.add_path_faults(member, at, until, |rng| PathFaults {
                delay_ms: rng.f64() * 50.0,
                jitter_ms: rng.f64() * 50.0,
                ..PathFaults::default()
            }),
            4 => self.add_path_faults(member, at, until, |_| PathFaults {
                partition: true,
                ..PathFaults::default()
            }),
            5 => self.add_path_faults(member, at, until, |rng| PathFaults {
                half_open: Some(if rng.bool() {
                    Direction::Forward
                } else {
                    Direction::Backward
                }),
                ..PathFaults::default()
            }),
            6 => self.add_path_faults(member, at, until, |rng| PathFaults {
                reset_after_bytes: Some(rng.u64(100..100_000)),
                ..PathFaults::default()
            }),
            7 => self.add_path_faults(member, at, until, |_| PathFaults {
                lose_datagrams: true,
                ..PathFaults::default()
            }),
            8 => self.add_platform_faults(at, until),
            9 => self.add_domain_outage(at, until),
            10 => self.push_event(at, Action::Target(member, crash(until - at))),
            11 => self.push_event(at, Action::Target(member, straggle(until - at))),
            12 => self.add_noise(at, until),
            _ => self.add_cold_reset(member, at),
        }
    }

    fn push_event(&mut self, at_ms: u64, action: Action) {
        self.events.push(Event { at_ms, action });
    }

    /// Reserves a member for a time in ms; returns false if an earlier fault overlaps.
    fn reserve(&mut self, member: usize, at: u64, until: u64) -> bool {
        let mut reserved = self.reserved.iter();
        let overlaps =
            |(other, from, to): &(usize, u64, u64)| *other == member && at <= *to && *from <= until;
        let is_free = !reserved.any(overlaps);
        if is_free {
            self.reserved.push((member, at, until));
        }
        is_free
    }

    fn add_stop(&mut self, member: usize, at: u64, until: u64, action: Action) {
        // Restarts the daemon 600 ms after the end of the fault, so that it has time to shut down.
        let until = until + 600;
        if self.reserve(member, at, until) {
            self.push_event(at, action);
            self.push_event(until, Action::Restart(member));
        }
    }

    fn add_pause(&mut self, member: usize, at: u64, until: u64) {
        let until = until.min(at + MAX_PAUSE_MS);
        if self.reserve(member, at, until) {
            self.push_event(at, Action::Pause(member));
            self.push_event(until, Action::Resume(member));
        }
    }

    fn add_path_faults(
        &mut self,
        member: usize,
        at: u64,
        until: u64,
        faults: impl FnOnce(&mut Rng) -> PathFaults,
    ) {
        let faults = faults(&mut self.rng);
        self.push_event(at, Action::Path(member, faults));
        self.push_event(until, Action::Path(member, PathFaults::default()));
    }

    fn add_platform_faults(&mut self, at: u64, until: u64) {
        let delay_ms = self.rng.u64(..800);
        let faults = Faults {
            config: fault::Config {
                down: self.rng.bool(),
                delay_ms,
                stale_version: self.rng.bool().then_some(1),
            },
            instances: fault::List {
                down: self.rng.bool(),
                delay_ms,
                lag_ms: self.rng.u64(..2_000),
            },
        };
        self.push_event(at, Action::Platform(faults));
        self.push_event(until, Action::Platform(Faults::default()));
    }

    fn add_domain_outage(&mut self, at: u64, until: u64) {
        let index = self.rng.usize(..self.domains.len());
        let domain = self.domains[index].clone();
        self.push_event(at, Action::DomainOut(domain.clone()));
        self.push_event(until, Action::DomainIn(domain));
    }

    fn add_noise(&mut self, at: u64, until: u64) {
        let noise = |factor| Change {
            noise: Some(Noise {
                factor,
                interval_ms: 150.0,
                duration_ms: 30.0,
            }),
            ..Change::default()
        };
        let factor = 2.0 + self.rng.f64() * 6.0;
        self.push_event(at, Action::Targets(noise(factor)));
        self.push_event(until, Action::Targets(noise(1.0)));
    }

    fn add_cold_reset(&mut self, member: usize, at: u64) {
        let change = Change {
            cool: Some(true),
            ..Change::default()
        };
        self.push_event(at, Action::Target(member, change));
    }
}

fn crash(refuse_ms: u64) -> Change {
    Change {
        crash: Some(Crash {
            refuse_ms: Some(refuse_ms),
        }),
        ..Change::default()
    }
}

fn straggle(for_ms: u64) -> Change {
    Change {
        straggle: Some(Straggle {
            factor: 5.0,
            for_ms,
        }),
        ..Change::default()
    }
}

/// Requests that crash each target that runs them. Each has a separate key: daemons treat requests
/// of one kind without key or body as the same request, and would refuse the whole kind.
fn poison_stream(deployment: &Deployment) -> Option<Extra> {
    let streams = Stream::for_deployment(deployment, 1.0, 0.0);
    let stream = streams.into_iter().find(|stream| !stream.idempotent)?;
    Some(Extra {
        service: stream.service,
        kind: stream.kind,
        rate: POISON_PER_S,
        keyed: 1.0,
        body_bytes: 0,
        headers: BTreeMap::from([(Arc::from(POISON), Arc::from("1"))]),
    })
}

fn pick<'a, T>(rng: &mut Rng, choices: &'a [T]) -> &'a T {
    &choices[rng.usize(..choices.len())]
}
