//! Deployments: a configuration, how many workers each service has, and how long requests run.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use basilbay_fakes::targets::spec::ServiceTime;
use basilbay_model::config::Config;
use basilbay_model::id::{DomainId, KindId, ServiceId};

use crate::plan::Stream;

/// Result of reading a deployment.
pub type Result<T> = anyhow::Result<T>;

/// Spread of the logarithm of service times: the slowest of 100 takes about 2.5 medians.
const SIGMA: f64 = 0.4;

/// A service, its workers, and its kinds with their share of calls and median in ms.
pub type Row<'a> = (&'a str, usize, &'a [(&'a str, f64, u64)]);

/// Caroni's sizes of today. The service times are ours: the operators state none.
const CARONI: [Row<'_>; 3] = [
    ("fitfinder", 6, &[("fit-check", 1.0, 50)]),
    ("slotdesk", 4, &[("slots", 0.7, 40), ("booking", 0.3, 100)]),
    (
        "paydesk",
        4,
        &[("payment", 0.6, 120), ("payment-status", 0.4, 120)],
    ),
];

/// Ozolini's sizes of today, with service times of ours.
const OZOLINI: [Row<'_>; 3] = [
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

/// How often a kind of request comes and how long it runs on a warm, quiet target.
///
/// Kinds with the same path share a service time, since a target tells kinds apart by path.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The kind.
    pub kind: KindId,
    /// Its part of the calls of the service, relative to the other kinds.
    pub share: f64,
    /// Its service time.
    pub service_time: ServiceTime,
}

/// The workers of a service.
#[derive(Clone, Debug)]
pub struct Group {
    /// The service.
    pub service: ServiceId,
    /// Number of targets, each with a daemon.
    pub workers: usize,
    /// Service time of each kind.
    pub workloads: Vec<Workload>,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: Arc<str>,
    /// The first configuration as published.
    pub text: Arc<str>,
    /// The same, parsed.
    pub config: Arc<Config>,
    /// Services, sorted by id.
    pub groups: Vec<Group>,
    /// Time for which a probe occupies a slot.
    pub probe_cost: Duration,
    /// Time that a target takes to open a connection.
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
            _ => anyhow::bail!("unknown deployment '{name}'; known are caroni, ozolini"),
        }
    }

    /// A deployment from a configuration, and the workers and kinds of each service.
    pub fn new(name: &str, text: &str, rows: &[Row<'_>]) -> Result<Self> {
        let config = Config::parse(name, text)?;
        let mut groups = Vec::new();
        for (id, workers, kinds) in rows {
            let service = config
                .service(id)
                .with_context(|| format!("{name}: no service {id}"))?;
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
                workers: *workers,
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

    /// The same with other worker counts, one for each service in the order of their ids.
    pub fn with_workers(mut self, workers: &[usize]) -> Self {
        for (group, workers) in self.groups.iter_mut().zip(workers) {
            group.workers = *workers;
        }
        self
    }

    /// The same with one policy for all services.
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

    /// The same with other slots per worker, so that a given load needs fewer calls.
    ///
    /// Targets warm after proportionally fewer answers, so that warming takes as long as before.
    pub fn with_slots(mut self, slots: u32) -> Result<Self> {
        let mut text = self.text.to_string();
        for group in &self.groups {
            let service = self.config.service(&group.service);
            let contract = &service.context("staff of an unknown service")?.contract;
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

    /// The same with service times multiplied by a factor.
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

    /// Weight that the whole deployment can answer in a second when it is just full.
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

    /// The workers of a service.
    pub fn group(&self, service: &str) -> Option<&Group> {
        self.groups.iter().find(|group| &*group.service == service)
    }

    /// Requests that a service can run in a second: workers times slots by mean service time.
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
        group.workers as f64 * f64::from(slots) / mean
    }
}

/// Mean of a log-normal service time.
pub fn mean_seconds(time: ServiceTime) -> f64 {
    time.median_us as f64 / 1e6 * (time.sigma * time.sigma / 2.0).exp()
}

/// Sets a key in a section of an INI text; the section must exist.
pub fn set_key(text: &str, section: &str, key: &str, value: &str) -> String {
    let header = format!("[{section}]");
    let mut lines = Vec::new();
    let mut inside = false;
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            inside = trimmed == header;
            lines.push(line.to_owned());
            if inside {
                lines.push(format!("{key} = {value}"));
            }
            continue;
        }
        let name = trimmed.split('=').next().unwrap_or_default().trim();
        if !(inside && name == key) {
            lines.push(line.to_owned());
        }
    }
    lines.push(String::new());
    lines.join("\n")
}
