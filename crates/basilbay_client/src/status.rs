//! `basilbay status`: versions in force, states and load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use basilbay_admin::Status;
use basilbay_model::id::{DomainId, InstanceId, ServiceId, Version};
use serde::Serialize;

use crate::fleet::{self, Report};
use crate::output::{Code, Output};
use crate::run::Result;
use crate::table;
use crate::wait::describe;

const HEADER: [&str; 11] = [
    "SCOPE",
    "NAME",
    "DAEMONS",
    "SILENT",
    "CONFIG IN FORCE",
    "BEHIND",
    "STATES",
    "LOAD",
    "QUEUED",
    "SLOWEST",
    "OLDEST ROSTER",
];

/// Columns with numbers.
const NUMBERS: [usize; 7] = [2, 3, 5, 7, 8, 9, 10];

/// Which instances are shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only targets of this service.
    pub service: Option<String>,
    /// Only instances in this failure domain.
    pub domain: Option<String>,
}

impl Filter {
    fn matches(&self, service: &str, domain: &str) -> bool {
        let service_fits = self.service.as_deref().is_none_or(|id| id == service);
        let domain_fits = self.domain.as_deref().is_none_or(|id| id == domain);
        service_fits && domain_fits
    }
}

/// Sums over a part of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// `fleet`, `service` or `domain`.
    pub scope: &'static str,
    /// Id of the service or failure domain; `all` for the fleet.
    pub name: Arc<str>,
    /// Daemons that answered.
    pub daemons: usize,
    /// Daemons that did not answer.
    pub unreachable: usize,
    /// Daemons by configuration version in force; 0 is none.
    pub versions: BTreeMap<Version, usize>,
    /// Daemons behind the newest version in force anywhere in the fleet.
    pub behind: usize,
    /// Daemons by state.
    pub states: BTreeMap<Arc<str>, usize>,
    /// Requests on targets.
    pub in_flight: u64,
    /// Requests that targets are allowed.
    pub limit: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Longest recent service time of a target, in microseconds.
    pub slowest_us: u32,
    /// Age of the oldest roster, in milliseconds.
    pub oldest_roster_ms: u64,
}

/// A daemon that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// The instance.
    pub instance: InstanceId,
    /// Service of its target.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Version that it has in force.
    pub config_version: Version,
}

/// A daemon that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// The instance.
    pub instance: InstanceId,
    /// Service of its target.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address that was asked.
    pub admin: SocketAddr,
    /// Why there is no answer.
    pub reason: Arc<str>,
}

/// All that is shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// Newest configuration version in force anywhere in the fleet.
    pub newest_version: Version,
    /// The fleet, each service and each failure domain.
    pub groups: Vec<Group>,
    /// Daemons behind the newest version.
    pub laggards: Vec<Laggard>,
    /// Daemons that did not answer.
    pub unreachable: Vec<Unreachable>,
    /// Answers of the daemons, without their peers.
    pub daemons: Vec<Status>,
}

/// Sums up the answers of the instances that the filter matches.
pub fn overview(report: &Report, filter: &Filter) -> Overview {
    let newest_version = report
        .statuses
        .iter()
        .map(|status| status.config_version)
        .max()
        .unwrap_or(0);
    let mut groups = BTreeMap::new();
    let mut laggards = Vec::new();
    let daemons: Vec<Status> = report
        .statuses
        .iter()
        .filter(|status| filter.matches(&status.service, &status.domain))
        .map(without_peers)
        .collect();
    for status in &daemons {
        for group in groups_of(&mut groups, &status.service, &status.domain) {
            add(group, status, newest_version);
        }
        if status.config_version < newest_version {
            laggards.push(laggard(status));
        }
    }
    let silent: Vec<&fleet::Unreachable> = report
        .unreachable
        .iter()
        .filter(|silent| filter.matches(&silent.peer.service, &silent.peer.domain))
        .collect();
    for unreachable in &silent {
        let peer = &unreachable.peer;
        for group in groups_of(&mut groups, &peer.service, &peer.domain) {
            group.unreachable += 1;
        }
    }
    Overview {
        newest_version,
        groups: groups.into_values().collect(),
        laggards,
        unreachable: silent.into_iter().map(silent_entry).collect(),
        daemons,
    }
}

fn without_peers(status: &Status) -> Status {
    Status {
        peers: Vec::new(),
        ..status.clone()
    }
}

/// Groups by the order of their scope and by name.
type Groups = BTreeMap<(u8, Arc<str>), Group>;

