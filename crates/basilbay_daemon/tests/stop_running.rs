//! Requests that run while a daemon stops are neither aborted nor given up.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "common/scripted_target.rs"]
mod scripted_target;

use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use fleet::{Fleet, Plan};

fn get(host: &str, path: &str) -> String {
    format!("GET /read/{path} HTTP/1.1\r\nhost: {host}\r\n\r\n")
}

async fn start_fleet() -> Fleet {
    Fleet::start(Plan {
        target_override: Some((0, scripted_target::start().await)),
        extra_settings: "[run]\nserve_out_ms = 0\nlinger_ms = 500\npatience_ms = 5500\n",
        service_time_us: 1_500_000,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    })
    .await
}

/// Reads until the connection ends; returns the received bytes and the error that ended it.
async fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, Option<std::io::Error>) {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(8), stream.read_to_end(&mut bytes)).await;
    (bytes, read.expect("the connection ends").err())
}

/// Guards against idle connections that stay open after the linger time although the target is idle.
#[tokio::test(flavor = "multi_thread")]
async fn idle_target_at_stop() {
    let mut fleet = start_fleet().await;
    let mut kept = TcpStream::connect(fleet.entry("desk-1"))
        .await
        .expect("a connection");
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("desk-1", Signal::TERM);
    let stopping_at = Instant::now();
    let (bytes, error) = read_to_end(&mut kept).await;
    assert!(bytes.is_empty() && error.is_none(), "{error:?}");
    assert!(stopping_at.elapsed() < Duration::from_millis(1500));
    assert_eq!(fleet.wait_for_exit("desk-1").await.code(), Some(0));
}

/// Guards against requests that are accepted until the drain deadline, and cut by it, because the local
/// target is still busy with another one.
#[tokio::test(flavor = "multi_thread")]
async fn busy_target_at_stop() {
    let fleet = start_fleet().await;
    let mut long = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("a connection");
    long.write_all(get("desk", "9000").as_bytes())
        .await
        .expect("sent");
    let mut kept = TcpStream::connect(fleet.entry("desk-1"))
        .await
        .expect("a connection");
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("desk-1", Signal::TERM);
    let stopping_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(4700)).await;
    let sent = kept.write_all(get("shop", "late").as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let is_running = fleet.targets.status().iter().any(|it| it.in_flight > 0);
    let (bytes, error) = read_to_end(&mut kept).await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        !is_running || text.starts_with("HTTP/1.1 200"),
        "sent {sent:?}, ran, and the connection ended {:?} after SIGTERM with {error:?} and {text:?}",
        stopping_at.elapsed()
    );
    let is_refused = text.starts_with("HTTP/1.1 503") && text.contains("problem:leaving");
    assert!(is_running || is_refused, "{text:?}");
}

/// Guards against a running request that a stopping entry daemon breaks off because another message on
/// its link, a ping, is late.
#[tokio::test(flavor = "multi_thread")]
async fn late_ping_at_stop() {
    let fleet = start_fleet().await;
    let mut stream = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("a connection");
    stream
        .write_all(get("desk", "1500").as_bytes())
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let slow = basilbay_fakes::proxy::fault::Faults {
        delay_ms: 250.0,
        ..Default::default()
    };
    assert!(fleet.proxy.set_faults("peer-desk-1", slow));
    fleet.signal("shop-1", Signal::TERM);
    let (bytes, error) = read_to_end(&mut stream).await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with("HTTP/1.1 200"), "{error:?} {text}");
}
