//! `basilbay wait`.

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

fn wait(fleet: &Fleet, deadline_ms: &str, more: &[&str]) -> Output {
    let address = fleet.address().to_string();
    let mut arguments = vec!["wait", "--version", "8", "--daemon", &address];
    arguments.extend(["--deadline-ms", deadline_ms]);
    arguments.extend(more);
    run(&arguments)
}

/// Guards against a wait that gives up early or does not notice the version.
#[test]
fn version_arrives() {
    let fleet = fleet();
    fleet.upgrade_later(1, 8, Duration::from_millis(300));
    let output = wait(&fleet, "5000", &[]);
    assert_eq!(output.status.code(), Some(0));
    assert_snapshot!(stdout(&output));
}

/// Guards against a laggard that is not named or that counts as done.
#[test]
fn laggard_named() {
    let output = wait(&fleet(), "300", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert_snapshot!(stdout(&output));
}

/// Guards against an unreachable daemon that counts as done, or that fails a wait that was told to
/// pass over it.
#[test]
fn unreachable_named() {
    let mut fleet = fleet();
    fleet.upgrade_later(1, 8, Duration::ZERO);
    let dead = fleet.introduce_dead("pay-4").to_string();
    let output = wait(&fleet, "300", &[]);
    assert_eq!(output.status.code(), Some(1));
    assert_snapshot!(stdout(&output).replace(&dead, "DEAD"));
    let output = wait(&fleet, "300", &["--reachable-only"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(stdout(&output).contains("unreachable: pay-4"));
}

/// Guards against a laggard that falls silent in a short last round and is then passed over.
#[test]
fn silent_laggard() {
    let condition = Condition {
        version: 8,
        reachable_only: true,
    };
    let address: SocketAddr = "127.0.0.1:7003".parse().unwrap();
    let old = status("pay-1", "paydesk", "tt-north-1", 7);
    let unreachable = Unreachable {
        peer: peer(&old, address),
        reason: "no answer before the deadline".into(),
    };
    let round = |statuses, unreachable| Report {
        queried: address,
        statuses,
        unreachable,
    };
    let mut progress = Progress::default();
    progress.update(round(vec![old], Vec::new()), 8);
    progress.update(round(Vec::new(), vec![unreachable]), 8);
    assert!(!progress.is_complete(&condition));
    let new = status("pay-1", "paydesk", "tt-north-1", 8);
    progress.update(round(vec![new], Vec::new()), 8);
    assert!(progress.is_complete(&condition));
}

/// Guards against an address that nobody listens on being waited on for ever.
#[test]
fn first_unreachable() {
    let mut fleet = fleet();
    let dead = fleet.introduce_dead("pay-4").to_string();
    let arguments = ["wait", "--version", "8", "--daemon", &dead];
    let output = run(&[&arguments[..], &["--deadline-ms", "300"]].concat());
    assert_eq!(output.status.code(), Some(3));
}
