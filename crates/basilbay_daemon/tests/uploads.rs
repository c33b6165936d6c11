//! Requests with bodies that are too large to buffer.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use basilbay_fakes::targets::fault::{Change, Straggle};
use basilbay_fakes::targets::response::filler;
use basilbay_wire::header;
use basilbay_wire::problem::{Cause, Outcome};
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use call::Call;
use fleet::{Fleet, Plan};

/// Body size above the size up to which daemons buffer a request.
const UPLOAD_BYTES: usize = 300_000;

/// Guards against uploads that fail because the first target was full: the refused attempt had used
/// up a part of the body.
#[tokio::test(flavor = "multi_thread")]
async fn full_target_skipped() {
    let plan = Plan {
        policy: "round-robin",
        queue: 0,
        slots: 1,
        service_time_us: 2_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let peers = fleet.daemon("desk-1").peers;
    let straggle = Some(Straggle {
        factor: 4_000.0,
        for_ms: 60_000,
    });
    fleet.targets.change(
        "desk-1",
        &Change {
            straggle,
            ..Change::default()
        },
    );
    let slow = Call::read().id("slow").hop("desk", 10_000);
    let slow = tokio::spawn(async move { slow.send(peers).await });
    fleet.wait_for_in_flight("desk-1", 1).await;
    for round in 0..6 {
        let id = format!("upload{round}");
        let call = Call::write(filler(&id, UPLOAD_BYTES)).id(&id);
        let reply = call.reply(fleet.entry("shop-1")).await;
        reply.assert_response(&id, 0);
        assert_eq!(reply.target(), "desk-2");
        assert_eq!(fleet.runs(&id, 1).await.len(), 1);
    }
    slow.abort();
}

/// Guards against a body that grows beyond the limit in chunks, where a stated length would be
/// refused.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_limit() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let limit = 200_000;
    let text = fleet.plan.config(2);
    let text = text.replace("[limits]", &format!("[limits]\nbody_bytes = {limit}"));
    fleet
        .platform
        .publish(&text)
        .expect("a valid configuration");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut stream = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("the daemon accepts connections");
    let head = "POST /submit HTTP/1.1\r\nhost: desk\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let (mut reader, mut writer) = stream.into_split();
    let sender = tokio::spawn(async move {
        let chunk = "x".repeat(20_000);
        let chunk = format!("{:x}\r\n{chunk}\r\n", chunk.len());
        let body = chunk.repeat(2 * limit / 20_000) + "0\r\n\r\n";
        // The daemon may close the connection while the body is still being sent.
        let _ = writer.write_all(body.as_bytes()).await;
        writer
    });
    let mut response = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), reader.read_buf(&mut response));
    let count = read.await.expect("an answer within 20 s");
    let status = String::from_utf8_lossy(&response).into_owned();
    assert!(status.starts_with("HTTP/1.1 "), "{count:?}");
    assert!(!status.starts_with("HTTP/1.1 2"), "{status}");
    sender.await.expect("the sender does not panic");
}

/// Starts a target that answers uploads before it has read them, keeps the connection open and reads
/// the rest of the body later; returns its address and the number of bytes that were not part of the
/// body it expected.
async fn start_early_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    let foreign = Arc::new(AtomicUsize::new(0));
    let counter = foreign.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, counter.clone()));
        }
    });
    (address, foreign)
}

async fn answer_early(mut stream: TcpStream, foreign: Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") else {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        bytes.drain(..end + 4);
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |value| value.trim().parse::<usize>().unwrap_or(0));
        let status = if length > 100_000 {
            "413 Too Large"
        } else {
            "200 OK"
        };
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(response.as_bytes()).await?;
        if length > 100_000 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        while bytes.len() < length {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
        let is_body = bytes[..length].iter().all(|byte| *byte == b'u');
        foreign.fetch_add(usize::from(!is_body), Ordering::SeqCst);
        bytes.drain(..length);
    }
}

