//! `basilbay events`: the catalogue of numbered events.

use basilbay_events::catalogue::{ALL, Event, Severity};
use serde_json::{Value, json};

use crate::output::{Code, Output};
use crate::table;

/// Shows the catalogue or one event.
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
        let values: Vec<Value> = events.iter().map(|event| value(event)).collect();
        output.push_line(&format!("{:#}", Value::from(values)));
    } else if number.is_some() {
        for event in events {
            full(event, &mut output);
        }
    } else {
        output.push_line(&list(&events));
    }
    output
}

fn list(events: &[&Event]) -> String {
    let rows: Vec<Vec<String>> = events
        .iter()
        .map(|event| {
            vec![
                event.number.to_string(),
                severity(event.severity).to_owned(),
                event.name.to_owned(),
                event.meaning.to_owned(),
            ]
        })
        .collect();
    table::format(&["EVENT", "SEVERITY", "NAME", "MEANING"], &rows, &[])
}

fn full(event: &Event, output: &mut Output) {
    output.push_line(&format!(
        "{} {} ({})",
        event.number,
        event.name,
        severity(event.severity)
    ));
    output.push_line(&format!("meaning: {}", event.meaning));
    output.push_line(&format!("action:  {}", event.action));
}

fn value(event: &Event) -> Value {
    json!({
        "number": event.number,
        "name": event.name,
        "severity": severity(event.severity),
        "meaning": event.meaning,
        "action": event.action,
    })
}

fn severity(severity: Severity) -> &'static str {
    match severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
        Severity::Info => "info",
    }
}
