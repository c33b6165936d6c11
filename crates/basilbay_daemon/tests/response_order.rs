//! Order of responses on a caller's connection: none is dropped because of another request, also at a
//! stop.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/scripted_target.rs"]
mod scripted_target;

use std::time::Duration;

use futures::future::join_all;
use http::{Request, Version};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use fleet::{Fleet, Plan};

/// Delay after which the daemon is stopped; all requests have started by then.
const STOP_AFTER: Duration = Duration::from_millis(200);

/// Request whose response takes `delay_ms`.
fn get(delay_ms: u64) -> String {
    format!("GET /read/{delay_ms} HTTP/1.1\r\nhost: desk\r\n\r\n")
}

/// Upload whose response takes `delay_ms` after the body.
fn post(delay_ms: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /write/{delay_ms} HTTP/1.1\r\nhost: desk\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

async fn start_fleet() -> Fleet {
    Fleet::start(Plan {
        target_override: Some((0, scripted_target::start().await)),
        extra_settings: "[run]\nserve_out_ms = 0\nlinger_ms = 0\n",
        slots: 32,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    })
    .await
}

async fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.entry("shop-1")).await;
    stream.expect("the daemon accepts connections")
}

/// Returns the responses up to the end of the connection, each with the path that it is for.
async fn read_to_end(stream: &mut TcpStream) -> Vec<String> {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    read.unwrap_or_else(|error| panic!("{error} after {text}"));
    let responses = text.split("HTTP/1.1 ").skip(1);
    responses.map(str::to_owned).collect()
}

/// Checks that the responses are complete, in the order of their requests, and that the last one
/// alone announces the close.
fn assert_in_order(responses: &[String], paths: &[String]) {
    assert_eq!(responses.len(), paths.len(), "{responses:#?}");
    for (index, (response, path)) in responses.iter().zip(paths).enumerate() {
        assert!(response.starts_with("200"), "{response}");
        assert!(response.ends_with(path), "{path} got {response}");
        let is_last = index + 1 == paths.len();
        assert_eq!(
            response.contains("connection: close"),
            is_last,
            "{responses:#?}"
        );
    }
}

/// Guards against a response that is dropped at a stop because a later request of the connection was
/// answered first and announced the close.
#[tokio::test(flavor = "multi_thread")]
async fn later_answer_first() {
    let mut fleet = start_fleet().await;
    let mut stream = connect(&fleet).await;
    let delays_ms = [1200, 900, 600];
    let requests: String = delays_ms.map(get).concat();
    stream.write_all(requests.as_bytes()).await.expect("sent");
    tokio::time::sleep(STOP_AFTER).await;
    fleet.signal("shop-1", Signal::TERM);
    let responses = read_to_end(&mut stream).await;
    assert_in_order(&responses, &delays_ms.map(|it| format!("/read/{it}")));
    assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
}

/// Guards against an upload that is dropped at a stop because it was answered before an earlier
/// request of the connection, with its body received before or after the stop.
#[tokio::test(flavor = "multi_thread")]
async fn upload_answered_first() {
    for is_split in [false, true] {
        let mut fleet = start_fleet().await;
        let mut stream = connect(&fleet).await;
        let body = "x".repeat(100_000);
        let requests = get(1200) + &post(500, &body);
        let (first, rest) = requests.split_at(if is_split { 50_000 } else { requests.len() });
        stream.write_all(first.as_bytes()).await.expect("sent");
        tokio::time::sleep(STOP_AFTER).await;
        fleet.signal("shop-1", Signal::TERM);
        tokio::time::sleep(Duration::from_millis(50)).await;
        stream.write_all(rest.as_bytes()).await.expect("sent");
        let responses = read_to_end(&mut stream).await;
        assert_in_order(
            &responses,
            &["/read/1200".to_owned(), "/write/500".to_owned()],
        );
        assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
    }
}

/// Guards against a request that is dropped at a stop because a later one of the same connection asks
/// for the close and is answered first.
#[tokio::test(flavor = "multi_thread")]
async fn caller_closes_last() {
    let mut fleet = start_fleet().await;
    let mut stream = connect(&fleet).await;
    let last = get(500).replace("host: desk", "host: desk\r\nconnection: close");
    let requests = get(1200) + &last;
    stream.write_all(requests.as_bytes()).await.expect("sent");
    tokio::time::sleep(STOP_AFTER).await;
    fleet.signal("shop-1", Signal::TERM);
    let responses = read_to_end(&mut stream).await;
    assert_in_order(
        &responses,
        &["/read/1200".to_owned(), "/read/500".to_owned()],
    );
    assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
}

