//! Parsing of INI text into a validated [`Config`].
//!
//! Input is the content of a file; output is the configuration, or a [`Report`] with every finding.
//! One function per section type reads its values through a [`Reader`], which substitutes the
//! default for an invalid value, so that the checks across sections run despite earlier findings.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use super::{Config, Limits, MAX_CONFIG_BYTES, Result, check, range};
use crate::domain::{Domain, State};
use crate::finding::{Finding, Report};
use crate::id::{KindId, Serial, Version};
use crate::ini::{self, Document, Reader, Section};
use crate::kind::Kind;
use crate::route::{Destination, Route};
use crate::service::{Contract, LimitRule, Policy, Service};

/// Keywords of the state of a domain or service.
pub(super) const STATES: [(&str, State); 2] = [("in", State::In), ("out", State::Out)];

/// Keywords of the load-balancing policies.
pub(super) const POLICIES: [(&str, Policy); 5] = [
    ("basilbay", Policy::Basilbay),
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
    ("least-in-flight", Policy::LeastInFlight),
    ("two-choices", Policy::TwoChoices),
];

/// Keywords of the limit rules.
pub(super) const LIMIT_RULES: [(&str, LimitRule); 2] = [
    ("adaptive", LimitRule::Adaptive),
    ("fixed", LimitRule::Fixed),
];

/// Largest number of sections in a file. 70 services need a few hundred; lookups are linear, so a
/// file with many thousands of sections would take seconds to check.
pub const MAX_SECTIONS: usize = 4_096;

/// Weight of a kind without `weight`.
const DEFAULT_WEIGHT: u32 = 1;

/// Maximum number of targets that may run a request, for a route without `attempts`.
const DEFAULT_ATTEMPTS: u32 = 2;

/// Deadline of a kind or route without `deadline_ms`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// Parses and checks the bytes of a configuration file.
pub fn bytes(file: &str, bytes: &[u8]) -> Result<Config> {
    let mut report = Report::default();
    match ini::decode(file, bytes, &mut report) {
        Some(text) => config(file, text),
        None => Err(report),
    }
}

/// Parses and checks a configuration file.
pub fn config(file: &str, text: &str) -> Result<Config> {
    let mut report = Report::default();
    if text.len() > MAX_CONFIG_BYTES {
        let message = format!("{} bytes; at most {MAX_CONFIG_BYTES}", text.len());
        report.push(file_finding(file, "size", message));
        return Err(report);
    }
    let document = Document::parse(file, text, &mut report);
    if document.sections.len() > MAX_SECTIONS {
        let message = format!(
            "{} sections; at most {MAX_SECTIONS}",
            document.sections.len()
        );
        report.push(file_finding(file, "sections", message));
        report.sort();
        return Err(report);
    }
    document.check_sections(
        &["basilbay", "limits"],
        &["domain", "service", "kind", "route"],
        &mut report,
    );
    let (version, serial) = version(&document, &mut report);
    let limits = limits(&document, &mut report);
    let domains = domains(&document, &mut report);
    let mut services = services(&document, &mut report);
    kinds(&document, &mut services, &mut report);
    let routes = routes(&document, &services, &mut report);
    check_services(&document, &services, &routes, &mut report);
    check::deadlines(&document, &services, limits.key_retention, &mut report);
    if domains.is_empty() {
        let message = "no [domain ID] section".to_owned();
        report.push(file_finding(file, "no-domain", message));
    }
    report.sort();
    if !report.is_clean() {
        return Err(report);
    }
    Ok(Config {
        version,
        serial,
        domains,
        services,
        routes,
        limits,
    })
}

fn file_finding(file: &str, rule: &'static str, message: String) -> Finding {
    Finding {
        file: Arc::from(file),
        line: 0,
        section: Arc::from(""),
        key: Arc::from(""),
        rule,
        message,
    }
}

fn section_finding(
    document: &Document,
    section: &Section,
    rule: &'static str,
    message: String,
) -> Finding {
    document.finding(section.line, &section.name, "", rule, message)
}

fn version(document: &Document, report: &mut Report) -> (Version, Serial) {
    let Some(section) = document.required_section("basilbay", report) else {
        return (0, 0);
    };
    let mut reader = Reader::new(document, section, report);
    let version = reader.required_bounded("version", range::VERSION);
    let serial = reader.bounded("serial", 0, range::SERIAL);
    reader.finish();
    (version.unwrap_or(0), serial)
}

