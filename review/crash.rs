//! The workers of a service in one zone crash at once while they run requests of the same path.
//!
//! The path is that of a route which a later configuration added. Afterwards, requests on this route
//! are compared with those on the first routes, as the rule CONFIG says for the steady state.

use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::fleet::{Fleet, Place, Result};
use crate::load::{Kind, Load, served};
use crate::record::Record;

/// First configuration, with three kinds of request, or the later one that adds a route.
pub fn config(version: u32, has_added: bool) -> String {
    let path = |name: &str,
                prefix: &str,
                kind: &str,
                (timeout, goal): (&str, &str),
                (priority, service): (u32, &str)| {
        format!(
            r#"{{"name":"{name}","prefix":"{prefix}","route_type":"{kind}","timeout_s":{timeout},"target_latency_s":{goal},"priority":{priority},"service":"{service}","max_attempts":2}}"#
        )
    };
    let fit = path(
        "fit-check",
        "/fit/",
        "safe",
        ("2.0", "0.6"),
        (2, "fitfinder"),
    );
    let models = path(
        "fit-models",
        "/models/",
        "safe",
        ("2.0", "0.6"),
        (2, "fitfinder"),
    );
    let stock = path(
        "depot-stock",
        "/stock/",
        "safe",
        ("1.2", "0.4"),
        (1, "slotdesk"),
    );
    let slot = path(
        "slot-book",
        "/slot/",
        "unsafe",
        ("2.5", "0.8"),
        (1, "slotdesk"),
    );
    let pay = path(
        "swap-pay",
        "/pay/",
        "unsafe",
        ("1.5", "0.4"),
        (0, "paydesk"),
    );
    let fit = if has_added {
        format!("{fit},{models}")
    } else {
        fit
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/healthz","max_connections":260,"cold_start_s":3.0,"cold_per_s":17.0}}"#
        )
    };
    let services = ["fitfinder", "slotdesk", "paydesk"].map(service).join(",");
    format!(
        r#"{{"config_version":{version},"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"vhosts":[{{"host":"fit.example","paths":[{fit}]}},{{"host":"slot.example","paths":[{slot},{stock}]}},{{"host":"pay.example","paths":[{pay}]}}]}}"#
    )
}

/// Workers: service, zone, milliseconds of work.
pub const PLACES: [Place; 10] = [
    ("fitfinder", "tt-north-a", 220),
    ("fitfinder", "tt-north-a", 220),
    ("fitfinder", "tt-north-b", 220),
    ("fitfinder", "tt-north-b", 220),
    ("fitfinder", "tt-north-c", 220),
    ("fitfinder", "tt-north-d", 220),
    ("slotdesk", "tt-north-b", 290),
    ("slotdesk", "tt-north-c", 290),
    ("paydesk", "tt-north-a", 150),
    ("paydesk", "tt-north-d", 150),
];

/// Requests of the first routes.
pub fn first_kinds() -> Vec<Kind> {
    vec![
        kind(
            "fit-check",
            30.0,
            ("GET", "fit.example", "/fit/*"),
            b"",
            2500,
        ),
        kind(
            "slot-book",
            12.0,
            ("POST", "slot.example", "/slot/*"),
            b"a slot",
            3000,
        ),
        kind(
            "swap-pay",
            12.0,
            ("PUT", "pay.example", "/pay/*"),
            b"a payment",
            2000,
        ),
    ]
}

/// A kind of request; `*` in the path stands for a number that differs in each request.
pub fn kind(
    name: &'static str,
    per_s: f64,
    (method, host, path): (&'static str, &'static str, &str),
    body: &[u8],
    budget_ms: u64,
) -> Kind {
    let request = Request {
        method,
        host,
        path: path.to_owned(),
        body: body.to_vec(),
        budget: Duration::from_millis(budget_ms),
    };
    Kind {
        name,
        per_s,
        request,
    }
}

pub fn play(is_troubled: bool, record: &Record) -> Result<bool> {
    let fleet = Fleet::start(record, &config(7, false), &PLACES)?;
    thread::sleep(Duration::from_secs(4));
    let mut kinds = first_kinds();
    let first = Load::start(&fleet, &kinds);
    thread::sleep(Duration::from_secs(3));
    fleet.store.put("op/config", &config(9, true));
    thread::sleep(Duration::from_secs(5));
    // Most clients ask for the same list.
    let added = kind(
        "fit-models",
        90.0,
        ("GET", "fit.example", "/models/all"),
        b"",
        2500,
    );
    kinds.push(added.clone());
    let added = Load::start(&fleet, &[added]);
    thread::sleep(Duration::from_secs(8));
    if is_troubled {
        record.line("the workers of fitfinder in tt-north-a crash for 5 s");
        let crashes: Vec<_> = fleet.workers[..2]
            .iter()
            .cloned()
            .map(|worker| thread::spawn(move || worker.crash(Duration::from_secs(5))))
            .collect();
        for crash in crashes {
            let _ = crash.join();
        }
    }
    // Down for 5 s, then stable_s, and some more until the traffic is judged.
    thread::sleep(Duration::from_secs(15));
    let steady_from = record.now();
    thread::sleep(Duration::from_secs(50));
    let mut sent = first.finish();
    sent.extend(added.finish());
    for daemon in &fleet.daemons {
        daemon.quote_log(&["request-suspect", "crashed twice"], 3);
    }
    for kind in &kinds {
        let (count, served) = served(&sent, |it| it.kind == kind.name);
        record.line(&format!(
            "whole run, {}: {served} of {count} served",
            kind.name
        ));
    }
    sent.retain(|it| it.at >= steady_from);
    let (count, added) = served(&sent, |it| it.kind == "fit-models");
    let added_share = added as f64 / count.max(1) as f64;
    record.line(&format!(
        "steady state, route that was added: {added} of {count} served, {added_share:.3}"
    ));
    let (first_count, first) = served(&sent, |it| it.kind != "fit-models");
    let first_share = first as f64 / first_count.max(1) as f64;
    record.line(&format!(
        "steady state, first routes: {first} of {first_count} served, {first_share:.3}"
    ));
    Ok(count >= 20 && added_share < first_share / 4.0)
}
