//! Deployments: a configuration with the number of targets and the service times of each service.
//!
//! The built-in deployments use the example configurations. Capacities are calculated from targets,
//! slots and mean service times.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use basilbay_fakes::targets::spec::ServiceTime;
use basilbay_model::config::Config;
use basilbay_model::id::{DomainId, KindId, ServiceId};

use crate::plan::Stream;

/// Result of building a deployment.
pub type Result<T> = anyhow::Result<T>;

/// Sigma of the log-normal service times: the 99th percentile is about 2.5 medians.
const SIGMA: f64 = 0.4;

/// Service id, number of targets, and per kind its id, share of calls and median service time in
/// ms.
pub type Spec<'a> = (&'a str, usize, &'a [(&'a str, f64, u64)]);

/// Caroni's deployment of today. Its operators state no service times; these are assumptions.
const CARONI: [Spec<'_>; 3] = [
    ("fitfinder", 6, &[("fit-check", 1.0, 50)]),
    ("slotdesk", 4, &[("slots", 0.7, 40), ("booking", 0.3, 100)]),
    (
        "paydesk",
        4,
        &[("payment", 0.6, 120), ("payment-status", 0.4, 120)],
    ),
];

/// Ozolini's deployment of today; the service times are assumptions.
const OZOLINI: [Spec<'_>; 3] = [
    ("rota-desk", 6, &[("rota", 1.0, 50)]),
    (
        "orders-house",
        4,
        &[("order", 0.5, 100), ("order-status", 0.5, 100)],
    ),
    (
        "press-room",
        4,
        &[("batch", 0.4, 120), ("batch-status", 0.6, 120)],
    ),
];

/// Frequency and service time of a kind of request on a warm target without noise.
///
/// Kinds with the same path must have the same service time, since a target distinguishes kinds by
/// path.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Id of the kind.
    pub kind: KindId,
    /// Relative frequency among the kinds of the service.
    pub share: f64,
    /// Distribution of the service time.
    pub service_time: ServiceTime,
}

/// Targets of a service and their workload.
#[derive(Clone, Debug)]
pub struct Group {
    /// Id of the service.
    pub service: ServiceId,
    /// Number of targets, each with a daemon.
    pub targets: usize,
    /// Workload of each kind.
    pub workloads: Vec<Workload>,
}

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: Arc<str>,
    /// Text of the initial configuration.
    pub text: Arc<str>,
    /// Parsed form of `text`.
    pub config: Arc<Config>,
    /// Target groups, sorted by service id.
    pub groups: Vec<Group>,
    /// Time for which a health probe occupies a slot of a target.
    pub probe_cost: Duration,
    /// Time that a target takes to accept a connection.
    pub open_delay: Duration,
    /// Whether targets start cold.
    pub starts_cold: bool,
    /// Whether daemons reach each other through a fault-injecting proxy.
    pub proxied: bool,
}

impl Deployment {
    /// A built-in deployment: `caroni` or `ozolini`.
    pub fn builtin(name: &str) -> Result<Self> {
        match name {
            "caroni" => Self::new(name, include_str!("../../../examples/caroni.ini"), &CARONI),
            "ozolini" => Self::new(
                name,
                include_str!("../../../examples/ozolini.ini"),
                &OZOLINI,
            ),
            _ => anyhow::bail!("unknown deployment '{name}'; expected caroni or ozolini"),
        }
    }

