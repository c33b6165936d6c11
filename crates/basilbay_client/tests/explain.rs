//! Tests of `basilbay explain`.

#[allow(dead_code)]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, run, status, stdout};
use insta::assert_snapshot;

const PAGE: &str = include_str!("../../../docs/operations/reading-status.md");

fn fleet() -> Fleet {
    Fleet::start(vec![status("pay-1", "paydesk", "tt-north-1", 7)])
}

/// Guards against a query with another method or path than given on the command line, and against
/// wrong defaults of both.
#[test]
fn with_target() {
    let fleet = fleet();
    let address = fleet.address().to_string();
    let output = run(&[
        "explain",
        "paydesk",
        "/payments",
        "--method",
        "POST",
        "--daemon",
        &address,
    ]);
    assert!(
        PAGE.contains(&stdout(&output)),
        "the page shows this output"
    );
    assert_snapshot!(stdout(&output));
    assert_eq!(output.status.code(), Some(0));
    let plain = stdout(&run(&["explain", "paydesk", "--daemon", &address]));
    assert!(
        plain.starts_with("GET / of service paydesk: kind none"),
        "{plain}"
    );
}

/// Guards against a refusal with the exit code of success, which scripts would rely on.
#[test]
fn without_target() {
    let fleet = fleet();
    let address = fleet.address().to_string();
    let output = run(&["explain", "paydesk", "/full", "--daemon", &address]);
    assert_snapshot!(stdout(&output));
    assert_eq!(output.status.code(), Some(1));
    let json = run(&[
        "explain", "paydesk", "/full", "--daemon", &address, "--json",
    ]);
    let value: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(value["refusal"], "no capacity");
    assert_eq!(json.status.code(), Some(1));
}