fn limits(document: &Document, report: &mut Report) -> Limits {
    let default = Limits::default();
    let Some(section) = document.section("limits") else {
        return default;
    };
    let mut reader = Reader::new(document, section, report);
    let limits = Limits {
        retry_percent: reader.bounded("retry_percent", default.retry_percent, range::RETRY_PERCENT),
        allowance: reader.bounded("allowance", default.allowance, range::ALLOWANCE),
        key_retention: reader.bounded_millis(
            "key_retention_ms",
            default.key_retention,
            range::KEY_RETENTION_MS,
        ),
        key_memory_bytes: reader.bounded(
            "key_memory_bytes",
            default.key_memory_bytes,
            range::KEY_MEMORY_BYTES,
        ),
        retry_slack: reader
            .has("retry_slack")
            .then(|| reader.bounded("retry_slack", 0, range::RETRY_SLACK)),
        retry_window: reader.bounded_millis(
            "retry_window_ms",
            default.retry_window,
            range::RETRY_WINDOW_MS,
        ),
        header_bytes: reader.bounded("header_bytes", default.header_bytes, range::HEADER_BYTES),
        body_bytes: reader.bounded("body_bytes", default.body_bytes, range::BODY_BYTES),
        header_timeout: reader.bounded_millis(
            "header_timeout_ms",
            default.header_timeout,
            range::HEADER_TIMEOUT_MS,
        ),
        idle_timeout: reader.bounded_millis(
            "idle_timeout_ms",
            default.idle_timeout,
            range::IDLE_TIMEOUT_MS,
        ),
    };
    reader.finish();
    limits
}

fn domains(document: &Document, report: &mut Report) -> Vec<Domain> {
    let mut domains = Vec::new();
    for section in document.sections_of_type("domain") {
        let id = section.split_name().1;
        if let Some(message) = check::plain_id(id).filter(|_| !id.is_empty()) {
            report.push(section_finding(document, section, "id", message));
        }
        let mut reader = Reader::new(document, section, report);
        let domain = Domain {
            id: Arc::from(id),
            region: region(&mut reader),
            state: reader.choice("state", &STATES, State::In),
        };
        reader.finish();
        domains.push(domain);
    }
    domains.sort_by(|left, right| left.id.cmp(&right.id));
    domains
}

fn region(reader: &mut Reader<'_>) -> Arc<str> {
    let Some(region) = reader.optional_text("region") else {
        return Arc::from("");
    };
    if let Some(message) = check::plain_id(&region) {
        reader.add_finding("region", "id", message);
    }
    region
}

fn services(document: &Document, report: &mut Report) -> Vec<Service> {
    let mut services = Vec::new();
    for section in document.sections_of_type("service") {
        let id = section.split_name().1;
        check::service_id(document, section, id, report);
        let mut reader = Reader::new(document, section, report);
        let service = Service {
            id: Arc::from(id),
            state: reader.choice("state", &STATES, State::In),
            policy: reader.choice("policy", &POLICIES, Policy::Basilbay),
            contract: contract(&mut reader),
            kinds: Vec::new(),
        };
        reader.finish();
        services.push(service);
    }
    services.sort_by(|left, right| left.id.cmp(&right.id));
    services
}