    /// Builds a deployment from a configuration text and the targets and kinds of each service.
    pub fn new(name: &str, text: &str, specs: &[Spec<'_>]) -> Result<Self> {
        let config = Config::parse(name, text)?;
        let mut groups = Vec::new();
        for (id, targets, kinds) in specs {
            let service = config.service(id).with_context(|| {
                format!("deployment {name}: the configuration has no service '{id}'")
            })?;
            let workloads = kinds.iter().map(|(kind, share, median_ms)| Workload {
                kind: KindId::from(*kind),
                share: *share,
                service_time: ServiceTime {
                    median_us: median_ms * 1000,
                    sigma: SIGMA,
                },
            });
            groups.push(Group {
                service: service.id.clone(),
                targets: *targets,
                workloads: workloads.collect(),
            });
        }
        groups.sort_by(|left, right| left.service.cmp(&right.service));
        Ok(Self {
            name: Arc::from(name),
            text: Arc::from(text),
            config: Arc::new(config),
            groups,
            probe_cost: Duration::from_millis(6),
            open_delay: Duration::from_millis(1),
            starts_cold: false,
            proxied: false,
        })
    }

    /// Replaces the target counts; one for each service, sorted by service id.
    pub fn with_targets(mut self, targets: &[usize]) -> Self {
        for (group, targets) in self.groups.iter_mut().zip(targets) {
            group.targets = *targets;
        }
        self
    }

    /// Sets one load balancing policy for all services.
    pub fn with_policy(mut self, policy: &str) -> Result<Self> {
        let mut text = self.text.to_string();
        for group in &self.groups {
            text = set_key(
                &text,
                &format!("service {}", group.service),
                "policy",
                policy,
            );
        }
        self.config = Arc::new(Config::parse(&self.name, &text)?);
        self.text = Arc::from(text);
        Ok(self)
    }

    /// Sets the slots per target; with fewer slots a given load needs fewer calls.
    ///
    /// `warm_after` is scaled by the same ratio, so that warm-up takes as long as before.
    pub fn with_slots(mut self, slots: u32) -> Result<Self> {
        let mut text = self.text.to_string();
        for group in &self.groups {
            let service = self.config.service(&group.service);
            let contract = &service
                .with_context(|| {
                    format!("target group of the unknown service '{}'", group.service)
                })?
                .contract;
            let warm_after = contract.warm_after * slots / contract.slots;
            let section = format!("service {}", group.service);
            for (key, value) in [
                ("slots", slots),
                ("queue", slots),
                ("cold_slots", contract.cold_slots.min(slots)),
                ("warm_after", warm_after),
            ] {
                text = set_key(&text, &section, key, &value.to_string());
            }
        }
        self.config = Arc::new(Config::parse(&self.name, &text)?);
        self.text = Arc::from(text);
        Ok(self)
    }

    /// Multiplies all service times by a factor.
    pub fn scaled(mut self, factor: f64) -> Self {
        for workload in self
            .groups
            .iter_mut()
            .flat_map(|group| &mut group.workloads)
        {
            workload.service_time.median_us =
                (workload.service_time.median_us as f64 * factor) as u64;
        }
        self
    }

    /// Total weight per second that the deployment can run at full load.
    pub fn weight_capacity(&self) -> f64 {
        let streams = Stream::for_deployment(self, 1.0, 0.0);
        let weights = streams
            .iter()
            .map(|stream| stream.rate * f64::from(stream.weight));
        weights.sum()
    }

    /// Ids of the failure domains.
    pub fn domains(&self) -> Vec<DomainId> {
        let domains = self.config.domains.iter();
        domains.map(|domain| domain.id.clone()).collect()
    }

    /// Target group of a service; `None` for an unknown service.
    pub fn group(&self, service: &str) -> Option<&Group> {
        self.groups.iter().find(|group| &*group.service == service)
    }

    /// Requests per second that a service can run: targets times slots divided by the mean service
    /// time; 0 for an unknown service.
    pub fn capacity(&self, service: &str) -> f64 {
        let Some(group) = self.group(service) else {
            return 0.0;
        };
        let slots = self
            .config
            .service(service)
            .map_or(0, |service| service.contract.slots);
        let shares: f64 = group.workloads.iter().map(|workload| workload.share).sum();
        let total = group
            .workloads
            .iter()
            .map(|workload| workload.share * mean_seconds(workload.service_time));
        let mean = total.sum::<f64>() / shares;
        group.targets as f64 * f64::from(slots) / mean
    }
}

/// Mean of a log-normal service time, in seconds.
pub fn mean_seconds(time: ServiceTime) -> f64 {
    time.median_us as f64 / 1e6 * (time.sigma * time.sigma / 2.0).exp()
}

/// Sets a key in an existing section of an INI text.
pub fn set_key(text: &str, section: &str, key: &str, value: &str) -> String {
    let header = format!("[{section}]");
    let mut lines = Vec::new();
    let mut in_section = false;
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            in_section = trimmed == header;
            lines.push(line.to_owned());
            if in_section {
                lines.push(format!("{key} = {value}"));
            }
            continue;
        }
        let name = trimmed.split('=').next().unwrap_or_default().trim();
        if !(in_section && name == key) {
            lines.push(line.to_owned());
        }
    }
    lines.push(String::new());
    lines.join("\n")
}
