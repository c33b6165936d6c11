//! `basilbay status`.

#[allow(dead_code)]
#[path = "support/fleet.rs"]
mod fleet;

use std::process::Command;
use std::sync::Arc;

use basilbay_admin::Status;
use basilbay_client::fleet::{Report, Unreachable};
use basilbay_client::output::{Code, Output};
use basilbay_client::status::{self, Filter};
use fleet::{Fleet, peer, run, status, stdout};
use insta::assert_snapshot;

const PAGE: &str = include_str!("../../../docs/operations/reading-status.md");

/// A small fleet with a laggard, a daemon without configuration and one that does not answer.
fn answers() -> Report {
    let cold = Status {
        state: Arc::from("cold"),
        in_flight: 2,
        limit: 2,
        latency_us: 40_000,
        roster_age_ms: 900,
        ..status("fit-2", "fitfinder", "tt-north-2", 6)
    };
    let silent = status("slot-1", "slotdesk", "tt-north-2", 0);
    Report {
        queried: "127.0.0.1:7003".parse().expect("an address"),
        statuses: vec![
            status("fit-1", "fitfinder", "tt-north-1", 7),
            cold,
            status("pay-1", "paydesk", "tt-north-1", 7),
            status("pay-2", "paydesk", "tt-north-2", 0),
        ],
        unreachable: vec![Unreachable {
            peer: peer(&silent, "127.0.0.1:7009".parse().expect("an address")),
            reason: Arc::from("no answer before the deadline"),
        }],
    }
}

fn show(service: Option<&str>, domain: Option<&str>, json: bool) -> Output {
    let filter = Filter {
        service: service.map(str::to_owned),
        domain: domain.map(str::to_owned),
    };
    status::output(&answers(), &filter, json).expect("a status can be written")
}

/// Guards against wrong sums, and laggards or silent daemons that are not named.
#[test]
fn whole_fleet() {
    let output = show(None, None, false);
    assert!(PAGE.contains(&output.stdout), "the page shows this output");
    assert_snapshot!(output.stdout);
    assert_eq!(output.code, Code::Success);
    assert_snapshot!(show(None, None, true).stdout);
}

/// Guards against a filter that lets others in, or forgets the fleet's newest version.
#[test]
fn filtered_fleet() {
    assert_snapshot!(show(Some("fitfinder"), Some("tt-north-2"), false).stdout);
    assert_eq!(show(Some("absent"), None, false).code, Code::Failure);
}

/// Guards against peers that are not asked, and an unreachable one that hides the others.
#[test]
fn live_fleet() {
    let mut fleet = Fleet::start(vec![
        status("pay-1", "paydesk", "tt-north-1", 7),
        status("pay-2", "paydesk", "tt-north-2", 6),
    ]);
    let dead = fleet.introduce_dead("pay-3").to_string();
    let silent = fleet.introduce_silent("pay-4").to_string();
    let (first, _) = fleet.daemons.first().unwrap();
    fleet.introduce(peer(&status("pay-5", "paydesk", "tt-north-2", 0), *first));
    let first = first.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_basilbay"))
        .args(["status", "--deadline-ms", "400"])
        .env("BASILBAY_DAEMON", &first)
        .output()
        .unwrap();
    let text = stdout(&output)
        .replace(&dead, "DEAD")
        .replace(&silent, "SILENT")
        .replace(&first, "FIRST");
    assert_snapshot!(text);
    assert_eq!(output.status.code(), Some(0));
}

/// Guards against silent daemons that keep the rest of a large fleet from being asked.
#[test]
fn many_silent() {
    let mut fleet = Fleet::start(vec![
        status("pay-1", "paydesk", "tt-north-1", 7),
        status("pay-2", "paydesk", "tt-north-1", 7),
    ]);
    for number in 0..300 {
        fleet.introduce_silent(&format!("silent-{number}"));
    }
    let address = fleet.address().to_string();
    let arguments = ["status", "--daemon", &address, "--deadline-ms", "800"];
    let text = stdout(&run(&arguments));
    let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row.get(..4).unwrap(), ["fleet", "all", "2", "300"]);
}

/// Guards against a missing daemon that looks like an empty fleet.
#[test]
fn first_unreachable() {
    let mut fleet = Fleet::start(vec![status("pay-1", "paydesk", "tt-north-1", 7)]);
    let dead = fleet.introduce_dead("pay-2").to_string();
    let output = run(&["status", "--daemon", &dead]);
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains(&format!("cannot ask the daemon at {dead}")));
    assert_eq!(run(&["status"]).status.code(), Some(2));
}
