//! Tests of the proxy: what it forwards, and the effect of each fault.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use basilbay_fakes::client::{request, send};
use basilbay_fakes::proxy::fault::{Direction, Faults};
use basilbay_fakes::proxy::{Protocol, Proxy, Route};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Time to wait before concluding that nothing arrives; long enough for a round trip over loopback.
const NO_DATA_TIMEOUT: Duration = Duration::from_millis(60);

/// Starts a server that echoes TCP bytes and datagrams on one port, and returns its address.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("the port binds");
    let address = listener.local_addr().expect("a bound address");
    let socket = UdpSocket::bind(address).await.expect("the port binds");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    tokio::spawn(async move {
        let mut buffer = [0; 2048];
        while let Ok((count, from)) = socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..count], from).await;
        }
    });
    address
}

async fn start() -> Proxy {
    let route = Route {
        name: "a".into(),
        listen: ANY_PORT,
        to: echo_server().await,
        protocol: Protocol::Both,
    };
    Proxy::start(vec![route], ANY_PORT)
        .await
        .expect("the proxy starts")
}

async fn connect(proxy: &Proxy) -> TcpStream {
    let address = proxy.address("a").expect("a known route");
    TcpStream::connect(address).await.expect("a connection")
}

/// Sends bytes and returns the time until their echo.
async fn echo(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let start = Instant::now();
    stream.write_all(b"ping").await?;
    let mut buffer = [0; 4];
    stream.read_exact(&mut buffer).await?;
    assert_eq!(&buffer, b"ping");
    Ok(start.elapsed())
}

async fn control(proxy: &Proxy, command: &str) {
    let put = request(Method::PUT, "/fake/proxy", command.to_owned());
    let response = send(proxy.control(), put).await.expect("a response");
    assert_eq!(response.status(), 204);
}

/// Guards against delays that apply to one direction only, or that reorder a stream.
#[tokio::test]
async fn delayed_bytes() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echo(&mut stream).await.unwrap();
    control(&proxy, r#"{"faults": {"delay_ms": 20, "jitter_ms": 5}}"#).await;
    for _ in 0..3 {
        let took = echo(&mut stream).await.unwrap();
        assert!(took >= Duration::from_millis(39), "{took:?}");
    }
    assert_eq!(proxy.status()[0].bytes, 32);
}

/// Guards against resets that close connections in an orderly way, or that also stop new ones.
#[tokio::test]
async fn connections_reset() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echo(&mut stream).await.unwrap();
    control(&proxy, r#"{"route": "a", "cut": true}"#).await;
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    echo(&mut connect(&proxy).await).await.unwrap();
}

/// Guards against a dropped direction that also stops the other one.
#[tokio::test]
async fn half_open() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echo(&mut stream).await.unwrap();
    proxy.set_faults(
        "a",
        Faults {
            half_open: Some(Direction::Backward),
            ..Faults::default()
        },
    );
    assert!(timeout(NO_DATA_TIMEOUT, echo(&mut stream)).await.is_err());
    assert_eq!(proxy.status()[0].bytes, 12);
}

/// Guards against a stream that continues with a gap once its direction is open again: the header
/// tables of HTTP/2 connections went out of sync, and responses went to the wrong requests.
#[tokio::test]
async fn no_stream_gaps() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echo(&mut stream).await.unwrap();
    for half_open in [Some(Direction::Forward), None] {
        let faults = Faults {
            half_open,
            ..Faults::default()
        };
        proxy.set_faults("a", faults);
        let lost = timeout(NO_DATA_TIMEOUT, echo(&mut stream)).await;
        assert!(lost.is_err() || lost.is_ok_and(|result| result.is_err()));
    }
    echo(&mut connect(&proxy).await).await.unwrap();
}

/// Guards against a partition that forwards bytes, or that loses bytes of a stream.
#[tokio::test]
async fn partition_heals() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echo(&mut stream).await.unwrap();
    control(&proxy, r#"{"faults": {"partition": true}}"#).await;
    stream.write_all(b"held").await.unwrap();
    let mut buffer = [0; 4];
    assert!(
        timeout(NO_DATA_TIMEOUT, stream.read_exact(&mut buffer))
            .await
            .is_err()
    );
    let mut second = connect(&proxy).await;
    assert!(timeout(NO_DATA_TIMEOUT, echo(&mut second)).await.is_err());
    control(&proxy, r#"{"faults": {}}"#).await;
    stream.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"held");
}

/// Guards against a reset that comes early or late, or that is an orderly close instead.
#[tokio::test]
async fn reset_after_bytes() {
    let proxy = start().await;
    control(&proxy, r#"{"faults": {"reset_after_bytes": 10}}"#).await;
    let mut stream = connect(&proxy).await;
    echo(&mut stream).await.unwrap();
    assert!(echo(&mut stream).await.is_err());
    let status = &proxy.status()[0];
    assert_eq!((status.bytes, status.resets), (10, 1));
}

/// Guards against lost datagrams, and against datagrams that cross a partition.
#[tokio::test]
async fn datagram_faults() {
    let proxy = start().await;
    let socket = UdpSocket::bind(ANY_PORT).await.unwrap();
    socket.connect(proxy.address("a").unwrap()).await.unwrap();
    let mut buffer = [0; 16];
    socket.send(b"one").await.unwrap();
    assert_eq!(socket.recv(&mut buffer).await.unwrap(), 3);
    control(&proxy, r#"{"faults": {"partition": true}}"#).await;
    socket.send(b"lost").await.unwrap();
    assert!(
        timeout(NO_DATA_TIMEOUT, socket.recv(&mut buffer))
            .await
            .is_err()
    );
    control(&proxy, r#"{"faults": {"delay_ms": 5}}"#).await;
    let start = Instant::now();
    socket.send(b"three").await.unwrap();
    assert_eq!(socket.recv(&mut buffer).await.unwrap(), 5);
    assert!(start.elapsed() >= Duration::from_micros(9_900));
}

/// Guards against routes to other machines.
#[tokio::test]
async fn loopback_only() {
    let route = Route {
        name: "a".into(),
        listen: ANY_PORT,
        to: SocketAddr::from(([192, 0, 2, 1], 80)),
        protocol: Protocol::Tcp,
    };
    assert!(Proxy::start(vec![route], ANY_PORT).await.is_err());
}
