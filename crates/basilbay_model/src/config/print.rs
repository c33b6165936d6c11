//! Rendering of a configuration as INI text.
//!
//! Every key is written, including defaults. Durations are truncated to the unit of their key,
//! which loses nothing for a parsed configuration.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::parse::{LIMIT_RULES, POLICIES, STATES};
use super::{Config, Limits};
use crate::domain::{Domain, State};
use crate::kind::Kind;
use crate::route::Route;
use crate::service::{Contract, Policy, Service};

/// A section with its keys and values, as written to a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name in brackets.
    pub name: Arc<str>,
    /// Keys with their values, in output order.
    pub entries: Vec<(&'static str, String)>,
}

/// Returns all sections: the version, the limits, then domains, services with their kinds, and
/// routes.
pub fn sections(config: &Config) -> Vec<Section> {
    let mut entries = vec![("version", config.version.to_string())];
    if config.serial > 0 {
        entries.push(("serial", config.serial.to_string()));
    }
    let mut sections = vec![section("basilbay", entries), limits_section(&config.limits)];
    sections.extend(config.domains.iter().map(domain_section));
    for service in &config.services {
        sections.push(service_section(service));
        sections.extend(service.kinds.iter().map(|kind| kind_section(service, kind)));
    }
    sections.extend(config.routes.iter().map(route_section));
    sections
}

/// Writes a configuration as INI text.
pub fn write(config: &Config, out: &mut dyn fmt::Write) -> fmt::Result {
    for (index, section) in sections(config).iter().enumerate() {
        if index > 0 {
            writeln!(out)?;
        }
        writeln!(out, "[{}]", section.name)?;
        for (key, value) in &section.entries {
            writeln!(out, "{key} = {value}")?;
        }
    }
    Ok(())
}

fn section(name: &str, entries: Vec<(&'static str, String)>) -> Section {
    Section {
        name: Arc::from(name),
        entries,
    }
}

fn limits_section(limits: &Limits) -> Section {
    let mut entries = vec![
        ("retry_percent", limits.retry_percent.to_string()),
        ("allowance", limits.allowance.to_string()),
        (
            "key_retention_ms",
            limits.key_retention.as_millis().to_string(),
        ),
        ("key_memory_bytes", limits.key_memory_bytes.to_string()),
        ("retry_window_ms", millis(limits.retry_window)),
        ("header_bytes", limits.header_bytes.to_string()),
        ("body_bytes", limits.body_bytes.to_string()),
        ("header_timeout_ms", millis(limits.header_timeout)),
        ("idle_timeout_ms", millis(limits.idle_timeout)),
    ];
    if let Some(slack) = limits.retry_slack {
        entries.push(("retry_slack", slack.to_string()));
    }
    section("limits", entries)
}

fn domain_section(domain: &Domain) -> Section {
    let mut entries = Vec::new();
    if !domain.region.is_empty() {
        entries.push(("region", domain.region.to_string()));
    }
    entries.push(("state", state(domain.state)));
    section(&format!("domain {}", domain.id), entries)
}

fn service_section(service: &Service) -> Section {
    let mut entries = vec![
        ("state", state(service.state)),
        ("policy", policy(service.policy)),
    ];
    entries.extend(contract_entries(&service.contract));
    section(&format!("service {}", service.id), entries)
}

fn contract_entries(contract: &Contract) -> Vec<(&'static str, String)> {
    let mut entries = vec![
        ("slots", contract.slots.to_string()),
        ("connections", contract.connections.to_string()),
        ("queue", contract.queue.to_string()),
        ("cold_slots", contract.cold_slots.to_string()),
        ("warm_after", contract.warm_after.to_string()),
        ("probe_permille", contract.probe_permille.to_string()),
        ("probe_cost_us", contract.probe_cost.as_micros().to_string()),
        (
            "remote_cost_us",
            contract.remote_cost.as_micros().to_string(),
        ),
        ("slow_percent", contract.slow_percent.to_string()),
        ("probe_gap_ms", millis(contract.min_probe_interval)),
        ("cold_rate", contract.cold_rate.to_string()),
        ("cold_ms", millis(contract.cold_duration)),
        ("limit", keyword(&LIMIT_RULES, contract.limit)),
        ("limit_percent", contract.limit_percent.to_string()),
    ];
    if let Some(path) = &contract.health_path {
        entries.push(("health_path", path.to_string()));
    }
    entries
}

fn route_section(route: &Route) -> Section {
    let destinations: Vec<String> = route
        .destinations
        .iter()
        .map(|destination| format!("{}:{}", destination.service, destination.weight))
        .collect();
    let idempotent = if route.idempotent { "yes" } else { "no" };
    let entries = vec![
        ("host", route.host.to_string()),
        ("path", route.path.to_string()),
        ("services", destinations.join(" ")),
        ("idempotent", idempotent.to_owned()),
        ("deadline_ms", millis(route.timeout)),
        ("goal_ms", millis(route.goal)),
        ("priority", route.priority.to_string()),
        ("attempts", route.attempts.to_string()),
    ];
    section(&format!("route {}", route.id), entries)
}

fn millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

fn kind_section(service: &Service, kind: &Kind) -> Section {
    let mut entries = vec![("path", kind.path.to_string())];
    if !kind.methods.is_empty() {
        entries.push(("methods", kind.methods.join(" ")));
    }
    let idempotent = if kind.idempotent { "yes" } else { "no" };
    entries.push(("weight", kind.weight.to_string()));
    entries.push(("idempotent", idempotent.to_owned()));
    entries.push(("deadline_ms", kind.timeout.as_millis().to_string()));
    section(&format!("kind {}/{}", service.id, kind.id), entries)
}

fn state(state: State) -> String {
    keyword(&STATES, state)
}

fn policy(policy: Policy) -> String {
    keyword(&POLICIES, policy)
}

fn keyword<T: Copy + PartialEq>(keywords: &[(&str, T)], value: T) -> String {
    keywords
        .iter()
        .find(|(_, candidate)| *candidate == value)
        .map_or_else(String::new, |(keyword, _)| (*keyword).to_owned())
}
