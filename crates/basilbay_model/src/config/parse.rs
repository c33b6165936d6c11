//! From INI text to a checked [`Config`].

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use super::{Config, Limits, MAX_CONFIG_BYTES, Result};
use crate::domain::{Domain, State};
use crate::finding::{Finding, Report};
use crate::id::{KindId, ServiceId};
use crate::ini::{Document, Reader, Section};
use crate::kind::Kind;
use crate::service::{Contract, Policy, Service};

const STATES: [(&str, State); 2] = [("in", State::In), ("out", State::Out)];

const POLICIES: [(&str, Policy); 5] = [
    ("basilbay", Policy::Basilbay),
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
    ("least-in-flight", Policy::LeastInFlight),
    ("two-choices", Policy::TwoChoices),
];

const ANSWERS: [(&str, bool); 2] = [("yes", true), ("no", false)];

const SECTION_WORDS: [&str; 5] = ["basilbay", "limits", "domain", "service", "kind"];

/// Reads and checks a configuration file.
pub fn config(file: &str, text: &str) -> Result<Config> {
    let mut report = Report::default();
    if text.len() > MAX_CONFIG_BYTES {
        report.push(whole_file(
            file,
            "size",
            format!("{} bytes; at most {MAX_CONFIG_BYTES}", text.len()),
        ));
        return Err(report);
    }
    let document = Document::parse(file, text, &mut report);
    check_section_names(&document, &mut report);
    let version = version(&document, &mut report);
    let limits = limits(&document, &mut report);
    let domains = domains(&document, &mut report);
    let mut services = services(&document, &mut report);
    kinds(&document, &mut services, &mut report);
    check_services(&document, &services, &mut report);
    if domains.is_empty() {
        report.push(whole_file(
            file,
            "no-domain",
            "no [domain ID] section".to_owned(),
        ));
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
    Finding {
        file: document.file.clone(),
        line: section.line,
        section: section.name.clone(),
        key: Arc::from(""),
        rule,
        message,
    }
}

fn check_section_names(document: &Document, report: &mut Report) {
    for section in &document.sections {
        let (word, id) = section.split_name();
        let named = matches!(word, "domain" | "service" | "kind");
        if !SECTION_WORDS.contains(&word) {
            let known = SECTION_WORDS.join(", ");
            let message = format!("unknown section; known are {known}");
            report.push(at_section(document, section, "unknown-section", message));
        } else if named && id.is_empty() {
            let message = format!("needs an id, as in [{word} ID]");
            report.push(at_section(document, section, "section-id", message));
        }
    }
}

fn version(document: &Document, report: &mut Report) -> u64 {
    let Some(section) = document.section("basilbay") else {
        let message = "no [basilbay] section with the version".to_owned();
        report.push(whole_file(&document.file, "no-version", message));
        return 0;
    };
    let mut reader = Reader::new(document, section, report);
    let version = reader.required("version").unwrap_or(0);
    if version == 0 {
        reader.found("version", "version", "must be 1 or more".to_owned());
    }
    reader.finish();
    version
}

fn limits(document: &Document, report: &mut Report) -> Limits {
    let mut limits = Limits::default();
    let Some(section) = document.section("limits") else {
        return limits;
    };
    let mut reader = Reader::new(document, section, report);
    limits.retry_percent = reader.value("retry_percent", limits.retry_percent);
    if limits.retry_percent > 100 {
        reader.found("retry_percent", "range", "must be 0 to 100".to_owned());
    }
    limits.allowance = reader.value("allowance", limits.allowance);
    limits.key_retention = reader.millis("key_retention_ms", limits.key_retention);
    limits.key_memory_bytes = reader.value("key_memory_bytes", limits.key_memory_bytes);
    reader.finish();
    limits
}

fn domains(document: &Document, report: &mut Report) -> Vec<Domain> {
    let mut domains = Vec::new();
    for section in document.sections_of("domain") {
        let mut reader = Reader::new(document, section, report);
        domains.push(Domain {
            id: Arc::from(section.split_name().1),
            region: reader
                .optional_text("region")
                .unwrap_or_else(|| Arc::from("")),
            state: reader.choice("state", &STATES, State::In),
        });
        reader.finish();
    }
    domains.sort_by(|left, right| left.id.cmp(&right.id));
    domains
}

fn services(document: &Document, report: &mut Report) -> Vec<Service> {
    let mut services = Vec::new();
    for section in document.sections_of("service") {
        let mut reader = Reader::new(document, section, report);
        let service = Service {
            id: Arc::from(section.split_name().1),
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
    let contract = Contract {
        slots: reader.value("slots", default.slots),
        connections: reader.value("connections", default.connections),
        queue: reader.value("queue", default.queue),
        cold_slots: reader.value("cold_slots", default.cold_slots),
        warm_after: reader.value("warm_after", default.warm_after),
        probe_permille: reader.value("probe_permille", default.probe_permille),
        probe_cost: Duration::from_micros(
            reader.value("probe_cost_us", default.probe_cost.as_micros() as u64),
        ),
    };
    if contract.slots == 0 {
        reader.found("slots", "range", "must be 1 or more".to_owned());
    }
    if contract.connections < contract.slots {
        reader.found(
            "connections",
            "range",
            format!("must be at least slots ({})", contract.slots),
        );
    }
    if contract.cold_slots == 0 || contract.cold_slots > contract.slots {
        reader.found(
            "cold_slots",
            "range",
            format!("must be 1 to slots ({})", contract.slots),
        );
    }
    if contract.probe_permille > 1000 {
        reader.found("probe_permille", "range", "must be 0 to 1000".to_owned());
    }
    contract
}

fn kinds(document: &Document, services: &mut [Service], report: &mut Report) {
    for section in document.sections_of("kind") {
        let name = section.split_name().1;
        let Some((service, id)) = name.split_once('/') else {
            let message = "needs service and name, as in [kind SERVICE/NAME]".to_owned();
            report.push(at_section(document, section, "kind-id", message));
            continue;
        };
        let kind = kind(document, section, KindId::from(id), report);
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
        service
            .kinds
            .sort_by_key(|kind| (Reverse(kind.path.len()), kind.id.clone()));
    }
}

fn kind(document: &Document, section: &Section, id: KindId, report: &mut Report) -> Kind {
    let mut reader = Reader::new(document, section, report);
    let methods = reader
        .optional_text("methods")
        .unwrap_or_else(|| Arc::from(""));
    let mut methods: Vec<Arc<str>> = methods.split_whitespace().map(Arc::from).collect();
    methods.sort();
    let kind = Kind {
        id,
        path: reader.text("path"),
        methods,
        weight: reader.value("weight", 1),
        idempotent: reader.choice("idempotent", &ANSWERS, false),
        timeout: reader.millis("deadline_ms", Duration::from_secs(2)),
    };
    if !kind.path.starts_with('/') {
        reader.found("path", "path", "must start with /".to_owned());
    }
    if kind.weight == 0 {
        reader.found("weight", "range", "must be 1 or more".to_owned());
    }
    if kind.timeout.is_zero() {
        reader.found("deadline_ms", "range", "must be 1 or more".to_owned());
    }
    reader.finish();
    kind
}

fn check_services(document: &Document, services: &[Service], report: &mut Report) {
    let without_kinds: Vec<&ServiceId> = services
        .iter()
        .filter(|service| service.kinds.is_empty())
        .map(|service| &service.id)
        .collect();
    for id in without_kinds {
        let name = format!("service {id}");
        if let Some(section) = document.section(&name) {
            let message = format!("no [kind {id}/NAME] section, so no request belongs to it");
            report.push(at_section(document, section, "no-kind", message));
        }
    }
    if services.is_empty() {
        let message = "no [service ID] section".to_owned();
        report.push(whole_file(&document.file, "no-service", message));
    }
}
