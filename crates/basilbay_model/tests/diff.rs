//! Difference between two configurations.

use basilbay_model::config::{Config, diff};

const OLD: &str = include_str!("../../../examples/caroni.ini");

/// Difference between the example and a copy with replacements.
fn diff_after(replacements: &[(&str, &str)]) -> diff::Diff {
    let old = Config::parse("old.ini", OLD).expect("the old file is valid");
    let mut text = OLD.to_owned();
    for (part, replacement) in replacements {
        assert!(text.contains(part), "{part}");
        text = text.replacen(part, replacement, 1);
    }
    let new = Config::parse("new.ini", &text).expect("the new file is valid");
    diff::between(&old, &new)
}

/// Guards against a comment or an explicit default that counts as a change.
#[test]
fn same_meaning() {
    let diff = diff_after(&[
        ("queue = 18\n", "# default\n"),
        ("version = 1", "version = 2"),
    ]);
    assert!(diff.is_empty());
    insta::assert_snapshot!(diff.to_string());
}

/// Guards against changes that are missed or attributed to the wrong section.
#[test]
fn all_effects() {
    let diff = diff_after(&[
        ("version = 1", "version = 2"),
        ("region = tt-north\nstate = in", "state = out"),
        ("[domain tt-north-4]", "[domain tt-north-5]"),
        ("[kind paydesk/payment-status]", "[kind paydesk/status]"),
        ("methods = GET\n", ""),
        ("retry_percent = 10", "retry_percent = 5"),
    ]);
    insta::assert_snapshot!(diff.to_string());
    insta::assert_snapshot!(serde_json::to_string_pretty(&diff).unwrap());
}
