//! Spans of one request across daemons and services share its trace id.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_fakes::targets::response::CHAIN;
use http::Version;
use serde_json::Value;

use call::Call;
use fleet::{Fleet, Plan};

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

/// Returns the hops of a trace from the logs of all daemons, sorted: depth, and role, daemon and
/// service as text.
fn hops(fleet: &Fleet, trace: &str) -> Vec<(u64, String)> {
    let mut hops = Vec::new();
    for daemon in &fleet.daemons {
        let log = fleet.log(&daemon.id);
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        for span in lines.filter(|line| line["fields"]["message"] == "close") {
            let span = &span["span"];
            if span["name"] == "hop" && span["trace"] == trace {
                let text = |name: &str| span[name].as_str().unwrap_or_default().to_owned();
                let hop = format!("{} {} {}", text("role"), text("instance"), text("service"));
                hops.push((span["depth"].as_u64().unwrap_or(u64::MAX), hop));
            }
        }
    }
    hops.sort();
    hops
}

/// Guards against a trace that lacks hops between the entry daemon and the last service, because a
/// daemon starts a new trace instead of propagating the trace id.
#[tokio::test(flavor = "multi_thread")]
async fn full_call_path() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1), ("stock", 1)])).await;
    for version in [Version::HTTP_11, Version::HTTP_2] {
        let trace = TRACE.replace(
            "4736",
            if version == Version::HTTP_2 {
                "0002"
            } else {
                "0001"
            },
        );
        let call = Call::read()
            .http_version(version)
            .header("traceparent", &format!("00-{trace}-00f067aa0ba902b7-01"))
            .header(CHAIN, "stock/read");
        assert_eq!(call.reply(fleet.entry("shop-1")).await.status, 200);
        let expected = [
            (0, "entry shop-1 desk"),
            (0, "target desk-1 desk"),
            (1, "entry desk-1 stock"),
            (1, "target stock-1 stock"),
        ];
        let expected: Vec<_> = expected.map(|(depth, hop)| (depth, hop.to_owned())).into();
        let deadline = Instant::now() + Duration::from_secs(5);
        while hops(&fleet, &trace) != expected {
            assert!(Instant::now() < deadline, "{:?}", hops(&fleet, &trace));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against requests that share a trace id because their callers sent no `traceparent`
/// header, or an invalid one.
#[tokio::test(flavor = "multi_thread")]
async fn separate_traces() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let entry = fleet.entry("shop-1");
    let invalid = format!("00-{}-00f067aa0ba902b7-01", "0".repeat(32));
    for n in 0..8 {
        let call = Call::read().id(&format!("r{n}"));
        let call = if n < 4 {
            call
        } else {
            call.header("traceparent", &invalid)
        };
        call.reply(entry).await.assert_response(&format!("r{n}"), 0);
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let log = fleet.log("shop-1");
        let entered = log
            .lines()
            .filter(|line| line.contains("\"role\":\"entry\""));
        let mut traces: Vec<&str> = entered
            .filter_map(|line| line.split("\"trace\":\"").nth(1))
            .map(|rest| &rest[..32])
            .collect();
        traces.sort_unstable();
        traces.dedup();
        if traces.len() == 8 {
            return traces
                .into_iter()
                .for_each(|trace| assert_eq!(hops(&fleet, trace).len(), 2));
        }
        assert!(Instant::now() < deadline, "{traces:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