/// Guards against a stream of an HTTP/2 connection that is dropped at a stop because a later one ends
/// first.
#[tokio::test(flavor = "multi_thread")]
async fn later_stream_first() {
    let mut fleet = start_fleet().await;
    let stream = TokioIo::new(connect(&fleet).await);
    let handshake = http2::handshake::<_, _, Empty<bytes::Bytes>>(TokioExecutor::new(), stream);
    let (sender, driver) = handshake.await.expect("an HTTP/2 connection");
    tokio::spawn(driver);
    let delays_ms = [1200, 900, 600];
    let running = join_all(delays_ms.map(|delay_ms| {
        let mut sender = sender.clone();
        async move {
            let request = Request::get(format!("http://desk/read/{delay_ms}"))
                .version(Version::HTTP_2)
                .body(Empty::new())
                .expect("a request");
            let response = sender.send_request(request).await.expect("a response");
            let body = response.into_body().collect().await.expect("a whole body");
            String::from_utf8_lossy(&body.to_bytes()).into_owned()
        }
    }));
    let running = tokio::spawn(running);
    tokio::time::sleep(STOP_AFTER).await;
    fleet.signal("shop-1", Signal::TERM);
    let bodies = running.await.expect("all responses");
    assert_eq!(bodies, delays_ms.map(|it| format!("/read/{it}")));
    assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
}

/// Guards against requests that had arrived before the stop and are dropped because a response before
/// them announced the close: more requests than the daemon runs of one connection at a time.
#[tokio::test(flavor = "multi_thread")]
async fn deep_pipeline() {
    let mut fleet = start_fleet().await;
    let mut stream = connect(&fleet).await;
    let delays_ms: Vec<u64> = (0..20).map(|n| if n == 15 { 400 } else { 700 }).collect();
    let requests: String = delays_ms.iter().copied().map(get).collect();
    stream.write_all(requests.as_bytes()).await.expect("sent");
    tokio::time::sleep(STOP_AFTER).await;
    fleet.signal("shop-1", Signal::TERM);
    let responses = read_to_end(&mut stream).await;
    let paths: Vec<String> = delays_ms.iter().map(|it| format!("/read/{it}")).collect();
    assert_in_order(&responses, &paths);
    assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
}

/// Guards against a request of which a part had arrived before the stop and that is dropped because
/// the response before it announced the close.
#[tokio::test(flavor = "multi_thread")]
async fn half_request_behind() {
    let mut fleet = start_fleet().await;
    let mut stream = connect(&fleet).await;
    let requests = get(500) + &get(100);
    let (first, rest) = requests.split_at(requests.len() - 10);
    stream.write_all(first.as_bytes()).await.expect("sent");
    tokio::time::sleep(STOP_AFTER).await;
    fleet.signal("shop-1", Signal::TERM);
    tokio::time::sleep(Duration::from_millis(500)).await;
    stream.write_all(rest.as_bytes()).await.expect("sent");
    let responses = read_to_end(&mut stream).await;
    assert_in_order(
        &responses,
        &["/read/500".to_owned(), "/read/100".to_owned()],
    );
    assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
}

/// Guards against requests that are dropped because the body of a later request of their connection is
/// malformed.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_body_behind() {
    let fleet = start_fleet().await;
    let mut stream = connect(&fleet).await;
    let malformed = "POST /write/100 HTTP/1.1\r\nhost: desk\r\ntransfer-encoding: chunked\r\n\r\nnot a size\r\n";
    let requests = get(400) + &get(300) + malformed;
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let responses = read_to_end(&mut stream).await;
    assert_eq!(responses.len(), 2, "{responses:#?}");
    assert!(responses[0].ends_with("/read/400"), "{responses:#?}");
    assert!(responses[1].ends_with("/read/300"), "{responses:#?}");
}

/// Guards against responses that are dropped because hyper refuses the request between them.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_behind() {
    let fleet = start_fleet().await;
    let mut stream = connect(&fleet).await;
    let requests = get(400) + "GET :// HTTP/1.1\r\nhost: desk\r\n\r\n" + &get(200);
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let responses = read_to_end(&mut stream).await;
    assert_eq!(responses.len(), 2, "{responses:#?}");
    assert!(responses[0].ends_with("/read/400"), "{responses:#?}");
    assert!(responses[1].starts_with("400 "), "{responses:#?}");
    assert!(responses[1].contains("problem+json"), "{responses:#?}");
    let answered = fleet.log("shop-1").matches("\"event\":400").count();
    assert_eq!(answered, 1, "the request behind the refused one ran");
}
