//! Each caller gets the complete response to its own request, or an error that says that there is
//! none.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::proxy::fault::Faults;
use basilbay_fakes::targets::fault::{Change, Straggle};
use basilbay_fakes::targets::response::filler;
use futures::future::join_all;
use http::{Method, Version};
use rustix::process::Signal;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use basilbay_wire::problem::{Cause, Outcome};
use call::Call;
use fleet::{Fleet, Plan};

const VERSIONS: [Version; 2] = [Version::HTTP_11, Version::HTTP_2];

/// Response sizes below and above the size up to which daemons buffer a response.
const SIZES: [usize; 4] = [0, 3_000, 60_000, 200_000];

/// Numbers of bytes after which connections are reset: within the request, the response headers and
/// the response body.
const OFFSETS: [u64; 12] = [
    1, 60, 150, 300, 450, 700, 1_500, 3_000, 20_000, 66_000, 150_000, 199_000,
];

fn reset_after(bytes: u64) -> Faults {
    Faults {
        reset_after_bytes: Some(bytes),
        ..Faults::default()
    }
}

/// Guards against responses that are mixed up or lost when many requests are in flight and one
/// target is slow.
#[tokio::test(flavor = "multi_thread")]
async fn responses_not_mixed() {
    let fleet = Fleet::start(Plan::new(&[("desk", 3), ("shop", 1)])).await;
    let straggle = Some(Straggle {
        factor: 20.0,
        for_ms: 60_000,
    });
    fleet.targets.change(
        "desk-2",
        &Change {
            straggle,
            ..Change::default()
        },
    );
    let calls = (0..120).map(|n| {
        let daemon = &fleet.daemons[n % fleet.daemons.len()];
        let (id, size, version) = (format!("r{n}"), SIZES[n / 7 % 4], VERSIONS[n / 3 % 2]);
        async move {
            let call = Call::submit(id.clone())
                .id(&id)
                .response_bytes(size)
                .http_version(version);
            call.reply(daemon.callers).await.assert_response(&id, size);
        }
    });
    join_all(calls).await;
}

/// Guards against large bodies that are truncated, buffered in full, or sent twice.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies() {
    let fleet = Fleet::start(Plan::new(&[("desk", 2), ("shop", 1)])).await;
    let size = 1024 * 1024;
    let calls = (0..8).map(|n| {
        let (id, version) = (format!("large{n}"), VERSIONS[n % 2]);
        let entry = fleet.daemons[n % 3].callers;
        async move {
            let call = Call::submit(filler(&id, size))
                .id(&id)
                .response_bytes(size)
                .http_version(version);
            call.reply(entry).await.assert_response(&id, size);
        }
    });
    join_all(calls).await;
    for n in 0..8 {
        assert_eq!(fleet.runs(&format!("large{n}"), 1).await.len(), 1);
    }
}

/// Guards against a retry without the body: a streamed request body is consumed by the first
/// attempt and cannot be sent again after a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn body_sent_once() {
    let target_override = Some((1, start_size_target().await));
    let plan = Plan {
        target_override,
        policy: "round-robin",
        queue: 0,
        slots: 1,
        service_time_us: 3_000_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let pending = Call::read().id("held").hop("desk", 10_000);
    let peers = fleet.daemon("desk-1").peers;
    let pending = tokio::spawn(async move { pending.send(peers).await });
    fleet.wait_for_in_flight("desk-1", 1).await;
    let size = 200_000;
    for round in 0..4 {
        let call = Call::submit(vec![b'x'; size]).id(&format!("once{round}"));
        let reply = call.reply(fleet.entry("shop-1")).await;
        if !reply.status.is_success() {
            reply.assert_problem(Cause::NoCapacity, Outcome::NotRun);
            continue;
        }
        let body = String::from_utf8_lossy(&reply.body);
        assert!(body.contains(&format!("\"request\":\"{size}\"")), "{body}");
    }
    pending.abort();
}

/// Starts a target that responds with the size of the request body.
async fn start_size_target() -> SocketAddr {
    serve(|length, _| {
        let json = format!("{{\"target\":\"sizes\",\"request\":\"{length}\",\"ran\":true}}");
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{json}",
            json.len()
        )
        .into_bytes()
    })
    .await
}

/// Starts a target that responds with a chunked body of the size in `x-fake-body-bytes`.
async fn start_chunked_target() -> SocketAddr {
    serve(|_, response_bytes| {
        let mut response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for chunk in filler("chunks", response_bytes).chunks(5_000) {
            response.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
            response.extend(chunk);
            response.extend(b"\r\n");
        }
        response.extend(b"0\r\n\r\n");
        response
    })
    .await
}

/// Serves HTTP/1.1 with raw responses; `respond` builds each one from the size of the request body
/// and the requested size.
async fn serve(respond: fn(usize, usize) -> Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, respond));
        }
    });
    address
}

