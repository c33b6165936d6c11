//! Tests of `basilbay wait`.

#[allow(dead_code)]
#[path = "support/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;

use basilbay_client::fleet::{Report, Unreachable};
use basilbay_client::wait::{Condition, Progress};
use fleet::{Fleet, peer, run, status, stdout};
use insta::assert_snapshot;

fn fleet() -> Fleet {
    Fleet::start(vec![
        status("pay-1", "paydesk", "tt-north-1", 8),
        status("pay-2", "paydesk", "tt-north-2", 7),
        status("pay-3", "paydesk", "tt-north-3", 9),
    ])
}

fn wait(fleet: &Fleet, deadline_ms: &str, extra: &[&str]) -> Output {
    let address = fleet.address().to_string();
    let mut arguments = vec!["wait", "--version", "8", "--daemon", &address];
    arguments.extend(["--deadline-ms", deadline_ms]);
    arguments.extend(extra);
    run(&arguments)
}

/// Guards against a wait that ends early or does not detect the version.
#[test]
fn version_arrives() {
    let fleet = fleet();
    fleet.set_version_after(1, 8, Duration::from_millis(300));
    let output = wait(&fleet, "5000", &[]);
    assert_eq!(output.status.code(), Some(0));
    assert_snapshot!(stdout(&output));
}

/// Guards against a lagging daemon that is not listed or counts as up to date.
#[test]
fn laggard_reported() {
    let output = wait(&fleet(), "300", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert_snapshot!(stdout(&output));
}

/// Guards against an unreachable daemon that counts as up to date, or that fails a wait with
/// `--reachable-only`.
#[test]
fn unreachable_reported() {
    let mut fleet = fleet();
    fleet.set_version_after(1, 8, Duration::ZERO);
    let refusing = fleet.add_refusing("pay-4").to_string();
    let output = wait(&fleet, "300", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert_snapshot!(stdout(&output).replace(&refusing, "DEAD"));
    let output = wait(&fleet, "300", &["--reachable-only"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains("unreachable: pay-4"));
}

/// Guards against a lagging daemon that does not respond in a short last poll and is then ignored
/// because of `--reachable-only`.
#[test]
fn unresponsive_laggard() {
    let condition = Condition {
        version: 8,
        reachable_only: true,
    };
    let address: SocketAddr = "127.0.0.1:7003".parse().unwrap();
    let old = status("pay-1", "paydesk", "tt-north-1", 7);
    let unreachable = Unreachable {
        peer: peer(&old, address),
        reason: "no response before the deadline".into(),
    };
    let poll = |statuses, unreachable| Report {
        queried: address,
        statuses,
        unreachable,
    };
    let mut progress = Progress::default();
    progress.update(poll(vec![old], Vec::new()), 8);
    progress.update(poll(Vec::new(), vec![unreachable]), 8);
    assert!(!progress.is_complete(&condition));
    let new = status("pay-1", "paydesk", "tt-north-1", 8);
    progress.update(poll(vec![new], Vec::new()), 8);
    assert!(progress.is_complete(&condition));
}

/// Guards against an endless wait for an address on which nothing listens.
#[test]
fn first_unreachable() {
    let mut fleet = fleet();
    let refusing = fleet.add_refusing("pay-4").to_string();
    let arguments = ["wait", "--version", "8", "--daemon", &refusing];
    let output = run(&[&arguments[..], &["--deadline-ms", "300"]].concat());
    assert_eq!(output.status.code(), Some(3));
}
