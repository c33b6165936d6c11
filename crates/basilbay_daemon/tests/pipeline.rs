//! HTTP/1.1 pipelining: callers send further requests before the first response arrives.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use fleet::{Fleet, Plan};

/// Service time of a request.
const SERVICE_TIME_US: u64 = 300_000;

fn get(id: &str) -> String {
    format!("GET /read/{id} HTTP/1.1\r\nhost: desk\r\nx-fake-request: {id}\r\n\r\n")
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address)
        .await
        .expect("the daemon accepts connections")
}

/// Reads until `count` responses have begun, or the connection closes.
async fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut text = Vec::new();
    loop {
        let so_far = String::from_utf8_lossy(&text).into_owned();
        if so_far.matches("HTTP/1.1 ").count() >= count {
            return so_far;
        }
        match tokio::time::timeout(Duration::from_secs(5), stream.read_buf(&mut text)).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => return String::from_utf8_lossy(&text).into_owned(),
        }
    }
}

/// Guards against head-of-line blocking: pipelined requests must run concurrently.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests() {
    let plan = Plan {
        service_time_us: SERVICE_TIME_US,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let started = Instant::now();
    let requests: String = (0..4).map(|n| get(&format!("side{n}"))).collect();
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let responses = read_responses(&mut stream, 4).await;
    assert_eq!(responses.matches("HTTP/1.1 200").count(), 4, "{responses}");
    let elapsed = started.elapsed();
    assert!(
        elapsed < Duration::from_micros(3 * SERVICE_TIME_US),
        "{elapsed:?}"
    );
}

/// Starts a target that closes the connection within the response to `/read/broken` and sends
/// complete responses to all other requests.
async fn start_truncating_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = Vec::new();
                while let Ok(count) = stream.read_buf(&mut request).await {
                    if count == 0 {
                        return;
                    }
                    if !request.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    if String::from_utf8_lossy(&request).contains("/read/broken") {
                        // Larger than what daemons buffer, so that the beginning is passed on.
                        let begin = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\nbegin";
                        let _ = stream.write_all(begin.as_bytes()).await;
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        return;
                    }
                    let complete = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nsecond-body";
                    let _ = stream.write_all(complete.as_bytes()).await;
                    request.clear();
                }
            });
        }
    });
    address
}

/// Guards against a second response that the caller reads as the rest of a truncated first one:
/// the daemon must close the connection instead of sending the second response.
#[tokio::test(flavor = "multi_thread")]
async fn first_response_truncated() {
    let plan = Plan {
        target_override: Some((0, start_truncating_target().await)),
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let requests = get("broken") + &get("second");
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let responses = read_responses(&mut stream, 9).await;
    assert!(!responses.contains("second-body"), "{responses}");
}

/// Guards against responses that are dropped without a trace: the log must name the connection, and
/// the lines of its requests must have the same number.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_responses_logged() {
    let plan = Plan {
        target_override: Some((0, start_truncating_target().await)),
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let requests = get("broken") + &get("second") + &get("third");
    stream.write_all(requests.as_bytes()).await.expect("sent");
    read_responses(&mut stream, 9).await;
    let log = fleet.log("shop-1");
    let dropped = log.lines().find(|line| line.contains("\"event\":406"));
    let dropped = dropped.unwrap_or_else(|| panic!("event 406 is missing in {log}"));
    assert!(dropped.contains("\"requests\":2"), "{dropped}");
    let number = dropped
        .split("\"connection\":")
        .nth(1)
        .expect("a connection");
    let number = number.split([',', '}']).next().expect("a number");
    let connection = format!("\"connection\":{number}");
    let answered = log.lines().filter(|line| line.contains("\"event\":400"));
    let same = answered.filter(|line| line.contains(&connection)).count();
    assert_eq!(same, 3, "{log}");
}

/// Guards against requests that continue to run after their caller has disconnected, which the
/// daemon may miss while bytes of a further request are buffered.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let plan = Plan {
        service_time_us: 5_000_000,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let requests = get("left0") + &get("left1") + "GET /read/half HTTP/1.1\r\nhost:";
    stream.write_all(requests.as_bytes()).await.expect("sent");
    fleet.wait_for_in_flight("desk-1", 2).await;
    drop(stream);
    let disconnected_at = Instant::now();
    while fleet.targets.status().iter().any(|it| it.in_flight > 0) {
        assert!(disconnected_at.elapsed() < Duration::from_millis(500));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a stop that never completes because a busy connection keeps sending requests.
#[tokio::test(flavor = "multi_thread")]
async fn stop_while_busy() {
    let plan = Plan {
        service_time_us: 100_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let mut fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let (mut reader, mut writer) = stream.split();
    fleet.signal("shop-1", Signal::TERM);
    let stop_requested_at = Instant::now();
    let send = async {
        for n in 0..200 {
            if writer
                .write_all(get(&format!("busy{n}")).as_bytes())
                .await
                .is_err()
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let mut text = Vec::new();
    let receive =
        async { while matches!(reader.read_buf(&mut text).await, Ok(count) if count > 0) {} };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
    let elapsed = stop_requested_at.elapsed();
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
    let responses = String::from_utf8_lossy(&text);
    assert!(responses.contains("connection: close"), "{responses}");
    let last = responses.rsplit("HTTP/1.1 ").next().unwrap_or_default();
    assert!(last.starts_with("200"), "{last}");
    drop(stream);
    assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
}
