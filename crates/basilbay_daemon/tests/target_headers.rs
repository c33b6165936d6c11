//! Headers between daemon and target: the request id and the not-run marker of a response, and the
//! caller service of a request.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use basilbay_wire::problem::{Cause, Outcome};
use call::Call;
use fleet::{Fleet, Plan};

/// Starts a target whose response depends on the path; returns its address and the number of
/// requests that it received.
async fn start_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, counter.clone()));
        }
    });
    (address, count)
}

async fn serve_connection(mut stream: TcpStream, count: Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await? > 0 {
        if !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
            continue;
        }
        let request = String::from_utf8_lossy(&bytes).into_owned();
        bytes.clear();
        count.fetch_add(1, Ordering::SeqCst);
        let caller = request
            .lines()
            .find_map(|line| line.strip_prefix("basilbay-caller-service: "))
            .unwrap_or("nobody");
        let response = if request.contains("/other") {
            "200 OK\r\nbasilbay-request-id: not-this-one\r\ncontent-length: 5\r\n\r\nother"
                .to_owned()
        } else if request.contains("/stale-busy") {
            "503 Busy\r\nbasilbay-request-id: not-this-one\r\nbasilbay-not-run: 1\r\n\
             content-length: 0\r\n\r\n"
                .to_owned()
        } else if request.contains("/busy") {
            "503 Busy\r\nbasilbay-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
        } else if request.contains("/moved") {
            "421 Moved\r\nbasilbay-target-run: new\r\ncontent-length: 0\r\n\r\n".to_owned()
        } else {
            let length = caller.len();
            format!("200 OK\r\ncontent-length: {length}\r\n\r\n{caller}")
        };
        stream
            .write_all(format!("HTTP/1.1 {response}").as_bytes())
            .await?;
    }
    Ok(())
}

async fn start_fleet() -> (Fleet, Arc<AtomicUsize>) {
    let (address, count) = start_target().await;
    let plan = Plan {
        target_override: Some((0, address)),
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    (Fleet::start(plan).await, count)
}

fn read(path: &str) -> Call {
    Call::new(http::Method::GET, path).header("basilbay-request-id", "mine")
}

/// Guards against a late response of a target that is matched to the next request on the same
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn mismatched_request_id() {
    let (fleet, _) = start_fleet().await;
    let reply = read("/read/other").reply(fleet.entry("shop-1")).await;
    reply.assert_problem(Cause::TargetFailed, Outcome::Unknown);
}

/// Guards against "unknown" for a request that the target reports as not run.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_reported() {
    let (fleet, _) = start_fleet().await;
    for (path, cause) in [
        ("/read/busy", Cause::TargetBusy),
        ("/read/moved", Cause::Misdirected),
    ] {
        let reply = read(path).reply(fleet.entry("shop-1")).await;
        reply.assert_problem(cause, Outcome::NotRun);
    }
}

/// Guards against a caller that forges its service name, which targets trust since daemons set it.
#[tokio::test(flavor = "multi_thread")]
async fn forged_caller_name() {
    let (fleet, _) = start_fleet().await;
    let call = read("/read/caller").header("basilbay-caller-service", "forged");
    let reply = call.reply(fleet.entry("shop-1")).await;
    assert_eq!(reply.body, "shop".as_bytes());
}

/// Guards against unbounded retries to targets that refuse requests as busy or as misdirected.
#[tokio::test(flavor = "multi_thread")]
async fn refused_retries_bounded() {
    let (fleet, count) = start_fleet().await;
    for path in ["/read/busy", "/read/moved"] {
        let before = count.load(Ordering::SeqCst);
        for _ in 0..20 {
            read(path).reply(fleet.entry("shop-1")).await;
        }
        let arrivals = count.load(Ordering::SeqCst) - before;
        // 20 first attempts, the retry budget of 100 percent, and its minimum of 3 retries per second.
        assert!(arrivals <= 20 * 2 + 20, "{path}: {arrivals}");
    }
}

/// Guards against "not run" for a request that the target runs: a late copy of the refusal of an
/// earlier request arrived in the place of its response.
#[tokio::test(flavor = "multi_thread")]
async fn late_refusal() {
    let (fleet, _) = start_fleet().await;
    let call = Call::new(http::Method::POST, "/write/stale-busy");
    let call = call.header("basilbay-request-id", "mine");
    let reply = call.reply(fleet.entry("shop-1")).await;
    reply.assert_problem(Cause::TargetFailed, Outcome::Unknown);
}

/// How a target sends the second copy of a response: the bytes of the copy that arrive at once, and
/// when the rest follows.
const COPIES: [(usize, u64); 6] = [
    (usize::MAX, 0),
    (0, 1),
    (0, 15),
    (20, 15),
    (75, 5),
    (20, 120),
];

/// Starts a target that sends each response twice.
async fn start_repeating_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_twice(stream));
        }
    });
    address
}

async fn respond_twice(stream: TcpStream) -> std::io::Result<()> {
    let (mut reader, writer) = stream.into_split();
    let writer = Arc::new(tokio::sync::Mutex::new(writer));
    let (mut bytes, mut count) = (Vec::new(), 0);
    while reader.read_buf(&mut bytes).await? > 0 {
        if !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
            continue;
        }
        let request = String::from_utf8_lossy(&bytes).into_owned();
        bytes.clear();
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("basilbay-request-id: "))
            .unwrap_or_default();
        let length = id.len();
        let response = format!(
            "HTTP/1.1 200 OK\r\nbasilbay-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{id}"
        );
        let (at_once, later_ms) = COPIES[count % COPIES.len()];
        count += 1;
        let at_once = at_once.min(response.len());
        let mut first = response.clone().into_bytes();
        first.extend(&response.as_bytes()[..at_once]);
        writer.lock().await.write_all(&first).await?;
        let writer = writer.clone();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(later_ms)).await;
            let rest = &response.as_bytes()[at_once..];
            writer.lock().await.write_all(rest).await
        });
    }
    Ok(())
}

/// Guards against a second copy of a response that reaches the next caller on the same connection:
/// whole or in pieces, between two requests or in the middle of the next response.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_responses() {
    let plan = Plan {
        target_override: Some((0, start_repeating_target().await)),
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    let mut answered = 0;
    for round in 0..30 {
        let calls = (0..4).map(|n| async move {
            let id = format!("call-{round}-{n}");
            let call = Call::new(http::Method::POST, "/write");
            let call = call.header("basilbay-request-id", &id).timeout_ms(1_000);
            let reply = call.reply(entry).await;
            if reply.status == 200 {
                assert_eq!(reply.body, id.as_bytes());
            }
            u32::from(reply.status == 200)
        });
        answered += futures::future::join_all(calls).await.iter().sum::<u32>();
    }
    assert!(answered > 30, "{answered} of 120 requests were answered");
}
