//! Tests of `basilbay events`.

use basilbay_client::events;
use basilbay_client::output::Code;
use basilbay_events::catalogue;
use insta::assert_snapshot;

/// Guards against an event that is missing from the table or the JSON output.
#[test]
fn full_catalogue() {
    let output = events::output(None, false);
    assert_eq!(output.stdout.lines().count(), catalogue::ALL.len() + 1);
    for event in catalogue::ALL {
        assert!(output.stdout.contains(event.meaning), "{}", event.number);
    }
    let json: Vec<serde_json::Value> =
        serde_json::from_str(&events::output(None, true).stdout).unwrap();
    assert_eq!(json.len(), catalogue::ALL.len());
}

/// Guards against an event whose action is not shown, and against success for an unknown number.
#[test]
fn one_event() {
    assert_snapshot!(events::output(Some(201), false).stdout);
    assert_snapshot!(events::output(Some(201), true).stdout);
    let unknown = events::output(Some(9), false);
    assert_eq!(unknown.code, Code::Failure);
    assert!(unknown.stdout.is_empty());
}
