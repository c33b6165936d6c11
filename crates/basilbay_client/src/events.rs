//! `basilbay events`: prints the catalogue of numbered log events, or one event in full.

use basilbay_events::catalogue::{ALL, Event, Severity};
use serde_json::{Value, json};

use crate::output::{Code, Output};
use crate::table;

/// Renders the catalogue, or only the event with the given number.
pub fn output(number: Option<u16>, json: bool) -> Output {
    let mut output = Output::default();
    let events: Vec<&Event> = ALL
        .iter()
        .filter(|event| number.is_none_or(|number| number == event.number))
        .collect();
    if let Some(number) = number.filter(|_| events.is_empty()) {
        output.push_error(&format!("basilbay: there is no event {number}"));
        output.code = Code::Failure;
        return output;
    }
    if json {
        let values: Vec<Value> = events.iter().map(|event| to_json(event)).collect();
        output.push_line(&format!("{:#}", Value::from(values)));
    } else if number.is_some() {
        for event in events {
            push_details(event, &mut output);
        }
    } else {
        output.push_line(&event_table(&events));
    }
    output
}

fn event_table(events: &[&Event]) -> String {
    let rows: Vec<Vec<String>> = events
        .iter()
        .map(|event| {
            vec![
                event.number.to_string(),
                severity_name(event.severity).to_owned(),
                event.name.to_owned(),
                event.meaning.to_owned(),
            ]
        })
        .collect();
    table::format(&["EVENT", "SEVERITY", "NAME", "MEANING"], &rows, &[])
}

fn push_details(event: &Event, output: &mut Output) {
    output.push_line(&format!(
        "{} {} ({})",
        event.number,
        event.name,
        severity_name(event.severity)
    ));
    output.push_line(&format!("meaning: {}", event.meaning));
    output.push_line(&format!("action:  {}", event.action));
}

fn to_json(event: &Event) -> Value {
    json!({
        "number": event.number,
        "name": event.name,
        "severity": severity_name(event.severity),
        "meaning": event.meaning,
        "action": event.action,
    })
}

fn severity_name(severity: Severity) -> &'static str {
    match severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
        Severity::Info => "info",
    }
}
