//! Specification of a target, as in the JSON file of the command `targets`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::{Context, ensure};
use basilbay_model::id::{InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

/// Log-normal service time on a target that is warm and not slowed down.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Median of the service time.
    pub median_us: u64,
    /// Standard deviation of the natural logarithm; 0 gives all requests the median.
    #[serde(default)]
    pub sigma: f64,
}

/// A kind of request that a target runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Path prefix of the kind's requests; the longest matching prefix applies.
    pub path: Arc<str>,
    /// Distribution of the kind's service time.
    pub service_time: ServiceTime,
}

/// Behaviour of a target until it is warm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Maximum number of concurrent requests of a cold target; more run slower and count as
    /// violations.
    pub slots: u32,
    /// Factor on the service time of a cold target.
    pub factor: f64,
    /// Completed requests after which the target is warm; 0 means that it is never cold.
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

/// Specification of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Instance id.
    pub id: InstanceId,
    /// Loopback address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Concurrent requests that a warm target runs without slowing down.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Largest number of open connections; further ones are closed at once.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Kinds of request; a path without a matching kind is 404.
    pub kinds: Vec<Kind>,
    /// Behaviour until the target is warm.
    #[serde(default)]
    pub cold: Cold,
    /// Delay after accepting a connection before its first request is read.
    #[serde(default)]
    pub open_delay_us: u64,
    /// How long a `GET /load` occupies a slot; 0 for not at all.
    #[serde(default)]
    pub probe_cost_us: u64,
    /// How long connections are refused after a crash, unless the crash sets `refuse_ms`.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
    /// Caller address of this target's daemon, through which the target calls the next service of a
    /// call chain; with `None`, such calls fail.
    #[serde(default)]
    pub entry: Option<SocketAddr>,
    /// Seed of the service times and of the noise.
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
    /// Creates a target on a free port, with one kind of constant service time for all paths.
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

    /// Returns the kind with the longest matching prefix; `None` if no prefix matches.
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
    serde_json::from_slice(&text).with_context(|| format!("cannot parse {}", file.display()))
}

/// Returns an error for a list with duplicate ids or invalid values.
pub fn check(targets: &[Target]) -> anyhow::Result<()> {
    let mut ids: Vec<&str> = targets.iter().map(|target| &*target.id).collect();
    ids.sort_unstable();
    ids.dedup();
    ensure!(ids.len() == targets.len(), "target ids are not unique");
    for target in targets {
        ensure!(
            target.slots > 0,
            "target {}: slots must be at least 1",
            target.id
        );
        ensure!(
            target.cold.slots > 0,
            "target {}: cold.slots must be at least 1",
            target.id
        );
        ensure!(
            target.cold.factor > 0.0,
            "target {}: cold.factor must be positive, but is {}",
            target.id,
            target.cold.factor
        );
    }
    Ok(())
}