/// Reads the contract of a service's targets.
pub fn contract(reader: &mut Reader<'_>) -> Contract {
    let default = Contract::default();
    let probe_cost_us = u64::try_from(default.probe_cost.as_micros()).unwrap_or(u64::MAX);
    let contract = Contract {
        slots: reader.bounded("slots", default.slots, range::SLOTS),
        connections: reader.bounded("connections", default.connections, range::CONNECTIONS),
        queue: reader.bounded("queue", default.queue, range::QUEUE),
        cold_slots: reader.bounded("cold_slots", default.cold_slots, range::COLD_SLOTS),
        warm_after: reader.bounded("warm_after", default.warm_after, range::WARM_AFTER),
        probe_permille: reader.bounded(
            "probe_permille",
            default.probe_permille,
            range::PROBE_PERMILLE,
        ),
        probe_cost: Duration::from_micros(reader.bounded(
            "probe_cost_us",
            probe_cost_us,
            range::PROBE_COST_US,
        )),
        remote_cost: Duration::from_micros(reader.bounded(
            "remote_cost_us",
            u64::try_from(default.remote_cost.as_micros()).unwrap_or(u64::MAX),
            range::REMOTE_COST_US,
        )),
        slow_percent: reader.bounded("slow_percent", default.slow_percent, range::SLOW_PERCENT),
        min_probe_interval: reader.bounded_millis(
            "probe_gap_ms",
            default.min_probe_interval,
            range::PROBE_GAP_MS,
        ),
        cold_rate: reader.bounded("cold_rate", default.cold_rate, range::COLD_RATE),
        cold_duration: reader.bounded_millis("cold_ms", default.cold_duration, range::COLD_MS),
        limit: reader.choice("limit", &LIMIT_RULES, default.limit),
        limit_percent: reader.bounded("limit_percent", default.limit_percent, range::LIMIT_PERCENT),
        health_path: reader.optional_text("health_path"),
    };
    if let Some(path) = &contract.health_path {
        check::path(reader, "health_path", path);
    }
    let slots = contract.slots;
    if contract.connections < slots {
        let message = format!("{} is less than slots ({slots})", contract.connections);
        reader.add_finding("connections", "connections", message);
    }
    if contract.cold_slots > slots {
        let message = format!("{} is more than slots ({slots})", contract.cold_slots);
        reader.add_finding("cold_slots", "cold-slots", message);
    }
    contract
}

fn kinds(document: &Document, services: &mut [Service], report: &mut Report) {
    for section in document.sections_of_type("kind") {
        let name = section.split_name().1;
        let (service, id) = name.split_once('/').unwrap_or((name, ""));
        let kind = kind(document, section, KindId::from(id), report);
        if name.is_empty() {
            continue;
        }
        if service.is_empty() || id.is_empty() {
            let message = "needs service and name, as in [kind SERVICE/NAME]".to_owned();
            report.push(section_finding(document, section, "kind-id", message));
            continue;
        }
        if let Some(message) = check::plain_id(id) {
            report.push(section_finding(document, section, "id", message));
        }
        let index = services.binary_search_by(|candidate| (*candidate.id).cmp(service));
        match index.ok().and_then(|index| services.get_mut(index)) {
            Some(service) => service.kinds.push(kind),
            None => {
                let message = format!("no [service {service}] in this file");
                report.push(section_finding(document, section, "kind-service", message));
            }
        }
    }
    for service in services {
        sort_kinds(&mut service.kinds);
    }
}

/// Sorts kinds in match order: the longest path first, and among equal paths the kind of all
/// methods last, as the fallback for the methods that the others do not match.
fn sort_kinds(kinds: &mut [Kind]) {
    kinds.sort_by(|left, right| {
        let sort_key = |kind: &Kind| (Reverse(kind.path.len()), kind.methods.is_empty());
        sort_key(left)
            .cmp(&sort_key(right))
            .then_with(|| left.path.cmp(&right.path))
            .then_with(|| left.id.cmp(&right.id))
    });
}

fn kind(document: &Document, section: &Section, id: KindId, report: &mut Report) -> Kind {
    let mut reader = Reader::new(document, section, report);
    let path = reader.required_text("path");
    let mut methods = reader.words("methods");
    methods.sort();
    let kind = Kind {
        id,
        path,
        methods,
        weight: reader.bounded("weight", DEFAULT_WEIGHT, range::WEIGHT),
        idempotent: reader.flag("idempotent", false),
        timeout: reader.bounded_millis("deadline_ms", DEFAULT_DEADLINE, range::DEADLINE_MS),
    };
    check::path(&mut reader, "path", &kind.path);
    check::methods(&mut reader, &kind.methods);
    reader.finish();
    kind
}

fn routes(document: &Document, services: &[Service], report: &mut Report) -> Vec<Route> {
    let mut routes = Vec::new();
    let mut matches = Vec::new();
    for section in document.sections_of_type("route") {
        let id = section.split_name().1;
        if let Some(message) = check::plain_id(id).filter(|_| !id.is_empty()) {
            report.push(section_finding(document, section, "id", message));
        }
        let mut reader = Reader::new(document, section, report);
        let route = route(&mut reader, id, services);
        reader.finish();
        matches.push((route.host.clone(), route.path.clone(), section));
        routes.push(route);
    }
    matches.sort_by(|left, right| (&left.0, &left.1).cmp(&(&right.0, &right.1)));
    for pair in matches.windows(2) {
        let [(host, path, first), (other_host, other_path, second)] = pair else {
            continue;
        };
        if host == other_host && path == other_path && first.name != second.name {
            let message = format!("same host and path as {}", first.name);
            report.push(section_finding(
                document,
                second,
                "duplicate-route",
                message,
            ));
        }
    }
    sort_routes(&mut routes);
    routes
}

