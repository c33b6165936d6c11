//! Compares the events page with the catalogue, and checks numbers, names and actions.

use basilbay_events::catalogue::{ALL, Event, Severity};

const PAGE: &str = include_str!("../../../docs/events.md");

fn row(event: &Event) -> String {
    let severity = match event.severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
        Severity::Info => "info",
    };
    format!(
        "| {} | {} | {severity} | {} | {} |",
        event.number, event.name, event.meaning, event.action
    )
}

/// Guards against an events page that lacks an event, describes it differently, or lists a removed
/// one.
#[test]
fn page_complete() {
    let listed: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(2)
        .collect();
    let expected: Vec<String> = ALL.iter().map(row).collect();
    assert_eq!(listed, expected, "expected rows:\n{}", expected.join("\n"));
}

/// Guards against two events with the same number or name.
#[test]
fn unique_events() {
    let pairs = ALL.iter().zip(ALL.iter().skip(1));
    for (left, right) in pairs {
        assert!(left.number < right.number, "{}", right.number);
    }
    for (index, event) in ALL.iter().enumerate() {
        let earlier = ALL.iter().take(index);
        assert!(!earlier.into_iter().any(|other| other.name == event.name));
    }
}

/// Guards against a warning or error without a recommended action.
#[test]
fn actions_stated() {
    for event in ALL.iter().filter(|event| event.severity != Severity::Info) {
        assert!(!event.action.is_empty(), "{}", event.number);
    }
}
