//! Checks of ids, hosts, paths, methods and deadlines, and of conflicts between kinds.
//!
//! The parser calls these functions for rules beyond the type and range of a single value. Most add
//! their findings to the report; `plain_id` returns a message instead, because the id is a section
//! name in some calls and the value of a key in others.

use std::sync::Arc;
use std::time::Duration;

use super::range;
use crate::finding::Report;
use crate::ini::{Document, Reader, Section};
use crate::kind::Kind;
use crate::service::Service;

/// Checks the id of a service, which must be a host name because callers put it in `Host`.
pub(super) fn service_id(document: &Document, section: &Section, id: &str, report: &mut Report) {
    let has_valid_labels = id.split('.').all(|label| {
        !label.is_empty()
            && !label.starts_with('-')
            && !label.ends_with('-')
            && label
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
    });
    if id.is_empty() || (has_valid_labels && range::ID_LENGTH.contains(&id.len())) {
        return;
    }
    let message = format!(
        "'{id}' cannot be a host name: lower-case letters, digits and inner hyphens, at most {} \
         characters",
        range::ID_LENGTH.end()
    );
    report.push(document.finding(section.line, &section.name, "", "id", message));
}

/// Checks the id of a domain, region, kind or route; returns the message for an invalid one.
pub(super) fn plain_id(id: &str) -> Option<String> {
    let has_valid_bytes = id
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if has_valid_bytes && range::ID_LENGTH.contains(&id.len()) {
        return None;
    }
    Some(format!(
        "'{id}' is not an id: ASCII letters, digits, '-', '_' and '.', from 1 to {} characters",
        range::ID_LENGTH.end()
    ))
}

/// Checks the host of a route, which is already in lower case.
pub(super) fn host(reader: &mut Reader<'_>, host: &str) {
    let has_valid_bytes = host
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if host.is_empty() || (has_valid_bytes && range::HOST_LENGTH.contains(&host.len())) {
        return;
    }
    let end = range::HOST_LENGTH.end();
    let message = format!("'{host}' is not a host name of at most {end} characters");
    reader.add_finding("host", "host", message);
}

/// Checks the path prefix of a kind or route, or the health path of a target.
pub(super) fn path(reader: &mut Reader<'_>, key: &'static str, path: &str) {
    if path.is_empty() {
        return;
    }
    let has_valid_bytes = path
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
    if path.starts_with('/') && has_valid_bytes && range::PATH_LENGTH.contains(&path.len()) {
        return;
    }
    let message = format!(
        "must start with / and be visible ASCII without ? and #, at most {} characters",
        range::PATH_LENGTH.end()
    );
    reader.add_finding(key, "path", message);
}

/// Checks the methods of a kind, which are sorted.
pub(super) fn methods(reader: &mut Reader<'_>, methods: &[Arc<str>]) {
    for method in methods {
        let is_valid = method
            .bytes()
            .all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        if !is_valid {
            let message = format!("'{method}' is not a method in upper-case letters");
            reader.add_finding("methods", "method", message);
        }
    }
    let mut pairs = methods.iter().zip(methods.iter().skip(1));
    if let Some((method, _)) = pairs.find(|(left, right)| left == right) {
        let message = format!("'{method}' is listed twice");
        reader.add_finding("methods", "method", message);
    }
}

/// Checks that no deadline exceeds the key retention.
pub(super) fn deadlines(
    document: &Document,
    services: &[Service],
    retention: Duration,
    report: &mut Report,
) {
    let kinds = services
        .iter()
        .flat_map(|service| service.kinds.iter().map(move |kind| (service, kind)));
    for (service, kind) in kinds.filter(|(_, kind)| kind.timeout > retention) {
        let message = format!(
            "{} ms is longer than key_retention_ms ({})",
            kind.timeout.as_millis(),
            retention.as_millis()
        );
        let name = format!("kind {}/{}", service.id, kind.id);
        let Some(section) = document.section(&name) else {
            continue;
        };
        let line = section
            .entry("deadline_ms")
            .map_or(section.line, |entry| entry.line);
        report.push(document.finding(line, &name, "deadline_ms", "retention", message));
    }
}

/// Checks the kinds of a service for conflicts.
///
/// A longer path always takes precedence, so only kinds with the same path can conflict.
pub(super) fn kinds(document: &Document, service: &Service, report: &mut Report) {
    let mut rest = service.kinds.as_slice();
    while let Some(first) = rest.first() {
        let count = rest
            .iter()
            .take_while(|kind| kind.path == first.path)
            .count();
        let (group, others) = rest.split_at(count);
        check_group(document, service, group, report);
        rest = others;
    }
}

/// Checks the kinds of one path, in match order.
fn check_group(document: &Document, service: &Service, group: &[Kind], report: &mut Report) {
    for (index, kind) in group.iter().enumerate() {
        let earlier = group.get(..index).unwrap_or_default();
        let Some((rule, message)) = conflict(kind, earlier) else {
            continue;
        };
        let name = format!("kind {}/{}", service.id, kind.id);
        let line = document.section(&name).map_or(0, |section| section.line);
        report.push(document.finding(line, &name, "", rule, message));
    }
}

/// Returns the violated rule and a message if the kind conflicts with `earlier` kinds of its path.
fn conflict(kind: &Kind, earlier: &[Kind]) -> Option<(&'static str, String)> {
    // Two kinds with the same id are reported as a duplicate section.
    if earlier.iter().any(|other| other.id == kind.id) {
        return None;
    }
    if let Some(other) = earlier.iter().find(|other| other.methods == kind.methods) {
        let message = format!("same path and methods as kind {}", other.id);
        return Some(("duplicate-kind", message));
    }
    let is_shared = |method: &Arc<str>| earlier.iter().any(|other| other.methods.contains(method));
    let shared: Vec<&str> = kind
        .methods
        .iter()
        .filter(|method| is_shared(method))
        .map(|method| &**method)
        .collect();
    if shared.is_empty() {
        return None;
    }
    let list = shared.join(", ");
    if shared.len() == kind.methods.len() {
        let message = format!("other kinds of path {} already match {list}", kind.path);
        return Some(("covered-kind", message));
    }
    let message = format!("another kind of path {} matches {list} too", kind.path);
    Some(("overlapping-kind", message))
}