/// The three groups that an instance belongs to.
fn groups_of<'a>(
    groups: &'a mut Groups,
    service: &Arc<str>,
    domain: &Arc<str>,
) -> impl Iterator<Item = &'a mut Group> {
    let scopes = [
        (0, "fleet", Arc::from("all")),
        (1, "service", service.clone()),
        (2, "domain", domain.clone()),
    ];
    let mut keys = Vec::new();
    for (order, scope, name) in scopes {
        let key = (order, name.clone());
        groups.entry(key.clone()).or_insert_with(|| Group {
            scope,
            name,
            ..Group::default()
        });
        keys.push(key);
    }
    groups
        .iter_mut()
        .filter(move |(key, _)| keys.contains(key))
        .map(|(_, group)| group)
}

fn add(group: &mut Group, status: &Status, newest: Version) {
    group.daemons += 1;
    *group.versions.entry(status.config_version).or_default() += 1;
    *group.states.entry(status.state.clone()).or_default() += 1;
    group.behind += usize::from(status.config_version < newest);
    group.in_flight += u64::from(status.in_flight);
    group.limit += u64::from(status.limit);
    group.queued += u64::from(status.queued);
    group.slowest_us = group.slowest_us.max(status.latency_us);
    group.oldest_roster_ms = group.oldest_roster_ms.max(status.roster_age_ms);
}

fn laggard(status: &Status) -> Laggard {
    Laggard {
        instance: status.instance.clone(),
        service: status.service.clone(),
        domain: status.domain.clone(),
        config_version: status.config_version,
    }
}

fn silent_entry(unreachable: &fleet::Unreachable) -> Unreachable {
    let peer = &unreachable.peer;
    Unreachable {
        instance: peer.instance.clone(),
        service: peer.service.clone(),
        domain: peer.domain.clone(),
        admin: peer.admin,
        reason: unreachable.reason.clone(),
    }
}

/// Shows the fleet.
pub fn output(report: &Report, filter: &Filter, json: bool) -> Result<Output> {
    let overview = overview(report, filter);
    let mut output = Output::default();
    if overview.groups.is_empty() {
        output.code = Code::Failure;
        output.push_error("basilbay: no daemon matches --service and --domain");
    }
    if json {
        output.push_line(&serde_json::to_string_pretty(&overview)?);
        return Ok(output);
    }
    if overview.groups.is_empty() {
        return Ok(output);
    }
    let rows: Vec<Vec<String>> = overview.groups.iter().map(row).collect();
    output.push_line(&table::format(&HEADER, &rows, &NUMBERS));
    details(report, &overview, &mut output);
    Ok(output)
}

fn details(report: &Report, overview: &Overview, output: &mut Output) {
    if !overview.laggards.is_empty() || !overview.unreachable.is_empty() {
        output.push_line("");
    }
    for laggard in &overview.laggards {
        output.push_line(&format!(
            "behind: {} (service {}, domain {}) has {}, newest is version {}",
            laggard.instance,
            laggard.service,
            laggard.domain,
            version(laggard.config_version),
            overview.newest_version
        ));
    }
    let shown = |silent: &&fleet::Unreachable| {
        let instance = &silent.peer.instance;
        overview
            .unreachable
            .iter()
            .any(|entry| entry.instance == *instance)
    };
    for unreachable in report.unreachable.iter().filter(shown) {
        output.push_line(&describe(unreachable));
    }
}

fn row(group: &Group) -> Vec<String> {
    let versions = group
        .versions
        .iter()
        .rev()
        .map(|(number, count)| format!("{}: {count}", short_version(*number)));
    let states = group
        .states
        .iter()
        .map(|(state, count)| format!("{state}: {count}"));
    vec![
        group.scope.to_owned(),
        group.name.to_string(),
        group.daemons.to_string(),
        group.unreachable.to_string(),
        joined(versions),
        group.behind.to_string(),
        joined(states),
        format!("{}/{}", group.in_flight, group.limit),
        group.queued.to_string(),
        milliseconds(group.slowest_us),
        format!("{} ms", group.oldest_roster_ms),
    ]
}

fn joined(parts: impl Iterator<Item = String>) -> String {
    let parts: Vec<String> = parts.collect();
    match parts.is_empty() {
        true => "-".to_owned(),
        false => parts.join(", "),
    }
}

fn short_version(number: Version) -> String {
    match number {
        0 => "none".to_owned(),
        number => format!("v{number}"),
    }
}

fn version(number: Version) -> String {
    match number {
        0 => "no configuration".to_owned(),
        number => format!("version {number}"),
    }
}

fn milliseconds(microseconds: u32) -> String {
    format!("{}.{} ms", microseconds / 1_000, microseconds % 1_000 / 100)
}