/// Guards against an answer that is lost because the target gave it before it had read the whole
/// body, and against bytes of the next request in the place of the rest of that body.
#[tokio::test(flavor = "multi_thread")]
async fn early_answers() {
    let (address, foreign) = start_early_target().await;
    let plan = Plan {
        target_override: Some((0, address)),
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let calls = (0..40).map(|n| {
        let entry = fleet.entry("shop-1");
        async move {
            tokio::time::sleep(Duration::from_millis(n * 5)).await;
            if n % 2 == 0 {
                let call = Call::write(vec![b'u'; 5_000_000]).timeout_ms(5_000);
                // The connection may close after the answer, while the body is still being sent.
                if let Ok(reply) = call.send(entry).await {
                    assert!(matches!(reply.status.as_u16(), 413 | 502), "{reply:?}");
                }
            } else {
                let reply = Call::read().timeout_ms(5_000).reply(entry).await;
                assert_eq!((reply.status.as_u16(), &*reply.body), (200, &b"ok"[..]));
            }
        }
    });
    join_all(calls).await;
    assert_eq!(foreign.load(Ordering::SeqCst), 0);
}

/// Guards against a slot that stays occupied by a caller that stops sending its body.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_upload() {
    let plan = Plan {
        slots: 1,
        queue: 4,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stalled = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("the daemon accepts connections");
    let head = format!(
        "POST /write HTTP/1.1\r\nhost: desk\r\nx-request-id: stalled\r\n\
         basilbay-timeout-ms: 600\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stalled.write_all(head.as_bytes()).await.expect("sent");
    stalled
        .write_all(&vec![b'x'; 100_000])
        .await
        .expect("a part of the body is sent");
    let mut response = vec![0; 12];
    let read = tokio::time::timeout(Duration::from_secs(5), stalled.read_exact(&mut response));
    read.await
        .expect("an answer at the deadline")
        .expect("an answer");
    assert_eq!(&response, b"HTTP/1.1 504");
    let reply = Call::read().id("next").timeout_ms(2_000);
    let reply = reply.reply(fleet.entry("shop-1")).await;
    reply.assert_response("next", 0);
}

/// Guards against a second run of an upload whose answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let plan = Plan {
        proxy_targets: true,
        service_time_us: 200_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    for round in 0..4 {
        let id = format!("lost{round}");
        let call = Call::write(filler(&id, UPLOAD_BYTES)).id(&id);
        let entry = fleet.entry("shop-1");
        let pending = tokio::spawn(async move { call.reply(entry).await });
        tokio::time::sleep(Duration::from_millis(120)).await;
        fleet.proxy.reset_connections("target-desk-1");
        fleet.proxy.reset_connections("target-desk-2");
        let reply = pending.await.expect("the call ends");
        reply.assert_problem(Cause::TargetFailed, Outcome::Unknown);
        assert!(fleet.runs(&id, 1).await.len() <= 1);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against links that fill up with uploads which their targets refuse: each refusal cost as much
/// of the link as the whole body, and a request may be refused several times.
#[tokio::test(flavor = "multi_thread")]
async fn refused_early() {
    let plan = Plan {
        queue: 0,
        slots: 1,
        service_time_us: 4_000_000,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let peers = fleet.daemon("desk-1").peers;
    let held = Call::read().id("held").hop("desk", 10_000);
    let held = tokio::spawn(async move { held.send(peers).await });
    fleet.wait_for_in_flight("desk-1", 1).await;

    const CHUNK_BYTES: usize = 4 * 1024;
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    let chunks = (0..UPLOAD_BYTES / CHUNK_BYTES).map(move |_| {
        counter.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
        let data = Bytes::from_static(&[b'x'; CHUNK_BYTES]);
        Ok::<_, Infallible>(Frame::data(data))
    });
    let body = StreamBody::new(futures::stream::iter(chunks));
    let stream = TcpStream::connect(peers).await.expect("the port is open");
    let io = TokioIo::new(stream);
    let (mut sender, driver) = http2::handshake(TokioExecutor::new(), io)
        .await
        .expect("a connection");
    tokio::spawn(driver);
    // The settings of the server arrive with the first response.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut request = Call::write("").hop_request("desk", 5_000);
    request = request.header("x-request-id", "refused");
    let request = request.body(body).expect("a valid request");
    let response = sender.send_request(request).await.expect("a response");
    assert_eq!(response.headers()[header::OUTCOME], "not-run");
    let sent = sent.load(Ordering::SeqCst);
    assert!(sent <= 64 * 1024, "{sent} bytes were sent to a full target");
    held.abort();
}
