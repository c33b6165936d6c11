//! Routes map hosts and paths to services, with deadlines, size limits and a latency goal.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use basilbay_fakes::targets::fault::{Change, Straggle};
use http::Method;

use basilbay_wire::problem::{Cause, Outcome};
use call::Call;
use fleet::{Fleet, Plan};

const ROUTES: &str = "\
[route all]
host = parts.example
path = /
services = desk
idempotent = yes
deadline_ms = 5000
goal_ms = 2000

[route split]
host = parts.example
path = /read/split/
services = desk:3 shop:1
idempotent = yes
deadline_ms = 5000

[route short]
host = parts.example
path = /read/short/
services = desk
idempotent = yes
deadline_ms = 100
";

async fn start_routed(plan: Plan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    let text = fleet.plan.config(2).replace(
        "probe_cost_us = 6000",
        "probe_cost_us = 6000\nhealth_path = /health\nlimit = fixed",
    );
    let text = text.replace(
        "[limits]\n",
        "[limits]\nbody_bytes = 1000\nheader_bytes = 2000\n",
    );
    fleet
        .platform
        .publish(&(text + ROUTES))
        .expect("the configuration has no findings");
    let deadline = Instant::now() + Duration::from_secs(10);
    for daemon in &fleet.daemons {
        let call = read("probe");
        while call.reply(daemon.callers).await.status != 200 {
            assert!(
                Instant::now() < deadline,
                "configuration version 2 is not applied within 10 s"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet
}

fn read(id: &str) -> Call {
    Call::new(Method::GET, &format!("/read/{id}"))
        .service("PARTS.example:80")
        .id(id)
}

/// Guards against requests that match a route with a shorter path instead of the most specific one,
/// and against wrong shares of a traffic split.
#[tokio::test(flavor = "multi_thread")]
async fn traffic_split() {
    let fleet = start_routed(Plan::new(&[("desk", 2), ("shop", 1)])).await;
    let mut shop = 0;
    for n in 0..400 {
        let entry = fleet.daemons[n % 3].callers;
        let reply = read("split/x").reply(entry).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        shop += u32::from(reply.target().starts_with("shop"));
    }
    // The expected share is a quarter of 400, plus or minus four standard deviations of 8.7.
    assert!((65..=135).contains(&shop), "{shop} of 400 went to shop");
    let reply = read("x").reply(fleet.entry("shop-1")).await;
    assert!(reply.target().starts_with("desk"), "{reply:?}");
}

/// Guards against accepting hosts without a route, and bodies and headers above the size limits.
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests() {
    let fleet = start_routed(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let entry = fleet.entry("shop-1");
    let unknown = read("x").service("other.example").reply(entry).await;
    unknown.assert_problem(Cause::UnknownService, Outcome::NotRun);
    let large = Call::submit("x".repeat(1001)).service("parts.example");
    let large = large.reply(entry).await;
    large.assert_problem(Cause::BodyTooLarge, Outcome::NotRun);
    let long = read("x").header("x-long", &"y".repeat(2100));
    let long = long.reply(entry).await;
    long.assert_problem(Cause::HeadersTooLarge, Outcome::NotRun);
}

/// Guards against a caller that waits longer than the deadline of the route.
#[tokio::test(flavor = "multi_thread")]
async fn route_deadline() {
    let plan = Plan {
        service_time_us: 3_000_000,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let text = fleet.plan.config(2) + ROUTES;
    fleet
        .platform
        .publish(&text)
        .expect("the configuration has no findings");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sent_at = Instant::now();
    let reply = read("short/x").reply(fleet.entry("shop-1")).await;
    assert_eq!(reply.status, 504, "{reply:?}");
    assert!(sent_at.elapsed() < Duration::from_millis(600));
}

/// Guards against requests that start on a slowed target although another one has its usual
/// latency.
#[tokio::test(flavor = "multi_thread")]
async fn slowed_target() {
    let plan = Plan {
        service_time_us: 40_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = start_routed(plan).await;
    let straggle = Some(Straggle {
        factor: 10.0,
        for_ms: 60_000,
    });
    let change = Change {
        straggle,
        ..Change::default()
    };
    fleet.targets.change("desk-1", &change);
    for n in 0..20 {
        let reply = read(&format!("calm{n}")).reply(fleet.entry("shop-1")).await;
        assert_eq!(reply.target(), "desk-2", "{reply:?}");
    }
}
