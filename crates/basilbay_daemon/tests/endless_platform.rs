//! A configuration service and an instance list that send bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use basilbay_daemon::platform::Platform;
use basilbay_daemon::source::Source;
use basilbay_membership::reader::{PLATFORM_TIMEOUT, WATCH_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Time after the limit within which a read must have ended on a busy machine.
const GRACE: Duration = Duration::from_millis(800);

/// Buffer of the stand-in's sockets.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Bytes that the stand-in may send on one connection: the limit of a response of about 1 MiB, and
/// the buffers of the sockets.
const MAX_SENT_BYTES: u64 = 8 * 1024 * 1024;

/// Memory that the process may need in addition.
const MAX_GROWTH_KIB: u64 = 32 * 1024;

/// Digits of a chunk size. hyper reads them without keeping them, so only the time limit ends them.
const SIZE_DIGITS: &str = "0000000000";

/// Start and repeated part of the responses.
const RESPONSES: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\n", "x-more: and more\r\n"),
    ("HTTP/1.1 200 OK\r\nx-long: ", "and so on "),
    ("HTTP/1.1 200 OK\r\n\r\n", "and so on and so on and so on "),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
        "name=value;",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        SIZE_DIGITS,
    ),
];

/// Starts a stand-in that sends the start and then the part again and again, a byte of it a second if
/// `is_slow`; returns its address and the bytes sent on the connection that took the most.
async fn start(
    start: &'static str,
    part: &'static str,
    is_slow: bool,
) -> (SocketAddr, Arc<AtomicU64>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let resized = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    resized.expect("a buffer of this size");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let most_sent = Arc::new(AtomicU64::new(0));
    let counter = most_sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_forever(stream, start, part, is_slow, counter.clone()));
        }
    });
    (address, most_sent)
}

async fn send_forever(
    mut stream: TcpStream,
    start: &str,
    part: &str,
    is_slow: bool,
    most_sent: Arc<AtomicU64>,
) -> std::io::Result<()> {
    stream.read_u8().await?;
    stream.write_all(start.as_bytes()).await?;
    let part = if is_slow {
        part[..1].to_owned()
    } else {
        part.repeat(1_000)
    };
    let mut sent = 0;
    loop {
        stream.write_all(part.as_bytes()).await?;
        sent += part.len() as u64;
        most_sent.fetch_max(sent, Ordering::SeqCst);
        if is_slow {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.expect("a VmRSS line")
}

async fn assert_ends((begin, part): (&'static str, &'static str), is_slow: bool) {
    let before = resident_kib();
    let (address, most_sent) = start(begin, part, is_slow).await;
    let platform = Platform::new(address, address, Arc::default());
    let reads = [
        (platform.config(), PLATFORM_TIMEOUT),
        (platform.roster(0), PLATFORM_TIMEOUT),
        (platform.watch(1), WATCH_TIMEOUT + PLATFORM_TIMEOUT),
    ];
    for (read, limit) in reads {
        let started_at = Instant::now();
        let is_failed = read.await.is_err();
        let elapsed = started_at.elapsed();
        assert!(is_failed, "{begin:?} {part:?}");
        assert!(elapsed < limit + GRACE, "{begin:?}: {elapsed:?}");
    }
    let most_sent = most_sent.load(Ordering::SeqCst);
    let is_kept = part != SIZE_DIGITS;
    assert!(
        !is_kept || most_sent < MAX_SENT_BYTES,
        "{begin:?}: {most_sent} bytes"
    );
    let growth = resident_kib().saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "{begin:?}: grew by {growth} KiB");
}

/// Guards against services that occupy memory or a reader forever with a head or a body without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes() {
    for response in RESPONSES {
        assert_ends(response, false).await;
    }
    let slow = RESPONSES.map(|response| tokio::spawn(assert_ends(response, true)));
    for test in slow {
        test.await.expect("no failed assertion");
    }
}
