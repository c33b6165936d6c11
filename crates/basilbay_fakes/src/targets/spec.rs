//! What a target is, as written in the JSON file of the command `targets`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::{Context, ensure};
use basilbay_model::id::{InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

/// Log-normal time that a request runs on a warm, quiet target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Median in microseconds.
    pub median_us: u64,
    /// Standard deviation of the logarithm; 0 makes all requests equal.
    #[serde(default)]
    pub sigma: f64,
}

/// A kind of request that a target runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Prefix of the paths that belong to it; the longest match wins.
    pub path: Arc<str>,
    /// How long it runs.
    pub service_time: ServiceTime,
}

/// How a target behaves until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Requests that it bears at the same time.
    pub slots: u32,
    /// How much slower it runs.
    pub factor: f64,
    /// Completions after which it is warm; 0 starts it warm.
    pub warm_after: u32,
}

impl Default for Cold {
    fn default() -> Self {
        Self {
            slots: 2,
            factor: 4.0,
            warm_after: 200,
        }
    }
}

/// A target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its instance id.
    pub id: InstanceId,
    /// Loopback address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Requests it runs at the same time without slowing down.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections it accepts; more are closed at once.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Kinds of request; a path that belongs to none is 404.
    pub kinds: Vec<Kind>,
    /// Behaviour of a cold target.
    #[serde(default)]
    pub cold: Cold,
    /// Time from the start of a connection until its first request is read.
    #[serde(default)]
    pub open_delay_us: u64,
    /// Time for which `GET /load` occupies one slot.
    #[serde(default)]
    pub probe_cost_us: u64,
    /// Time for which connections are refused after a crash that names no other.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
    /// Address for callers of the daemon beside it; needed for call chains.
    #[serde(default)]
    pub entry: Option<SocketAddr>,
    /// Seed of service times and noise.
    #[serde(default)]
    pub seed: u64,
}

fn default_slots() -> u32 {
    18
}

fn default_connections() -> u32 {
    240
}

fn default_restart_ms() -> u64 {
    200
}

impl Target {
    /// A target with one kind for all paths, on a free port.
    pub fn new(id: &str, service: &str, median_us: u64) -> Self {
        Self {
            id: InstanceId::from(id),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: ServiceId::from(service),
            slots: default_slots(),
            connections: default_connections(),
            kinds: vec![Kind {
                path: Arc::from("/"),
                service_time: ServiceTime {
                    median_us,
                    sigma: 0.0,
                },
            }],
            cold: Cold::default(),
            open_delay_us: 0,
            probe_cost_us: 0,
            restart_ms: default_restart_ms(),
            entry: None,
            seed: 1,
        }
    }

    /// The kind that a path belongs to.
    pub fn kind(&self, path: &str) -> Option<&Kind> {
        self.kinds
            .iter()
            .filter(|kind| path.starts_with(&*kind.path))
            .max_by_key(|kind| kind.path.len())
    }
}

/// Reads the list of targets from a JSON file.
pub fn read(file: &Path) -> anyhow::Result<Vec<Target>> {
    let text = std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
    serde_json::from_slice(&text).with_context(|| file.display().to_string())
}

/// Refuses lists that cannot run.
pub fn check(targets: &[Target]) -> anyhow::Result<()> {
    let mut ids: Vec<&str> = targets.iter().map(|target| &*target.id).collect();
    ids.sort_unstable();
    ids.dedup();
    ensure!(ids.len() == targets.len(), "two targets have the same id");
    for target in targets {
        ensure!(target.slots > 0, "target {}: slots is 0", target.id);
        ensure!(
            target.cold.slots > 0,
            "target {}: cold.slots is 0",
            target.id
        );
        ensure!(
            target.cold.factor > 0.0,
            "target {}: cold.factor is not positive",
            target.id
        );
    }
    Ok(())
}
