//! From INI text to a checked [`Config`].

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use super::{Config, Limits, MAX_CONFIG_BYTES, Result, check, range};
use crate::domain::{Domain, State};
use crate::finding::{Finding, Report};
use crate::id::KindId;
use crate::ini::{self, Document, Reader, Section};
use crate::kind::Kind;
use crate::service::{Contract, Policy, Service};

/// Words for the state of a domain or service.
pub(super) const STATES: [(&str, State); 2] = [("in", State::In), ("out", State::Out)];

/// Words for the policies.
pub(super) const POLICIES: [(&str, Policy); 5] = [
    ("basilbay", Policy::Basilbay),
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
    ("least-in-flight", Policy::LeastInFlight),
    ("two-choices", Policy::TwoChoices),
];

/// Sections of a file. 70 services need some hundred; look-ups are linear, so that a file of many
/// thousand sections would take seconds to check.
pub const MAX_SECTIONS: usize = 4_096;

/// Weight of a kind that states none.
const DEFAULT_WEIGHT: u32 = 1;

/// Deadline of a kind that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

/// Reads and checks the bytes of a configuration file.
pub fn bytes(file: &str, bytes: &[u8]) -> Result<Config> {
    let mut report = Report::default();
    match ini::decode(file, bytes, &mut report) {
        Some(text) => config(file, text),
        None => Err(report),
    }
}

/// Reads and checks a configuration file.
pub fn config(file: &str, text: &str) -> Result<Config> {
    let mut report = Report::default();
    if text.len() > MAX_CONFIG_BYTES {
        let message = format!("{} bytes; at most {MAX_CONFIG_BYTES}", text.len());
        report.push(whole_file(file, "size", message));
        return Err(report);
    }
    let document = Document::parse(file, text, &mut report);
    if document.sections.len() > MAX_SECTIONS {
        let message = format!(
            "{} sections; at most {MAX_SECTIONS}",
            document.sections.len()
        );
        report.push(whole_file(file, "sections", message));
        report.sort();
        return Err(report);
    }
    document.check_sections(
        &["basilbay", "limits"],
        &["domain", "service", "kind"],
        &mut report,
    );
    let version = version(&document, &mut report);
    let limits = limits(&document, &mut report);
    let domains = domains(&document, &mut report);
    let mut services = services(&document, &mut report);
    kinds(&document, &mut services, &mut report);
    check_services(&document, &services, &mut report);
    check::deadlines(&document, &services, limits.key_retention, &mut report);
    if domains.is_empty() {
        let message = "no [domain ID] section".to_owned();
        report.push(whole_file(file, "no-domain", message));
    }
    report.sort();
    if !report.is_clean() {
        return Err(report);
    }
    Ok(Config {
        version,
        domains,
        services,
        limits,
    })
}

fn whole_file(file: &str, rule: &'static str, message: String) -> Finding {
    Finding {
        file: Arc::from(file),
        line: 0,
        section: Arc::from(""),
        key: Arc::from(""),
        rule,
        message,
    }
}

fn at_section(
    document: &Document,
    section: &Section,
    rule: &'static str,
    message: String,
) -> Finding {
    document.finding(section.line, &section.name, "", rule, message)
}

fn version(document: &Document, report: &mut Report) -> u64 {
    let Some(section) = document.required_section("basilbay", report) else {
        return 0;
    };
    let mut reader = Reader::new(document, section, report);
    let version = reader.required_bounded("version", range::VERSION);
    reader.finish();
    version.unwrap_or(0)
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
        key_retention: reader.millis_within(
            "key_retention_ms",
            default.key_retention,
            range::KEY_RETENTION_MS,
        ),
        key_memory_bytes: reader.bounded(
            "key_memory_bytes",
            default.key_memory_bytes,
            range::KEY_MEMORY_BYTES,
        ),
    };
    reader.finish();
    limits
}

fn domains(document: &Document, report: &mut Report) -> Vec<Domain> {
    let mut domains = Vec::new();
    for section in document.sections_of("domain") {
        let id = section.split_name().1;
        if let Some(message) = check::plain_id(id).filter(|_| !id.is_empty()) {
            report.push(at_section(document, section, "id", message));
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
        reader.found("region", "id", message);
    }
    region
}

fn services(document: &Document, report: &mut Report) -> Vec<Service> {
    let mut services = Vec::new();
    for section in document.sections_of("service") {
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

fn contract(reader: &mut Reader<'_>) -> Contract {
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
    };
    let slots = contract.slots;
    if contract.connections < slots {
        let message = format!("{} is less than slots ({slots})", contract.connections);
        reader.found("connections", "connections", message);
    }
    if contract.cold_slots > slots {
        let message = format!("{} is more than slots ({slots})", contract.cold_slots);
        reader.found("cold_slots", "cold-slots", message);
    }
    contract
}

fn kinds(document: &Document, services: &mut [Service], report: &mut Report) {
    for section in document.sections_of("kind") {
        let name = section.split_name().1;
        let (service, id) = name.split_once('/').unwrap_or((name, ""));
        let kind = kind(document, section, KindId::from(id), report);
        if name.is_empty() {
            continue;
        }
        if service.is_empty() || id.is_empty() {
            let message = "needs service and name, as in [kind SERVICE/NAME]".to_owned();
            report.push(at_section(document, section, "kind-id", message));
            continue;
        }
        if let Some(message) = check::plain_id(id) {
            report.push(at_section(document, section, "id", message));
        }
        let index = services.binary_search_by(|known| (*known.id).cmp(service));
        match index.ok().and_then(|index| services.get_mut(index)) {
            Some(service) => service.kinds.push(kind),
            None => {
                let message = format!("no [service {service}] in this file");
                report.push(at_section(document, section, "kind-service", message));
            }
        }
    }
    for service in services {
        sort_kinds(&mut service.kinds);
    }
}

/// Puts kinds in the order in which requests are matched: the longest path first, and of the same
/// path the kind of all methods last, so that it takes what the others leave.
fn sort_kinds(kinds: &mut [Kind]) {
    kinds.sort_by(|left, right| {
        let order = |kind: &Kind| (Reverse(kind.path.len()), kind.methods.is_empty());
        order(left)
            .cmp(&order(right))
            .then_with(|| left.path.cmp(&right.path))
            .then_with(|| left.id.cmp(&right.id))
    });
}

fn kind(document: &Document, section: &Section, id: KindId, report: &mut Report) -> Kind {
    let mut reader = Reader::new(document, section, report);
    let path = reader.text("path");
    let mut methods = reader.words("methods");
    methods.sort();
    let kind = Kind {
        id,
        path,
        methods,
        weight: reader.bounded("weight", DEFAULT_WEIGHT, range::WEIGHT),
        idempotent: reader.answer("idempotent", false),
        timeout: reader.millis_within("deadline_ms", DEFAULT_DEADLINE, range::DEADLINE_MS),
    };
    check::path(&mut reader, &kind.path);
    check::methods(&mut reader, &kind.methods);
    reader.finish();
    kind
}

fn check_services(document: &Document, services: &[Service], report: &mut Report) {
    for service in services {
        check::kinds(document, service, report);
        let id = &service.id;
        if !service.kinds.is_empty() {
            continue;
        }
        let Some(section) = document.section(&format!("service {id}")) else {
            continue;
        };
        let message = format!("no [kind {id}/NAME] section, so no request belongs to it");
        report.push(at_section(document, section, "no-kind", message));
    }
    if services.is_empty() {
        let message = "no [service ID] section".to_owned();
        report.push(whole_file(&document.file, "no-service", message));
    }
}
