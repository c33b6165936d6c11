//! Callers that send further requests before the first one is answered.

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

/// Time that a request of these tests runs.
const RUN_US: u64 = 300_000;

fn get(id: &str) -> String {
    format!("GET /read/{id} HTTP/1.1\r\nhost: desk\r\nx-fake-request: {id}\r\n\r\n")
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("it accepts")
}

/// Reads until `count` answers have begun, or the connection ends.
async fn read_answers(stream: &mut TcpStream, count: usize) -> String {
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

/// Guards against a request that waits for the run of the one before it on its connection.
#[tokio::test(flavor = "multi_thread")]
async fn side_by_side() {
    let plan = Plan {
        median_us: RUN_US,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let started = Instant::now();
    let requests: String = (0..4).map(|n| get(&format!("side{n}"))).collect();
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let answers = read_answers(&mut stream, 4).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 4, "{answers}");
    let took = started.elapsed();
    assert!(took < Duration::from_micros(3 * RUN_US), "{took:?}");
}

/// A target whose first answer breaks off and whose other answers are whole.
async fn breaks_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
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
                        // Longer than what daemons keep in memory, so that its begin is passed on.
                        let begin = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\nbegin";
                        let _ = stream.write_all(begin.as_bytes()).await;
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        return;
                    }
                    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
                    let _ = stream.write_all(whole.as_bytes()).await;
                    request.clear();
                }
            });
        }
    });
    address
}

/// Guards against the next answer on a connection that is taken for the rest of a broken one.
#[tokio::test(flavor = "multi_thread")]
async fn broken_first() {
    let plan = Plan {
        other_target: Some((0, breaks_once().await)),
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let requests = get("broken") + &get("second");
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let answers = read_answers(&mut stream, 9).await;
    assert!(!answers.contains("whole"), "{answers}");
}

/// Guards against work that goes on after its caller left while bytes of a further request wait.
#[tokio::test(flavor = "multi_thread")]
async fn left_behind() {
    let plan = Plan {
        median_us: 5_000_000,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let requests = get("left0") + &get("left1") + "GET /read/half HTTP/1.1\r\nhost:";
    stream.write_all(requests.as_bytes()).await.expect("sent");
    fleet.in_flight("desk-1", 2).await;
    drop(stream);
    let left_at = Instant::now();
    while fleet.targets.status().iter().any(|it| it.in_flight > 0) {
        assert!(left_at.elapsed() < Duration::from_millis(500));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a daemon that takes requests for as long as a busy connection sends them, though
/// it was asked to stop.
#[tokio::test(flavor = "multi_thread")]
async fn busy_at_stop() {
    let plan = Plan {
        median_us: 100_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let mut fleet = Fleet::start(plan).await;
    let mut stream = connect(fleet.entry("shop-1")).await;
    let (mut reader, mut writer) = stream.split();
    fleet.signal("shop-1", Signal::TERM);
    let asked_at = Instant::now();
    let sending = async {
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
    let reading =
        async { while matches!(reader.read_buf(&mut text).await, Ok(count) if count > 0) {} };
    tokio::select! {
        () = sending => {}
        () = reading => {}
    }
    let took = asked_at.elapsed();
    assert!(took < Duration::from_secs(4), "{took:?}");
    let answers = String::from_utf8_lossy(&text);
    assert!(answers.contains("connection: close"), "{answers}");
    let last = answers.rsplit("HTTP/1.1 ").next().unwrap_or_default();
    assert!(last.starts_with("200"), "{last}");
    drop(stream);
    assert_eq!(fleet.ended("shop-1").await.code(), Some(0));
}
