//! The network path: what passes, and what each fault does to it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use basilbay_fakes::client::{request, send};
use basilbay_fakes::proxy::fault::{Direction, Faults};
use basilbay_fakes::proxy::{Protocol, Proxy, Route};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

const FREE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Long enough for loopback, short enough to wait for what must not come.
const SHORT: Duration = Duration::from_millis(60);

/// Echoes TCP bytes and datagrams on one port, and returns it.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(FREE).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let socket = UdpSocket::bind(address).await.expect("binds");
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
        listen: FREE,
        to: echo().await,
        protocol: Protocol::Both,
    };
    Proxy::start(vec![route], FREE).await.expect("starts")
}

async fn connect(proxy: &Proxy) -> TcpStream {
    let address = proxy.address("a").expect("known");
    TcpStream::connect(address).await.expect("connects")
}

/// Sends bytes and returns how long the echo took.
async fn echoed(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let start = Instant::now();
    stream.write_all(b"ping").await?;
    let mut buffer = [0; 4];
    stream.read_exact(&mut buffer).await?;
    assert_eq!(&buffer, b"ping");
    Ok(start.elapsed())
}

async fn control(proxy: &Proxy, order: &str) {
    let put = request(Method::PUT, "/fake/proxy", order.to_owned());
    let answer = send(proxy.control(), put).await.expect("answers");
    assert_eq!(answer.status(), 204);
}

/// Guards against delays that apply to one direction only or that reorder a stream.
#[tokio::test]
async fn delayed_bytes() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echoed(&mut stream).await.unwrap();
    control(&proxy, r#"{"faults": {"delay_ms": 20, "jitter_ms": 5}}"#).await;
    for _ in 0..3 {
        let took = echoed(&mut stream).await.unwrap();
        assert!(took >= Duration::from_millis(39), "{took:?}");
    }
    assert_eq!(proxy.status()[0].bytes, 32);
}

/// Guards against cuts that close connections politely or that also stop new ones.
#[tokio::test]
async fn cut_connections() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echoed(&mut stream).await.unwrap();
    control(&proxy, r#"{"route": "a", "cut": true}"#).await;
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    echoed(&mut connect(&proxy).await).await.unwrap();
}

/// Guards against a swallowed direction that also stops the other one.
#[tokio::test]
async fn half_open() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echoed(&mut stream).await.unwrap();
    proxy.set_faults(
        "a",
        Faults {
            half_open: Some(Direction::Backward),
            ..Faults::default()
        },
    );
    assert!(timeout(SHORT, echoed(&mut stream)).await.is_err());
    assert_eq!(proxy.status()[0].bytes, 12);
}

/// Guards against a stream that goes on with a gap once its direction is open again: header tables
/// of HTTP/2 connections went out of step, and answers went to the wrong requests.
#[tokio::test]
async fn no_gaps() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echoed(&mut stream).await.unwrap();
    for half_open in [Some(Direction::Forward), None] {
        let faults = Faults {
            half_open,
            ..Faults::default()
        };
        proxy.set_faults("a", faults);
        let lost = timeout(SHORT, echoed(&mut stream)).await;
        assert!(lost.is_err() || lost.is_ok_and(|echoed| echoed.is_err()));
    }
    echoed(&mut connect(&proxy).await).await.unwrap();
}

/// Guards against a partition that passes bytes on, or that loses bytes of a stream.
#[tokio::test]
async fn partition_heals() {
    let proxy = start().await;
    let mut stream = connect(&proxy).await;
    echoed(&mut stream).await.unwrap();
    control(&proxy, r#"{"faults": {"partition": true}}"#).await;
    stream.write_all(b"held").await.unwrap();
    let mut buffer = [0; 4];
    assert!(
        timeout(SHORT, stream.read_exact(&mut buffer))
            .await
            .is_err()
    );
    let mut second = connect(&proxy).await;
    assert!(timeout(SHORT, echoed(&mut second)).await.is_err());
    control(&proxy, r#"{"faults": {}}"#).await;
    stream.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"held");
}

/// Guards against a reset that comes early, late or as a clean end.
#[tokio::test]
async fn reset_after() {
    let proxy = start().await;
    control(&proxy, r#"{"faults": {"reset_after_bytes": 10}}"#).await;
    let mut stream = connect(&proxy).await;
    echoed(&mut stream).await.unwrap();
    assert!(echoed(&mut stream).await.is_err());
    let status = &proxy.status()[0];
    assert_eq!((status.bytes, status.resets), (10, 1));
}

/// Guards against datagrams that get lost, or that pass a partition.
#[tokio::test]
async fn datagrams() {
    let proxy = start().await;
    let socket = UdpSocket::bind(FREE).await.unwrap();
    socket.connect(proxy.address("a").unwrap()).await.unwrap();
    let mut buffer = [0; 16];
    socket.send(b"one").await.unwrap();
    assert_eq!(socket.recv(&mut buffer).await.unwrap(), 3);
    control(&proxy, r#"{"faults": {"partition": true}}"#).await;
    socket.send(b"lost").await.unwrap();
    assert!(timeout(SHORT, socket.recv(&mut buffer)).await.is_err());
    control(&proxy, r#"{"faults": {"delay_ms": 5}}"#).await;
    let start = Instant::now();
    socket.send(b"three").await.unwrap();
    assert_eq!(socket.recv(&mut buffer).await.unwrap(), 5);
    assert!(start.elapsed() >= Duration::from_micros(9_900));
}

/// Guards against routes that would leave the machine.
#[tokio::test]
async fn loopback_only() {
    let route = Route {
        name: "a".into(),
        listen: FREE,
        to: SocketAddr::from(([192, 0, 2, 1], 80)),
        protocol: Protocol::Tcp,
    };
    assert!(Proxy::start(vec![route], FREE).await.is_err());
}
