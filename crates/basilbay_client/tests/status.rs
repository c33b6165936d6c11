//! Tests of `basilbay status`.

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

/// Report of a fleet with a lagging daemon, one without a configuration and one that does not
/// respond.
fn sample_report() -> Report {
    let cold = Status {
        state: Arc::from("cold"),
        in_flight: 2,
        limit: 2,
        latency_us: 40_000,
        roster_age_ms: 900,
        ..status("fit-2", "fitfinder", "tt-north-2", 6)
    };
    let unresponsive = status("slot-1", "slotdesk", "tt-north-2", 0);
    Report {
        queried: "127.0.0.1:7003".parse().expect("an address"),
        statuses: vec![
            status("fit-1", "fitfinder", "tt-north-1", 7),
            cold,
            status("pay-1", "paydesk", "tt-north-1", 7),
            status("pay-2", "paydesk", "tt-north-2", 0),
        ],
        unreachable: vec![Unreachable {
            peer: peer(&unresponsive, "127.0.0.1:7009".parse().expect("an address")),
            reason: Arc::from("no response before the deadline"),
        }],
    }
}

fn render(service: Option<&str>, domain: Option<&str>, json: bool) -> Output {
    let filter = Filter {
        service: service.map(str::to_owned),
        domain: domain.map(str::to_owned),
    };
    status::output(&sample_report(), &filter, json).expect("the status serialises")
}

/// Guards against wrong totals, and against lagging or unresponsive daemons that are not listed.
#[test]
fn unfiltered_fleet() {
    let output = render(None, None, false);
    assert!(PAGE.contains(&output.stdout), "the page shows this output");
    assert_snapshot!(output.stdout);
    assert_eq!(output.code, Code::Success);
    assert_snapshot!(render(None, None, true).stdout);
}

/// Guards against a filter that selects other instances, or that hides the newest version of the
/// fleet.
#[test]
fn filtered_fleet() {
    assert_snapshot!(render(Some("fitfinder"), Some("tt-north-2"), false).stdout);
    assert_eq!(render(Some("absent"), None, false).code, Code::Failure);
}

/// Guards against peers that are not queried, and against an unreachable one that hides the others.
#[test]
fn live_fleet() {
    let mut fleet = Fleet::start(vec![
        status("pay-1", "paydesk", "tt-north-1", 7),
        status("pay-2", "paydesk", "tt-north-2", 6),
    ]);
    let refusing = fleet.add_refusing("pay-3").to_string();
    let unresponsive = fleet.add_unresponsive("pay-4").to_string();
    let (first, _) = fleet.daemons.first().unwrap();
    fleet.add_peer(peer(&status("pay-5", "paydesk", "tt-north-2", 0), *first));
    let first = first.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_basilbay"))
        .args(["status", "--deadline-ms", "400"])
        .env("BASILBAY_DAEMON", &first)
        .output()
        .unwrap();
    let text = stdout(&output)
        .replace(&refusing, "DEAD")
        .replace(&unresponsive, "SILENT")
        .replace(&first, "FIRST");
    assert_snapshot!(text);
    assert_eq!(output.status.code(), Some(0));
}

/// Guards against unresponsive daemons that keep the rest of a large fleet from being queried.
#[test]
fn many_unresponsive() {
    let mut fleet = Fleet::start(vec![
        status("pay-1", "paydesk", "tt-north-1", 7),
        status("pay-2", "paydesk", "tt-north-1", 7),
    ]);
    for number in 0..300 {
        fleet.add_unresponsive(&format!("unresponsive-{number}"));
    }
    let address = fleet.address().to_string();
    let arguments = ["status", "--daemon", &address, "--deadline-ms", "800"];
    let text = stdout(&run(&arguments));
    let row: Vec<&str> = text.lines().nth(1).unwrap().split_whitespace().collect();
    assert_eq!(row.get(..4).unwrap(), ["fleet", "all", "2", "300"]);
}

/// Guards against an unreachable first daemon that is reported as an empty fleet.
#[test]
fn first_unreachable() {
    let mut fleet = Fleet::start(vec![status("pay-1", "paydesk", "tt-north-1", 7)]);
    let refusing = fleet.add_refusing("pay-2").to_string();
    let output = run(&["status", "--daemon", &refusing]);
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains(&format!("cannot query the daemon at {refusing}")));
    assert_eq!(run(&["status"]).status.code(), Some(2));
}
