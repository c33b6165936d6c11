//! Tests of the fake targets: how they run requests, what they refuse and what they record.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::client::{request, send, with_header};
use basilbay_fakes::targets::audit::{Outcome, Run};
use basilbay_fakes::targets::fault::{Change, Load};
use basilbay_fakes::targets::response::{Body, is_complete};
use basilbay_fakes::targets::spec::Target;
use basilbay_fakes::targets::{Targets, response};
use bytes::Bytes;
use futures::future::join_all;
use hyper::{Method, Response, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn warm_target(median_us: u64) -> Target {
    let mut target = Target::new("t1", "paydesk", median_us);
    target.cold.warm_after = 0;
    target
}

async fn start(target: Target) -> Targets {
    Targets::start(vec![target], ANY_PORT)
        .await
        .expect("the targets start")
}

async fn call(
    targets: &Targets,
    id: &str,
    headers: &[(&'static str, &str)],
) -> anyhow::Result<Response<Bytes>> {
    let mut call = with_header(request(Method::POST, "/pay", "x"), response::REQUEST_ID, id);
    for (name, value) in headers {
        call = with_header(call, name, value);
    }
    send(targets.address("t1").expect("a known target"), call).await
}

async fn control(targets: &Targets, change: &str) {
    let put = request(Method::PUT, "/fake/targets/t1", change.to_owned());
    let response = send(targets.control(), put).await.expect("a response");
    assert_eq!(response.status(), StatusCode::NO_CONTENT);
}

async fn load(targets: &Targets) -> Load {
    let get = request(Method::GET, "/load", "");
    let response = send(targets.address("t1").expect("a known target"), get)
        .await
        .expect("a response");
    serde_json::from_slice(response.body()).expect("a load report")
}

async fn call_many(targets: &Targets, count: usize) -> Vec<anyhow::Result<Response<Bytes>>> {
    join_all((0..count).map(|_| call(targets, "many", &[]))).await
}

/// Waits until `count` runs are recorded; after a disconnect this takes a moment.
async fn wait_for_runs(targets: &Targets, count: usize) -> Vec<Run> {
    for _ in 0..200 {
        if targets.runs().len() >= count {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    targets.runs()
}

/// Guards against responses that a client cannot tell from those to other requests.
#[tokio::test]
async fn matching_response() {
    let targets = start(warm_target(500)).await;
    let headers = [(response::BODY_BYTES, "3000"), ("idempotency-key", "k1")];
    let response = call(&targets, "r1", &headers).await.unwrap();
    assert!(is_complete("r1", 3000, response.body()));
    assert!(!is_complete("r2", 3000, response.body()));
    assert!(!is_complete("r1", 3000, &response.body()[..2000]));
    let run = &wait_for_runs(&targets, 1).await[0];
    assert_eq!((&*run.request, run.key.as_deref()), ("r1", Some("k1")));
    assert_eq!((run.outcome, run.in_flight_at_start), (Outcome::Done, 1));
    assert!(run.end_us - run.start_us >= 400);
}

/// Guards against overload that does not slow requests, is not counted or is never shed.
#[tokio::test]
async fn overload_shed() {
    let mut target = warm_target(200_000);
    target.slots = 2;
    let targets = start(target).await;
    let responses = call_many(&targets, 6).await;
    let shed = responses
        .iter()
        .flatten()
        .filter(|response| response.status() == 503);
    assert_eq!(shed.count(), 2);
    assert_eq!(targets.violations()[0].over_slots, 4);
    let slowest = targets
        .runs()
        .iter()
        .map(|run| run.end_us - run.start_us)
        .max();
    assert!(slowest >= Some(580_000), "{slowest:?}");
}

/// Guards against targets that do not start cold, or that never become warm.
#[tokio::test]
async fn cold_start() {
    let mut target = Target::new("t1", "paydesk", 40_000);
    target.cold.warm_after = 3;
    let targets = start(target).await;
    assert_eq!(load(&targets).await.state, "cold");
    call_many(&targets, 3).await;
    assert_eq!(targets.violations()[0].over_cold, 1);
    assert_eq!(load(&targets).await.state, "warm");
    control(&targets, r#"{"cool": true}"#).await;
    assert_eq!(load(&targets).await.state, "warm");
    assert!(targets.status()[0].cold);
}

/// Guards against requests that keep running after a disconnect or a passed deadline.
#[tokio::test]
async fn cancelled_requests() {
    let targets = start(warm_target(2_000_000)).await;
    let disconnected =
        tokio::time::timeout(Duration::from_millis(50), call(&targets, "left", &[])).await;
    assert!(disconnected.is_err());
    let response = call(&targets, "late", &[("basilbay-timeout-ms", "30")])
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    let runs = wait_for_runs(&targets, 2).await;
    assert!(runs.iter().all(|run| run.outcome == Outcome::Cancelled));
    assert!(runs.iter().all(|run| run.end_us - run.start_us < 1_000_000));
    assert_eq!(targets.status()[0].in_flight, 0);
}

/// Guards against a crash that leaves other requests running, or after which the port does not
/// close or does not reopen.
#[tokio::test]
async fn poison_request() {
    let mut target = warm_target(300_000);
    target.restart_ms = 400;
    let targets = start(target).await;
    let other = call(&targets, "other", &[]);
    let poison = call(&targets, "poison", &[(response::POISON, "1")]);
    let (other, poison) = tokio::join!(other, poison);
    assert!(other.is_err() && poison.is_err());
    assert!(call(&targets, "refused", &[]).await.is_err());
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(call(&targets, "back", &[]).await.is_ok());
    let runs = wait_for_runs(&targets, 3).await;
    let crashed = runs.iter().filter(|run| run.outcome == Outcome::Crashed);
    assert_eq!((runs.len(), crashed.count()), (3, 2));
}

/// Guards against control changes that have no effect.
#[tokio::test]
async fn control_changes() {
    let targets = start(warm_target(1_000)).await;
    control(&targets, r#"{"fail_fast": true}"#).await;
    assert_eq!(call(&targets, "f", &[]).await.unwrap().status(), 500);
    control(&targets, r#"{"fail_fast": false, "shed": true}"#).await;
    let shed = call(&targets, "s", &[]).await.unwrap();
    let body: Body = serde_json::from_slice(shed.body()).unwrap();
    assert_eq!((shed.status().as_u16(), body.ran), (503, false));
    control(
        &targets,
        r#"{"shed": false, "drain": true, "pause_ms": 100}"#,
    )
    .await;
    let begin = Instant::now();
    assert_eq!(call(&targets, "d", &[]).await.unwrap().status(), 200);
    assert!(begin.elapsed() >= Duration::from_millis(90));
    assert_eq!(targets.violations()[0].while_draining, 1);
    control(&targets, r#"{"straggle": {"factor": 50, "for_ms": 1000}}"#).await;
    let begin = Instant::now();
    call(&targets, "g", &[]).await.unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(45));
    control(&targets, r#"{"load": {"in_flight": 9, "state": "idle"}}"#).await;
    let reported = load(&targets).await;
    assert_eq!((reported.in_flight, reported.state.as_str()), (9, "idle"));
}

/// Guards against noise that does not slow requests down.
#[tokio::test]
async fn noisy_neighbours() {
    let targets = start(warm_target(2_000)).await;
    let noise = r#"{"noise": {"factor": 20, "interval_ms": 1, "duration_ms": 100000}}"#;
    control(&targets, noise).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    call(&targets, "n", &[]).await.unwrap();
    let run = &targets.runs()[0];
    assert!(run.end_us - run.start_us >= 30_000);
}

/// Guards against accepting connections above the limit, which real targets refuse.
#[tokio::test]
async fn connection_limit() {
    let mut target = warm_target(200_000);
    target.connections = 2;
    let targets = start(target).await;
    let responses = call_many(&targets, 3).await;
    assert_eq!(
        responses.iter().filter(|response| response.is_ok()).count(),
        2
    );
    assert_eq!(targets.violations()[0].over_connections, 1);
}

/// Guards against call chains that lose the remaining services or the responses of the next.
#[tokio::test]
async fn call_chain() {
    let third = start(warm_target(500)).await;
    let mut target = warm_target(500);
    target.entry = third.address("t1");
    let second = start(target.clone()).await;
    target.entry = second.address("t1");
    let first = start(target).await;
    let headers = [(response::CHAIN, "rota-desk/pay,press-room")];
    let response = call(&first, "c", &headers).await.unwrap();
    let body: Body = serde_json::from_slice(response.body()).unwrap();
    let subcall = body.chain.unwrap();
    assert_eq!(
        (subcall.service.as_str(), subcall.status),
        ("rota-desk", 200)
    );
    let subcall = subcall.body.unwrap().chain.unwrap();
    assert_eq!(
        (subcall.service.as_str(), subcall.status),
        ("press-room", 200)
    );
    assert_eq!(&*third.runs()[0].request, "c/rota-desk/press-room");
}

/// Guards against call chains that lose headers, or that pass on the timeout without deducting the
/// time spent.
#[tokio::test]
async fn chain_headers() {
    let entry = TcpListener::bind(ANY_PORT).await.unwrap();
    let mut target = warm_target(20_000);
    target.entry = entry.local_addr().ok();
    let targets = start(target).await;
    let headers = [
        (response::CHAIN, "rota-desk"),
        ("traceparent", "00-a-b-01"),
        ("basilbay-allowance", "2"),
        ("basilbay-depth", "4"),
        ("basilbay-timeout-ms", "3000"),
    ];
    let next = async {
        let (mut stream, _) = entry.accept().await.unwrap();
        let mut buffer = vec![0; 4096];
        let count = stream.read(&mut buffer).await.unwrap();
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    };
    let (response, text) = tokio::join!(call(&targets, "h", &headers), next);
    assert_eq!(response.unwrap().status(), StatusCode::BAD_GATEWAY);
    let sent = [
        "host: rota-desk",
        "traceparent: 00-a-b-01",
        "basilbay-allowance: 2",
        "basilbay-depth: 4",
    ];
    assert!(sent.iter().all(|line| text.contains(line)), "{text}");
    let left = text.split("basilbay-timeout-ms: ").nth(1).unwrap();
    let left: u64 = left.split('\r').next().unwrap().parse().unwrap();
    assert!((1..=2980).contains(&left), "{left}");
}

/// Guards against a list of runs that the control listener truncates.
#[tokio::test]
async fn streamed_runs() {
    let targets = start(warm_target(0)).await;
    for _ in 0..600 {
        call(&targets, "a", &[]).await.unwrap();
    }
    let get = request(Method::GET, "/fake/runs", "");
    let response = send(targets.control(), get).await.unwrap();
    let text = std::str::from_utf8(response.body()).unwrap();
    let parsed: Vec<Run> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(parsed, targets.runs());
    assert_eq!(parsed.len(), 600);
    let no_change = Change::default();
    assert!(!targets.change("unknown", &no_change));
}
