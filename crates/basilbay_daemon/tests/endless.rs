//! Targets and callers that send bytes without end.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::{Method, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use call::Call;
use fleet::{Fleet, Plan};

/// Timeout of the requests to targets in trouble.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Time after the deadline within which a caller must have its answer on a busy machine.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Memory that a daemon may need in addition while a target sends bytes without end.
const MAX_GROWTH_KIB: u64 = 32 * 1024;

/// What a target sends after the start of a response, again and again: the path of the request, the
/// start and the repeated part.
const RESPONSES: [(&str, &str, &str); 9] = [
    (
        "/read/headers",
        "HTTP/1.1 200 OK\r\n",
        "x-more: and more\r\n",
    ),
    ("/read/header", "HTTP/1.1 200 OK\r\nx-long: ", "and so on "),
    ("/read/status", "HTTP/1.1 200 O", "KOKOKOKO"),
    ("/read/interim", "", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("/read/noise", "", "\0\x01\x02 no response "),
    (
        "/read/size",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "0000000000",
    ),
    (
        "/read/extension",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
        "name=value;",
    ),
    (
        "/read/trailers",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        "x-more: and more\r\n",
    ),
    ("/read/body", "HTTP/1.1 200 OK\r\n\r\n", "and so on "),
];

/// Time between two repeated parts: none, or long.
const PACES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];

/// Starts a target that responds as [`RESPONSES`] states, slowly if the path ends with `/slow`;
/// returns its address and the number of connections on which it still sends.
async fn start_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    let sending = Arc::new(AtomicUsize::new(0));
    let counter = sending.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, counter.clone()));
        }
    });
    (address, sending)
}

async fn serve(mut stream: TcpStream, sending: Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await? > 0 {
        if !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
            continue;
        }
        let request = String::from_utf8_lossy(&bytes).into_owned();
        bytes.clear();
        let path = request.split(' ').nth(1).unwrap_or_default();
        let kind = path.strip_suffix("/slow").unwrap_or(path);
        let Some((_, start, part)) = RESPONSES.iter().find(|(it, _, _)| *it == kind) else {
            let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(response.as_bytes()).await?;
            continue;
        };
        let pace = PACES[usize::from(kind != path)];
        sending.fetch_add(1, Ordering::SeqCst);
        let result = send_forever(&mut stream, start, part, pace).await;
        sending.fetch_sub(1, Ordering::SeqCst);
        return result;
    }
    Ok(())
}

async fn send_forever(
    stream: &mut TcpStream,
    start: &str,
    part: &str,
    pace: Duration,
) -> std::io::Result<()> {
    stream.write_all(start.as_bytes()).await?;
    let repeated = if pace.is_zero() { 1_000 } else { 1 };
    let part = part.repeat(repeated);
    loop {
        stream.write_all(part.as_bytes()).await?;
        tokio::time::sleep(pace).await;
    }
}

async fn start_fleet(target: SocketAddr) -> Fleet {
    let plan = Plan {
        target_override: Some((0, target)),
        slots: 2,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    Fleet::start(plan).await
}

/// Guards against a target that occupies its daemon's memory, a slot or a caller forever, and against
/// a success for bytes that are no answer.
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses() {
    let (target, sending) = start_target().await;
    let fleet = start_fleet(target).await;
    let entry = fleet.entry("shop-1");
    let before = ["desk-1", "shop-1"].map(|id| fleet.resident_kib(id));
    for (path, _, _) in RESPONSES {
        for suffix in ["", "/slow"] {
            let path = format!("{path}{suffix}");
            let started_at = Instant::now();
            let call = Call::new(Method::GET, &path).timeout_ms(TIMEOUT.as_millis() as u64);
            let reply = tokio::time::timeout(TIMEOUT + ANSWER_GRACE, call.send(entry))
                .await
                .unwrap_or_else(|_| panic!("{path}: no end after {:?}", started_at.elapsed()));
            if let Ok(reply) = reply {
                assert!(!reply.status.is_success(), "{path}: {:?}", reply.status);
            }
            let next = Call::new(Method::GET, "/read").timeout_ms(2_000);
            let next = next.reply(entry).await;
            assert_eq!(next.status, 200, "after {path}: {next:?}");
            for (id, before) in ["desk-1", "shop-1"].iter().zip(before) {
                let now = fleet.resident_kib(id);
                assert!(
                    now < before + MAX_GROWTH_KIB,
                    "{path}: {id} grew from {before} to {now} KiB"
                );
            }
        }
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while sending.load(Ordering::SeqCst) > 0 {
        assert!(
            Instant::now() < deadline,
            "connections on which the target still sends: {}",
            sending.load(Ordering::SeqCst)
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a caller that occupies memory or a connection forever with a request that never
/// ends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_requests() {
    let (target, _) = start_target().await;
    let fleet = start_fleet(target).await;
    let entry = fleet.entry("shop-1");
    let before = fleet.resident_kib("shop-1");
    let chunked = "POST /submit HTTP/1.1\r\nhost: desk\r\nbasilbay-timeout-ms: 700\r\n\
                   transfer-encoding: chunked\r\n\r\n";
    let requests = [
        (
            "GET /read HTTP/1.1\r\nhost: desk\r\n".to_owned(),
            "x-more: and more\r\n",
        ),
        ("GET /read HTTP/1.1\r\nx-long: ".to_owned(), "and so on "),
        ("GET /".to_owned(), "path/"),
        (format!("{chunked}5;"), "name=value;"),
        (chunked.to_owned(), "0000000000"),
        (format!("{chunked}2\r\nok\r\n0\r\n"), "x-more: and more\r\n"),
    ];
    for (start, part) in requests {
        let mut stream = TcpStream::connect(entry).await.expect("the port is open");
        stream.write_all(start.as_bytes()).await.expect("sent");
        let part = part.repeat(1_000);
        let (mut reader, mut writer) = stream.into_split();
        let sender =
            tokio::spawn(async move { while writer.write_all(part.as_bytes()).await.is_ok() {} });
        let ended = tokio::time::timeout(Duration::from_secs(10), async {
            let mut response = Vec::new();
            // A reset after the refusal is as good as an orderly end.
            let _ = reader.read_to_end(&mut response).await;
            String::from_utf8_lossy(&response).into_owned()
        });
        let response = ended
            .await
            .unwrap_or_else(|_| panic!("{start:?} was read for 10 s"));
        assert!(!response.starts_with("HTTP/1.1 2"), "{start:?}: {response}");
        sender.await.expect("the sender ends");
        let now = fleet.resident_kib("shop-1");
        assert!(
            now < before + MAX_GROWTH_KIB,
            "{start:?}: shop-1 grew from {before} to {now} KiB"
        );
    }
    let next = Call::new(Method::GET, "/read").http_version(Version::HTTP_2);
    assert_eq!(next.reply(entry).await.status, 200);
}