async fn serve_connection(
    stream: TcpStream,
    respond: fn(usize, usize) -> Vec<u8>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut length, mut response_bytes, mut line) = (0, 0, String::new());
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            match line.trim_end().split_once(": ") {
                Some(("content-length", value)) => length = value.parse().unwrap_or(0),
                Some(("x-fake-body-bytes", value)) => response_bytes = value.parse().unwrap_or(0),
                Some(_) => {}
                None if line.trim_end().is_empty() => break,
                None => {}
            }
        }
        stream.read_exact(&mut vec![0; length]).await?;
        stream.write_all(&respond(length, response_bytes)).await?;
    }
}

/// Sends requests while a proxy route resets its connections after each of [`OFFSETS`] bytes.
///
/// Asserts that every successful response is complete; returns the numbers of complete responses
/// and of errors.
async fn send_through_resets(
    fleet: &Fleet,
    route: &str,
    is_expected: fn(&call::Reply, &str, usize) -> bool,
) -> (u32, u32) {
    let (mut complete, mut failed) = (0, 0);
    let entry = fleet.entry("shop-1");
    for (n, offset) in OFFSETS.into_iter().enumerate() {
        fleet.proxy.set_faults(route, reset_after(offset));
        fleet.proxy.reset_connections(route);
        let calls = SIZES.into_iter().map(|size| async move {
            // A path of its own for each request, so that none is suspected of crashing the target.
            let id = format!("cut{offset}-{size}");
            let call = Call::new(Method::GET, &format!("/read/{id}"))
                .id(&id)
                .response_bytes(size);
            match call
                .http_version(VERSIONS[n % 2])
                .timeout_ms(2_000)
                .send(entry)
                .await
            {
                Ok(reply) if reply.status.is_success() => {
                    assert!(
                        is_expected(&reply, &id, size),
                        "truncated response: reset after {offset} bytes, body of {size} bytes"
                    );
                    true
                }
                Ok(reply) => {
                    reply.problem();
                    false
                }
                Err(_) => false,
            }
        });
        for is_complete in join_all(calls).await {
            if is_complete {
                complete += 1;
            } else {
                failed += 1;
            }
        }
    }
    fleet.proxy.set_faults(route, Faults::default());
    let deadline = Instant::now() + Duration::from_secs(5);
    while Call::read().id("after").reply(entry).await.status != 200 {
        assert!(
            Instant::now() < deadline,
            "no successful response within 5 s after the last reset"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (complete, failed)
}

fn is_target_response(reply: &call::Reply, id: &str, size: usize) -> bool {
    basilbay_fakes::targets::response::is_complete(id, size, &reply.body)
}

fn is_chunked_response(reply: &call::Reply, _: &str, size: usize) -> bool {
    reply.body == filler("chunks", size)
}

/// Guards against truncated responses that are passed on as complete when a connection between
/// daemon and target is reset.
#[tokio::test(flavor = "multi_thread")]
async fn reset_at_target() {
    let fleet = Fleet::start(Plan {
        proxy_targets: true,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    })
    .await;
    let (complete, failed) = send_through_resets(&fleet, "target-desk-1", is_target_response).await;
    assert!(
        complete > 0 && failed > 0,
        "{complete} complete, {failed} failed"
    );
}

/// Guards against truncated responses that are passed on as complete when a connection between
/// daemons is reset.
#[tokio::test(flavor = "multi_thread")]
async fn reset_between_daemons() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let (complete, failed) = send_through_resets(&fleet, "peer-desk-1", is_target_response).await;
    assert!(
        complete > 0 && failed > 0,
        "{complete} complete, {failed} failed"
    );
}

/// Guards against chunked responses that are passed on as complete although a reset cut off their
/// last chunk.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_chunks() {
    let target_override = Some((0, start_chunked_target().await));
    let plan = Plan {
        target_override,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    for route in ["target-desk-1", "peer-desk-1"] {
        let (complete, failed) = send_through_resets(&fleet, route, is_chunked_response).await;
        assert!(
            complete > 0 && failed > 0,
            "{route}: {complete} complete, {failed} failed"
        );
    }
}

/// Guards against errors for idempotent requests when a connection is reset although a retry would
/// succeed.
#[tokio::test(flavor = "multi_thread")]
async fn retried_read() {
    let fleet = Fleet::start(Plan {
        proxy_targets: true,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    })
    .await;
    for route in ["target-desk-1", "peer-desk-1"] {
        fleet.proxy.set_faults(route, reset_after(700));
        fleet.proxy.reset_connections(route);
        for n in 0..10 {
            let id = format!("again{n}-{route}");
            let call = Call::new(Method::GET, &format!("/read/{id}"))
                .id(&id)
                .response_bytes(3_000);
            call.reply(fleet.entry("shop-1"))
                .await
                .assert_response(&id, 3_000);
        }
        fleet.proxy.set_faults(route, Faults::default());
        fleet.wait_until_serving().await;
    }
}

/// Guards against a second run of a non-idempotent request after a reset, and against "not run" for
/// one that has run.
#[tokio::test(flavor = "multi_thread")]
async fn write_not_retried() {
    let fleet = Fleet::start(Plan {
        proxy_targets: true,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    })
    .await;
    for (n, route) in ["target-desk-1", "peer-desk-1"]
        .repeat(6)
        .into_iter()
        .enumerate()
    {
        fleet.proxy.set_faults(route, reset_after(OFFSETS[n]));
        fleet.proxy.reset_connections(route);
        let id = format!("write{n}");
        let reply = Call::write(id.clone())
            .id(&id)
            .reply(fleet.entry("shop-1"))
            .await;
        fleet.proxy.set_faults(route, Faults::default());
        let runs = fleet.runs(&id, 0).await.len();
        if reply.status.is_success() {
            reply.assert_response(&id, 0);
        } else if reply.problem().outcome == Outcome::NotRun {
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert_eq!(fleet.runs(&id, 0).await.len(), 0, "{id} ran: {reply:?}");
        }
        assert!(runs <= 1, "{id} ran {runs} times");
    }
}

/// Guards against unbounded buffering: callers that read slowly must not fill the memory of
/// daemons.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let resident = || ["desk-1", "shop-1"].map(|id| fleet.resident_kib(id));
    Call::read()
        .id("first")
        .response_bytes(1024 * 1024)
        .reply(fleet.entry("shop-1"))
        .await;
    let before = resident();
    let head = "GET /read HTTP/1.1\r\nhost: desk\r\nx-fake-body-bytes: 16777216\r\n\r\n";
    let mut slow = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(fleet.entry("shop-1")).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    let forwarded_bytes = || {
        fleet
            .proxy
            .status()
            .iter()
            .map(|route| route.bytes)
            .sum::<u64>()
    };
    let mut last = 0;
    while forwarded_bytes() > last + 64 * 1024 || last < 1024 * 1024 {
        last = forwarded_bytes();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // Responses of 128 MiB in total are in flight; each stream may hold its flow-control window of
    // 256 KiB and some buffers.
    for (before, after) in before.into_iter().zip(resident()) {
        assert!(
            after < before + 24 * 1024,
            "resident memory grew from {before} to {after} KiB"
        );
    }
    let concurrent = Call::read().id("concurrent");
    let mut reply = concurrent.reply(fleet.entry("shop-1")).await;
    // On a busy machine a daemon may get no processor for longer than a pause; until its view is
    // confirmed again, it refuses requests as not run.
    let has_paused = |id| fleet.log(id).contains("\"event\":103");
    if reply.headers.contains_key("retry-after") && (has_paused("desk-1") || has_paused("shop-1")) {
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        reply = concurrent.reply(fleet.entry("shop-1")).await;
    }
    reply.assert_response("concurrent", 0);
}

/// Guards against running work that is given up because the daemon beside its target has no processor
/// for a while: the request must not be sent again, and its target still works on it.
#[tokio::test(flavor = "multi_thread")]
async fn silent_daemon() {
    let plan = Plan {
        service_time_us: 1_500_000,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    let calls = (0..4).map(|n| async move {
        let id = format!("silent{n}");
        let call = Call::write("x").id(&id).timeout_ms(8_000);
        call.reply(entry).await.assert_response(&id, 0);
    });
    let calls = tokio::spawn(join_all(calls));
    fleet.wait_for_in_flight("desk-1", 4).await;
    fleet.signal("desk-1", Signal::STOP);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    fleet.signal("desk-1", Signal::CONT);
    calls.await.expect("all requests are answered");
    for n in 0..4 {
        assert_eq!(fleet.runs(&format!("silent{n}"), 1).await.len(), 1);
    }
}

/// Guards against a request that is lost, and must not be sent again, because its target's daemon has
/// been unreachable for a while without any sign.
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer() {
    let plan = Plan {
        policy: "round-robin",
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    for n in 0..8 {
        let id = format!("before{n}");
        let call = Call::write("x").id(&id);
        call.reply(entry).await.assert_response(&id, 0);
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.signal("desk-1", Signal::STOP);
    for n in 0..8 {
        let id = format!("silent{n}");
        let call = Call::write("x").id(&id).timeout_ms(4_000);
        let reply = call.reply(entry).await;
        reply.assert_response(&id, 0);
        assert_eq!(reply.target(), "desk-2");
    }
    fleet.signal("desk-1", Signal::CONT);
}

/// Guards against a request that waits for an unreachable daemon although it could be answered
/// elsewhere: there is no usual response time yet, so that it is not hedged.
#[tokio::test(flavor = "multi_thread")]
async fn reads_leave_silent_peer() {
    let fleet = Fleet::start(Plan::new(&[("desk", 2), ("shop", 1)])).await;
    let entry = fleet.entry("shop-1");
    fleet.signal("desk-1", Signal::STOP);
    for n in 0..6 {
        let id = format!("read{n}");
        let call = Call::new(Method::GET, &format!("/read/{id}")).id(&id);
        let reply = call.timeout_ms(1_500).reply(entry).await;
        reply.assert_response(&id, 0);
    }
    fleet.signal("desk-1", Signal::CONT);
}
