//! Invalid input from callers, peers and operators, and the errors that the daemon returns for it.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use basilbay_wire::frame;
use basilbay_wire::header;
use basilbay_wire::hop::{Hop, Role};
use basilbay_wire::problem::{Cause, Outcome};
use http::{Method, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use call::Call;
use fleet::{Fleet, Plan};

const VERSIONS: [Version; 2] = [Version::HTTP_11, Version::HTTP_2];

async fn start_fleet() -> Fleet {
    Fleet::start(Plan::new(&[("desk", 1)])).await
}

/// Sends a request over both HTTP versions and asserts that it is refused as not run and that the
/// daemon still serves.
async fn assert_refused(fleet: &Fleet, call: Call, cause: Cause) {
    let entry = fleet.entry("desk-1");
    for version in VERSIONS {
        let reply = call
            .clone()
            .id("refused")
            .http_version(version)
            .reply(entry)
            .await;
        reply.assert_problem(cause, Outcome::NotRun);
        assert_serves(fleet, version).await;
    }
    assert!(fleet.runs("refused", 0).await.is_empty());
}

async fn assert_serves(fleet: &Fleet, version: Version) {
    let call = Call::read().id("fine").http_version(version);
    call.reply(fleet.entry("desk-1"))
        .await
        .assert_response("fine", 0);
}

/// Guards against requests that are sent to an arbitrary service, or to a target although no kind
/// of its service matches.
#[tokio::test]
async fn unknown_names() {
    let fleet = start_fleet().await;
    assert_refused(
        &fleet,
        Call::read().service("nowhere"),
        Cause::UnknownService,
    )
    .await;
    assert_refused(
        &fleet,
        Call::new(Method::GET, "/nothing"),
        Cause::UnknownService,
    )
    .await;
    assert_refused(
        &fleet,
        Call::new(Method::DELETE, "/read"),
        Cause::UnknownService,
    )
    .await;
}

/// Guards against running requests whose time-out is malformed or has passed.
#[tokio::test]
async fn invalid_deadlines() {
    let fleet = start_fleet().await;
    for text in ["soon", "1.5", "", "99999999999999999999"] {
        let call = Call::read().header(header::TIMEOUT_MS, text);
        assert_refused(&fleet, call, Cause::BadRequest).await;
    }
    let twice = Call::read().timeout_ms(100).timeout_ms(200);
    assert_refused(&fleet, twice, Cause::BadRequest).await;
    for text in ["0", "-5"] {
        let call = Call::read().header(header::TIMEOUT_MS, text);
        assert_refused(&fleet, call, Cause::DeadlinePassed).await;
    }
}

/// Guards against idempotency keys that daemons could interpret differently.
#[tokio::test]
async fn invalid_keys() {
    let fleet = start_fleet().await;
    let future = uuid::Timestamp::from_unix(uuid::NoContext, 32_503_680_000, 0);
    let future_key = uuid::Uuid::new_v7(future).to_string();
    for key in ["", "two words", &"k".repeat(129), "caf\u{e9}", &future_key] {
        assert_refused(&fleet, Call::write("x").key(key), Cause::BadRequest).await;
    }
    let twice = Call::write("x").key("one").key("two");
    assert_refused(&fleet, twice, Cause::BadRequest).await;
}

/// Guards against header sections that exhaust the memory of the daemon or of its target.
#[tokio::test]
async fn oversized_headers() {
    let fleet = start_fleet().await;
    let large = Call::read().header("x-large", &"a".repeat(17 * 1024));
    assert_refused(&fleet, large, Cause::HeadersTooLarge).await;
    let many = (0..80).fold(Call::read(), |call, n| call.header(&format!("x-{n}"), "a"));
    assert_refused(&fleet, many, Cause::HeadersTooLarge).await;
    for version in VERSIONS {
        // Above the limit of the HTTP library the connection may close without a problem document.
        let huge = Call::read()
            .http_version(version)
            .header("x-huge", &"a".repeat(512 * 1024));
        if let Ok(reply) = huge.send(fleet.entry("desk-1")).await {
            assert!(reply.status.is_client_error());
        }
        assert_serves(&fleet, version).await;
    }
}

/// Guards against endless loops of services that call each other.
#[tokio::test]
async fn call_depth_limit() {
    let fleet = start_fleet().await;
    let deep = |depth: &str| Call::read().header(header::DEPTH, depth);
    assert_refused(&fleet, deep("12"), Cause::TooDeep).await;
    assert_refused(&fleet, deep("300"), Cause::TooDeep).await;
    assert_refused(&fleet, deep("deep"), Cause::BadRequest).await;
    let entry = fleet.entry("desk-1");
    deep("11")
        .id("last")
        .reply(entry)
        .await
        .assert_response("last", 0);
}

/// Guards against running requests whose hop header is missing or malformed.
#[tokio::test]
async fn invalid_hops() {
    let fleet = start_fleet().await;
    let peers = fleet.daemon("desk-1").peers;
    let other = frame::encode_header(&["not", "a", "hop"]);
    let keyless = frame::encode_header(&Hop {
        goal_ms: 0,
        format: frame::FORMAT_VERSION,
        service: "desk".into(),
        kind: "write".into(),
        idempotent: false,
        weight: 1,
        timeout_ms: 1000,
        allowance: 0,
        may_wait: true,
        suspect: false,
        aborted: false,
        repeat: false,
        depth: 0,
        origin: "desk-9".into(),
        config_version: 1,
        role: Role::Owner,
        fingerprint: 1,
    });
    for hop in ["%%%", "AAAA", "", &other, &keyless, &"A".repeat(8000)] {
        for version in VERSIONS {
            let call = Call::read()
                .header(header::HOP, hop)
                .id("hop")
                .http_version(version);
            let reply = call.reply(peers).await;
            reply.assert_problem(Cause::BadRequest, Outcome::NotRun);
        }
    }
    let reply = Call::read().id("hop").reply(peers).await;
    reply.assert_problem(Cause::BadRequest, Outcome::NotRun);
    assert!(fleet.runs("hop", 0).await.is_empty());
    assert_serves(&fleet, Version::HTTP_11).await;
}

/// Guards against a daemon that stops or misbehaves because of datagrams that are not of its
/// format.
#[tokio::test]
async fn invalid_datagrams() {
    let fleet = start_fleet().await;
    let peers = fleet.daemon("desk-1").peers;
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    for datagram in [
        &b"garbage"[..],
        &[],
        &[0xc1; 64],
        &[0x93; 1200],
        &[0x80; 9000],
    ] {
        socket.send_to(datagram, peers).await.unwrap();
    }
    let deadline = tokio::time::Instant::now() + Duration::from_secs(5);
    while fleet.log("desk-1").matches("\"event\":605").count() < 5 {
        assert!(
            tokio::time::Instant::now() < deadline,
            "{}",
            fleet.log("desk-1")
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_serves(&fleet, Version::HTTP_11).await;
}

/// Guards against a daemon that crashes or hangs on bytes that are not HTTP.
#[tokio::test]
async fn garbage_bytes() {
    let fleet = start_fleet().await;
    let daemon = fleet.daemon("desk-1");
    for port in [daemon.callers, daemon.peers, daemon.admin] {
        for bytes in [
            &b"\x00\x01\x02\xff\xfe"[..],
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnot frames at all",
            &[0x16; 5000],
        ] {
            let mut stream = TcpStream::connect(port).await.unwrap();
            let _ = stream.write_all(bytes).await;
            let _ = stream.shutdown().await;
            let mut rest = Vec::new();
            let read = stream.read_to_end(&mut rest);
            tokio::time::timeout(Duration::from_secs(5), read)
                .await
                .expect("the connection closes within 5 s")
                .ok();
        }
    }
    for version in VERSIONS {
        assert_serves(&fleet, version).await;
    }
    fleet.wait_until_serving().await;
}

/// Guards against causes of problem documents that are missing from the page for callers.
#[test]
fn causes_documented() {
    let page = include_str!("../../../docs/callers.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let causes: Vec<&str> = rows.filter(|line| line.matches('|').count() == 5).collect();
    for (cause, row) in Cause::ALL.into_iter().zip(&causes) {
        let status = cause.status().as_u16();
        let start = format!("| `{}` | {status} | ", cause.slug());
        assert!(
            row.starts_with(&start),
            "'{row}' does not start with '{start}'"
        );
        assert!(row.contains("not-run") || row.contains("unknown"), "{row}");
    }
    assert_eq!(causes.len(), Cause::ALL.len());
}
