//! Responses of slow callers, which are still in the send buffer when something else on the connection
//! ends.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/scripted_target.rs"]
mod scripted_target;

use std::time::Duration;

use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use fleet::{Fleet, Plan};
use scripted_target::LARGE_BYTES;

fn get(host: &str, path: &str) -> String {
    format!("GET /read/{path} HTTP/1.1\r\nhost: {host}\r\n\r\n")
}

async fn start_fleet(extra_settings: &'static str) -> Fleet {
    Fleet::start(Plan {
        target_override: Some((0, scripted_target::start().await)),
        extra_settings,
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

fn assert_first_is_complete(bytes: &[u8], error: Option<std::io::Error>) {
    let count = bytes.iter().filter(|byte| **byte == b'x').count();
    assert!(
        count >= LARGE_BYTES,
        "got {count} of {LARGE_BYTES} body bytes of the first response, then {error:?}"
    );
}

/// Guards against a complete response that a slow caller loses because a later one of its connection
/// breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn later_response_breaks_off() {
    let fleet = start_fleet("").await;
    let mut stream = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("a connection");
    let requests = get("desk", "large") + &get("desk", "broken");
    stream.write_all(requests.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let (bytes, error) = read_to_end(&mut stream).await;
    assert_first_is_complete(&bytes, error);
}

/// Guards against a response that a slow caller loses at a stop because it has sent another request.
#[tokio::test(flavor = "multi_thread")]
async fn unread_request_at_stop() {
    let fleet = start_fleet("[run]\nserve_out_ms = 0\nlinger_ms = 0\n").await;
    let mut stream = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("a connection");
    stream
        .write_all(get("desk", "halves").as_bytes())
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("shop-1", Signal::TERM);
    tokio::time::sleep(Duration::from_millis(500)).await;
    stream
        .write_all(get("desk", "0").as_bytes())
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(1300)).await;
    let (bytes, error) = read_to_end(&mut stream).await;
    assert_first_is_complete(&bytes, error);
}

/// Guards against a response that is lost merely because its caller reads it slowly.
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller() {
    let fleet = start_fleet("").await;
    let mut stream = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("a connection");
    let last = get("desk", "400").replace("host: desk", "host: desk\r\nconnection: close");
    let requests = get("desk", "large") + &last;
    stream.write_all(requests.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let (bytes, error) = read_to_end(&mut stream).await;
    assert_first_is_complete(&bytes, error);
}

/// Guards against a response that a slow caller loses at a stop although it sends nothing further.
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_at_stop() {
    let fleet = start_fleet("[run]\nserve_out_ms = 0\nlinger_ms = 0\n").await;
    let mut stream = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("a connection");
    stream
        .write_all(get("desk", "halves").as_bytes())
        .await
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("shop-1", Signal::TERM);
    tokio::time::sleep(Duration::from_millis(1800)).await;
    let (bytes, error) = read_to_end(&mut stream).await;
    assert_first_is_complete(&bytes, error);
}
