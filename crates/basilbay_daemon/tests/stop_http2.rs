//! Requests that arrive at the moment of the stop, over HTTP/2 and on new connections.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use basilbay_wire::header;
use bytes::Bytes;
use futures::future::join_all;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use call::Call;
use fleet::{Fleet, Plan};

/// Connections of each kind; the queue of a listener takes 128.
const CONNECTIONS: usize = 120;

/// Time within which a caller has its answer, on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the system to deliver the bytes of a connection on loopback.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

async fn start_fleet() -> Fleet {
    Fleet::start(Plan {
        extra_settings: "[run]\nserve_out_ms = 0\nlinger_ms = 0\n",
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    })
    .await
}

/// Connects over HTTP/2; the preface is sent at once.
async fn connect(to: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(to).await.expect("the port is open");
    stream.set_nodelay(true).expect("a socket");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, driver) = handshake.await.expect("the preface is sent");
    tokio::spawn(driver);
    sender
}

fn caller_request() -> Request<Empty<Bytes>> {
    let request = Request::get("http://desk/read/quick").header("x-request-id", "last");
    request.body(Empty::new()).expect("a valid request")
}

fn peer_request() -> Request<Empty<Bytes>> {
    let call = Call::new(Method::GET, "/read/quick");
    let request = call
        .hop_request("desk", 5_000)
        .header("x-request-id", "last");
    request.body(Empty::new()).expect("a valid request")
}

/// Sends a request; an error if no complete response arrives.
async fn send(
    mut sender: SendRequest<Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
) -> Result<StatusCode, String> {
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    let answered = answered.map_err(|elapsed| elapsed.to_string())?;
    answered.map_err(|error| format!("{error:?}"))
}

/// Stops a daemon to which `CONNECTIONS` callers connect while it stands still, and returns the
/// errors of those that get no response.
async fn stop_with_requests(
    fleet: &mut Fleet,
    id: &str,
    to: SocketAddr,
    request: fn() -> Request<Empty<Bytes>>,
) -> Vec<String> {
    fleet.signal(id, Signal::STOP);
    let senders = join_all((0..CONNECTIONS).map(|_| connect(to))).await;
    let sent = senders
        .into_iter()
        .map(|sender| tokio::spawn(send(sender, request())));
    let sent: Vec<_> = sent.collect();
    tokio::time::sleep(DELIVERY_TIME).await;
    fleet.signal(id, Signal::TERM);
    fleet.signal(id, Signal::CONT);
    let mut failures = Vec::new();
    for response in sent {
        match response.await.expect("no panic") {
            Ok(_) => {}
            Err(error) => failures.push(error),
        }
    }
    let exit = tokio::time::timeout(ANSWER_TIMEOUT, fleet.wait_for_exit(id)).await;
    assert_eq!(exit.expect("the daemon exits").code(), Some(0));
    failures
}

/// Guards against requests of callers over HTTP/2 that get no answer because they arrive, with their
/// connection, at the moment of the stop.
#[tokio::test(flavor = "multi_thread")]
async fn new_connections_of_callers() {
    for _ in 0..3 {
        let mut fleet = start_fleet().await;
        let entry = fleet.entry("shop-1");
        let failures = stop_with_requests(&mut fleet, "shop-1", entry, caller_request).await;
        let count = failures.len();
        assert!(
            failures.is_empty(),
            "{count} of {CONNECTIONS}: {}",
            failures[0]
        );
    }
}

/// Guards against requests of other daemons that get no answer because they arrive, with their
/// connection, at the moment of the stop: the other daemon could not tell whether they ran.
#[tokio::test(flavor = "multi_thread")]
async fn new_connections_of_peers() {
    for _ in 0..3 {
        let mut fleet = start_fleet().await;
        let peers = fleet.daemon("desk-1").peers;
        let failures = stop_with_requests(&mut fleet, "desk-1", peers, peer_request).await;
        let count = failures.len();
        assert!(
            failures.is_empty(),
            "{count} of {CONNECTIONS}: {}",
            failures[0]
        );
    }
}

/// Guards against a connection that is dropped although its first bytes have arrived, because the
/// daemon notices them only after the time that it grants a first request at the stop.
#[tokio::test(flavor = "multi_thread")]
async fn late_task() {
    let request = "GET /read/quick HTTP/1.1\r\nhost: desk\r\nx-request-id: last\r\n\r\n";
    for _ in 0..3 {
        let mut fleet = start_fleet().await;
        let entry = fleet.entry("shop-1");
        let mut streams = Vec::new();
        for _ in 0..CONNECTIONS {
            streams.push(TcpStream::connect(entry).await.expect("the port is open"));
        }
        tokio::time::sleep(DELIVERY_TIME).await;
        fleet.signal("shop-1", Signal::TERM);
        // The daemon has noticed the stop and grants the first requests 100 ms.
        while !fleet.log("shop-1").contains("\"event\":101") {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(DELIVERY_TIME).await;
        fleet.signal("shop-1", Signal::STOP);
        for stream in &mut streams {
            stream
                .write_all(request.as_bytes())
                .await
                .expect("the connection is open");
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.signal("shop-1", Signal::CONT);
        let answers = join_all(streams.into_iter().map(|mut stream| async move {
            let mut bytes = Vec::new();
            let read = tokio::time::timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut bytes)).await;
            let text = String::from_utf8_lossy(&bytes).into_owned();
            (matches!(read, Ok(Ok(_))), text)
        }));
        let answers = answers.await;
        let cut = answers.iter().filter(|(is_whole, text)| {
            !is_whole
                || !text.starts_with("HTTP/1.1 ")
                || !text.contains(header::OUTCOME) && !text.contains(" 200 ")
        });
        let count = cut.count();
        assert_eq!(
            count, 0,
            "{count} of {CONNECTIONS} connections without an answer"
        );
        assert_eq!(fleet.wait_for_exit("shop-1").await.code(), Some(0));
    }
}
