//! Scenarios: a deployment, its load, timed events, and the limits that must hold.
//!
//! Running a scenario starts a fleet, sends the load while the events are applied, audits the
//! outcomes and checks the limits.
//!
//! The files under `scenarios/` are built in and found by name; other files are found by path.

pub mod action;
pub mod catalogue;
pub mod verdict;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use serde::{Deserialize, Serialize};

use crate::client::{Generator, Settings};
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::plan::{Plan, Step, Stream};
use crate::trial::{self, Trial};
use action::Action;
use verdict::{Limit, Verdict};

/// Result of loading or running a scenario.
pub type Result<T> = anyhow::Result<T>;

/// Seed of the arrivals of round 0; each further round adds 1.
const BASE_SEED: u64 = 20_261_204;

/// An action at a given time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Milliseconds from the start of the load.
    pub at_ms: u64,
    /// Action to apply.
    #[serde(rename = "act")]
    pub action: Action,
}

/// Requests in addition to those of the deployment's workload.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extra {
    /// Id of the service.
    pub service: Arc<str>,
    /// Id of the kind.
    pub kind: Arc<str>,
    /// Requests per second.
    pub rate: f64,
    /// Fraction of the requests that carry a key.
    #[serde(default)]
    pub keyed: f64,
    /// Size of each response body after its JSON.
    #[serde(default)]
    pub body_bytes: usize,
    /// Additional request headers.
    #[serde(default)]
    pub headers: BTreeMap<Arc<str>, Arc<str>>,
}

/// A scenario, as its JSON file defines it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: Arc<str>,
    /// One-line description.
    pub about: Arc<str>,
    /// Name of a built-in deployment.
    pub deployment: Arc<str>,
    /// Slots per target; `None` keeps those of the configuration.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Factor on all service times.
    #[serde(default = "default_scale")]
    pub scale: f64,
    /// Whether all targets start cold.
    #[serde(default)]
    pub cold: bool,
    /// Whether daemons reach each other through a fault-injecting proxy.
    #[serde(default)]
    pub proxied: bool,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Load as a fraction of the capacity.
    pub load: f64,
    /// Fraction of the non-idempotent requests that carry a key.
    #[serde(default)]
    pub keyed: f64,
    /// Size of each response body after its JSON.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether callers use HTTP/2.
    #[serde(default)]
    pub http2: bool,
    /// Time after the deadline for which callers still wait for a response.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Steps of the load, repeated; constant load if empty.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Additional requests.
    #[serde(default)]
    pub extra: Vec<Extra>,
    /// Timed events.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Limits that must hold in addition to the guarantees.
    #[serde(default)]
    pub limits: Limit,
}

fn default_scale() -> f64 {
    1.0
}

fn default_grace_ms() -> u64 {
    1_000
}

impl Scenario {
    /// Loads a built-in scenario by name, or reads a file.
    pub fn find(name: &str) -> Result<Self> {
        let text = match catalogue::text(name) {
            Some(text) => text.to_owned(),
            None => std::fs::read_to_string(name).with_context(|| {
                format!(
                    "no built-in scenario or readable file '{name}'; built-in scenarios: {}",
                    catalogue::names()
                )
            })?,
        };
        serde_json::from_str(&text).with_context(|| format!("invalid scenario {name}"))
    }

    /// Deployment of the scenario, optionally with one policy for all services.
    pub fn deployment(&self, policy: Option<&str>) -> Result<Deployment> {
        let mut deployment = Deployment::builtin(&self.deployment)?.scaled(self.scale);
        if let Some(slots) = self.slots {
            deployment = deployment.with_slots(slots)?;
        }
        if let Some(policy) = policy {
            deployment = deployment.with_policy(policy)?;
        }
        deployment.starts_cold = self.cold;
        deployment.proxied = self.proxied;
        Ok(deployment)
    }

    /// Generates the load plan; each round has different arrivals.
    pub fn plan(&self, deployment: &Deployment, round: u64) -> Result<Plan> {
        let mut streams = Stream::for_deployment(deployment, self.load, self.keyed);
        for stream in &mut streams {
            stream.body_bytes = self.body_bytes;
        }
        for extra in &self.extra {
            let is_same_kind =
                |stream: &&Stream| stream.service == extra.service && stream.kind == extra.kind;
            let base = streams.iter().find(is_same_kind).with_context(|| {
                format!(
                    "extra requests of kind {}/{}, which the deployment does not have",
                    extra.service, extra.kind
                )
            })?;
            streams.push(Stream {
                rate: extra.rate,
                keyed_fraction: extra.keyed,
                body_bytes: extra.body_bytes,
                headers: extra.headers.clone().into_iter().collect(),
                ..base.clone()
            });
        }
        let duration = Duration::from_secs_f64(self.seconds);
        Ok(Plan::generate(
            streams,
            duration,
            &self.steps,
            BASE_SEED + round,
        ))
    }

    /// Starts a fleet and a load generator, and warms the targets up unless the scenario is about
    /// cold targets.
    pub async fn prepare(&self, policy: Option<&str>) -> Result<(Fleet, Generator)> {
        let mut fleet = Fleet::start(self.deployment(policy)?).await?;
        let mut settings = Settings::new(&self.name);
        settings.http2 = self.http2;
        settings.grace = Duration::from_millis(self.grace_ms);
        let mut generator = Generator::connect(settings, &fleet.caller_addresses()).await?;
        if !self.cold {
            trial::warm_up(&mut fleet, &mut generator).await?;
        }
        fleet.wait_for_key_ownership().await;
        Ok((fleet, generator))
    }

    /// Runs one round on a prepared fleet.
    pub async fn run_on(
        &self,
        fleet: &mut Fleet,
        generator: &mut Generator,
        round: u64,
    ) -> Result<(Trial, Verdict)> {
        let plan = self.plan(&fleet.deployment, round)?;
        generator.set_prefix(&format!("{}-{round}", self.name));
        let run_events = async |fleet: &mut Fleet| action::run_all(fleet, &self.events).await;
        let trial = trial::run(fleet, generator, &plan, run_events).await?;
        let verdict = Verdict::new(
            &self.limits,
            &trial.summary,
            &fleet.deployment,
            self.seconds,
        );
        Ok((trial, verdict))
    }

    /// Runs one round on a separate fleet.
    pub async fn run(&self, policy: Option<&str>, round: u64) -> Result<(Trial, Verdict)> {
        let (mut fleet, mut generator) = self.prepare(policy).await?;
        let result = self.run_on(&mut fleet, &mut generator, round).await?;
        drop(generator);
        fleet.stop();
        Ok(result)
    }
}