/// Sorts routes in match order: by host, then with the longest path first.
pub fn sort_routes(routes: &mut [Route]) {
    routes.sort_by(|left, right| {
        left.host
            .cmp(&right.host)
            .then_with(|| right.path.len().cmp(&left.path.len()))
            .then_with(|| left.path.cmp(&right.path))
    });
}

fn route(reader: &mut Reader<'_>, id: &str, services: &[Service]) -> Route {
    let host = Arc::from(reader.required_text("host").to_ascii_lowercase());
    check::host(reader, &host);
    let path = reader.required_text("path");
    check::path(reader, "path", &path);
    if !path.is_empty() && !path.ends_with('/') {
        let message = "the path of a route must end with /".to_owned();
        reader.add_finding("path", "path", message);
    }
    let timeout = reader.bounded_millis("deadline_ms", DEFAULT_DEADLINE, range::DEADLINE_MS);
    Route {
        id: Arc::from(id),
        host,
        path,
        destinations: destinations(reader, services),
        idempotent: reader.flag("idempotent", false),
        timeout,
        goal: reader.bounded_millis("goal_ms", timeout, range::GOAL_MS),
        priority: reader.bounded("priority", 0, range::PRIORITY),
        attempts: reader.bounded("attempts", DEFAULT_ATTEMPTS, range::ATTEMPTS),
    }
}

fn destinations(reader: &mut Reader<'_>, services: &[Service]) -> Vec<Destination> {
    if !reader.has("services") {
        reader.required_text("services");
        return Vec::new();
    }
    let mut destinations: Vec<Destination> = Vec::new();
    for word in reader.words("services") {
        let (service, weight) = word.split_once(':').unwrap_or((&word, "1"));
        let weight = match weight.parse::<u32>() {
            Ok(weight) if range::DESTINATION_WEIGHT.contains(&weight) => weight,
            _ => {
                let end = range::DESTINATION_WEIGHT.end();
                let message = format!("'{word}' is not SERVICE:WEIGHT with a weight of 0 to {end}");
                reader.add_finding("services", "value", message);
                continue;
            }
        };
        if services
            .binary_search_by(|candidate| (*candidate.id).cmp(service))
            .is_err()
        {
            let message = format!("no [service {service}] in this file");
            reader.add_finding("services", "route-service", message);
        }
        if destinations
            .iter()
            .any(|destination| *destination.service == *service)
        {
            let message = format!("'{service}' is listed twice");
            reader.add_finding("services", "route-service", message);
            continue;
        }
        let service = Arc::from(service);
        destinations.push(Destination { service, weight });
    }
    if !destinations.is_empty()
        && destinations
            .iter()
            .all(|destination| destination.weight == 0)
    {
        let message = "at least one service needs a weight above 0".to_owned();
        reader.add_finding("services", "value", message);
    }
    if destinations.len() > *range::DESTINATIONS.end() {
        let message = format!(
            "{} services; at most {}",
            destinations.len(),
            range::DESTINATIONS.end()
        );
        reader.add_finding("services", "range", message);
    }
    destinations
}

fn check_services(
    document: &Document,
    services: &[Service],
    routes: &[Route],
    report: &mut Report,
) {
    for service in services {
        check::kinds(document, service, report);
        let id = &service.id;
        // With routes, a service without kinds is valid: routes may have been moved away from it.
        if !service.kinds.is_empty() || !routes.is_empty() {
            continue;
        }
        let Some(section) = document.section(&format!("service {id}")) else {
            continue;
        };
        let message = format!("no [kind {id}/NAME] section, so no request matches the service");
        report.push(section_finding(document, section, "no-kind", message));
    }
    if services.is_empty() {
        let message = "no [service ID] section".to_owned();
        report.push(file_finding(&document.file, "no-service", message));
    }
}
