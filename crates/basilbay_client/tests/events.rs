//! `basilbay events`.

use basilbay_client::events;
use basilbay_client::output::Code;
use basilbay_events::catalogue;
use insta::assert_snapshot;

/// Guards against an event that the list lacks.
#[test]
fn whole_catalogue() {
    let output = events::output(None, false);
    assert_eq!(output.text.lines().count(), catalogue::ALL.len() + 1);
    for event in catalogue::ALL {
        assert!(output.text.contains(event.meaning), "{}", event.number);
    }
    let json: Vec<serde_json::Value> =
        serde_json::from_str(&events::output(None, true).text).unwrap();
    assert_eq!(json.len(), catalogue::ALL.len());
}

/// Guards against an event whose action is not shown, and one that does not exist.
#[test]
fn one_event() {
    assert_snapshot!(events::output(Some(201), false).text);
    assert_snapshot!(events::output(Some(201), true).text);
    let unknown = events::output(Some(9), false);
    assert_eq!(unknown.code, Code::Bad);
    assert!(unknown.text.is_empty());
}
