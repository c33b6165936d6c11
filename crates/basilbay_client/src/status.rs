//! `basilbay status`: aggregates the statuses of all daemons by fleet, service and failure domain,
//! and lists daemons that lag behind or do not respond.

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
use crate::wait::describe_unreachable;

/// Column headers.
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

/// Right-aligned columns, as indices into [`HEADER`].
const NUMERIC_COLUMNS: [usize; 7] = [2, 3, 5, 7, 8, 9, 10];

/// Selects the instances to show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Service of the targets; `None` selects all.
    pub service: Option<String>,
    /// Failure domain of the instances; `None` selects all.
    pub domain: Option<String>,
}

impl Filter {
    fn matches(&self, service: &str, domain: &str) -> bool {
        let service_matches = self.service.as_deref().is_none_or(|id| id == service);
        let domain_matches = self.domain.as_deref().is_none_or(|id| id == domain);
        service_matches && domain_matches
    }
}

/// Totals of the fleet, a service or a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// What is aggregated: `fleet`, `service` or `domain`.
    pub scope: &'static str,
    /// Id of the service or failure domain; `all` for the fleet.
    pub name: Arc<str>,
    /// Number of daemons that responded.
    pub daemons: usize,
    /// Number of daemons that did not respond.
    pub unreachable: usize,
    /// Number of daemons by active configuration version; version 0 means none.
    pub versions: BTreeMap<Version, usize>,
    /// Number of daemons with an older version than the newest in the fleet.
    pub behind: usize,
    /// Number of daemons by state.
    pub states: BTreeMap<Arc<str>, usize>,
    /// Requests in flight on the targets.
    pub in_flight: u64,
    /// Sum of the concurrency limits of the targets.
    pub limit: u64,
    /// Requests queued in the daemons.
    pub queued: u64,
    /// Longest recent service time of any target, in microseconds.
    pub slowest_us: u32,
    /// Age of the oldest roster of any daemon, in milliseconds.
    pub oldest_roster_ms: u64,
}

/// A daemon with an older configuration version than the newest in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Service of the daemon's target.
    pub service: ServiceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Active configuration version of the daemon; 0 when there is none.
    pub config_version: Version,
}

/// A daemon that did not respond.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Service of the daemon's target.
    pub service: ServiceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Admin address that was queried.
    pub admin: SocketAddr,
    /// Why there is no response.
    pub reason: Arc<str>,
}

/// Aggregated view of the fleet, as written by `--json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// Newest active configuration version of any daemon, including those that the filter leaves
    /// out; 0 when there is none.
    pub newest_version: Version,
    /// Totals of the fleet, each service and each failure domain, in this order.
    pub groups: Vec<Group>,
    /// Daemons with an older version than the newest.
    pub laggards: Vec<Laggard>,
    /// Daemons that did not respond.
    pub unreachable: Vec<Unreachable>,
    /// Statuses of the daemons, without their peers.
    pub daemons: Vec<Status>,
}

/// Aggregates the statuses of the instances that match the filter.
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
            add_status(group, status, newest_version);
        }
        if status.config_version < newest_version {
            laggards.push(laggard(status));
        }
    }
    let unreachable: Vec<&fleet::Unreachable> = report
        .unreachable
        .iter()
        .filter(|daemon| filter.matches(&daemon.peer.service, &daemon.peer.domain))
        .collect();
    for daemon in &unreachable {
        let peer = &daemon.peer;
        for group in groups_of(&mut groups, &peer.service, &peer.domain) {
            group.unreachable += 1;
        }
    }
    Overview {
        newest_version,
        groups: groups.into_values().collect(),
        laggards,
        unreachable: unreachable.into_iter().map(unreachable_entry).collect(),
        daemons,
    }
}

fn without_peers(status: &Status) -> Status {
    Status {
        peers: Vec::new(),
        ..status.clone()
    }
}

/// Groups, sorted by scope (0 fleet, 1 service, 2 failure domain) and name.
type Groups = BTreeMap<(u8, Arc<str>), Group>;

/// Returns the three groups that an instance belongs to, created if necessary.
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

fn add_status(group: &mut Group, status: &Status, newest: Version) {
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

fn unreachable_entry(unreachable: &fleet::Unreachable) -> Unreachable {
    let peer = &unreachable.peer;
    Unreachable {
        instance: peer.instance.clone(),
        service: peer.service.clone(),
        domain: peer.domain.clone(),
        admin: peer.admin,
        reason: unreachable.reason.clone(),
    }
}

/// Renders the statuses. The code is [`Code::Failure`] if no daemon matches the filter.
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
    output.push_line(&table::format(&HEADER, &rows, &NUMERIC_COLUMNS));
    push_details(report, &overview, &mut output);
    Ok(output)
}

fn push_details(report: &Report, overview: &Overview, output: &mut Output) {
    if !overview.laggards.is_empty() || !overview.unreachable.is_empty() {
        output.push_line("");
    }
    for laggard in &overview.laggards {
        output.push_line(&format!(
            "behind: {} (service {}, domain {}) has {}, newest is version {}",
            laggard.instance,
            laggard.service,
            laggard.domain,
            long_version(laggard.config_version),
            overview.newest_version
        ));
    }
    let is_shown = |daemon: &&fleet::Unreachable| {
        let instance = &daemon.peer.instance;
        overview
            .unreachable
            .iter()
            .any(|entry| entry.instance == *instance)
    };
    for unreachable in report.unreachable.iter().filter(is_shown) {
        output.push_line(&describe_unreachable(unreachable));
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
        join_or_dash(versions),
        group.behind.to_string(),
        join_or_dash(states),
        format!("{}/{}", group.in_flight, group.limit),
        group.queued.to_string(),
        milliseconds(group.slowest_us),
        format!("{} ms", group.oldest_roster_ms),
    ]
}

fn join_or_dash(parts: impl Iterator<Item = String>) -> String {
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

fn long_version(number: Version) -> String {
    match number {
        0 => "no configuration".to_owned(),
        number => format!("version {number}"),
    }
}

fn milliseconds(microseconds: u32) -> String {
    format!("{}.{} ms", microseconds / 1_000, microseconds % 1_000 / 100)
}
