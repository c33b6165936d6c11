//! Forwards the UDP datagrams of a route.
//!
//! Each sender gets a socket of its own towards the target, so that replies can be returned to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::fault::Direction;
use super::link::Link;

/// Size of the receive buffers; no IPv4 datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Maximum number of senders of a route that have a socket; beyond it, the oldest is evicted.
const MAX_SENDERS: usize = 1024;

/// A sender and the socket from which its datagrams go to the target.
struct Sender {
    from: SocketAddr,
    upstream: Arc<UdpSocket>,
    _stop: DropGuard,
}

/// Forwards datagrams until the proxy stops.
pub(super) async fn run(link: Arc<Link>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut senders: Vec<Sender> = Vec::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = link.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => received,
        };
        // An error here reports that an earlier datagram reached a closed port.
        let Ok((count, from)) = received else {
            continue;
        };
        let Some(upstream) = upstream(&link, &socket, &mut senders, from).await else {
            continue;
        };
        let to = link.route.to;
        forward(&link, Direction::Forward, &upstream, &buffer[..count], to).await;
    }
}

/// Returns the socket of a sender, and opens it when this is the sender's first datagram.
async fn upstream(
    link: &Arc<Link>,
    socket: &Arc<UdpSocket>,
    senders: &mut Vec<Sender>,
    from: SocketAddr,
) -> Option<Arc<UdpSocket>> {
    if let Some(sender) = senders.iter().find(|sender| sender.from == from) {
        return Some(sender.upstream.clone());
    }
    if senders.len() == MAX_SENDERS {
        senders.remove(0);
    }
    let any_port = SocketAddr::new(link.route.to.ip(), 0);
    let upstream = Arc::new(UdpSocket::bind(any_port).await.ok()?);
    let stop = link.stop.child_token();
    tokio::spawn(return_datagrams(
        link.clone(),
        socket.clone(),
        upstream.clone(),
        from,
        stop.clone(),
    ));
    senders.push(Sender {
        from,
        upstream: upstream.clone(),
        _stop: stop.drop_guard(),
    });
    Some(upstream)
}

/// Forwards the target's datagrams to one sender.
async fn return_datagrams(
    link: Arc<Link>,
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    to: SocketAddr,
    stop: CancellationToken,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = upstream.recv_from(&mut buffer) => received,
        };
        let Ok((count, from)) = received else {
            continue;
        };
        if from == link.route.to {
            forward(&link, Direction::Backward, &socket, &buffer[..count], to).await;
        }
    }
}

/// Forwards one datagram, subject to the route's faults.
async fn forward(
    link: &Arc<Link>,
    direction: Direction,
    socket: &Arc<UdpSocket>,
    bytes: &[u8],
    to: SocketAddr,
) {
    let faults = link.faults();
    if faults.partition || faults.lose_datagrams || link.drops(direction) {
        return;
    }
    let deliver_at = link.delivery_time();
    if deliver_at <= Instant::now() {
        send(link, socket, bytes, to).await;
        return;
    }
    let link = link.clone();
    let socket = socket.clone();
    let bytes = bytes.to_vec();
    tokio::spawn(async move {
        link.timer.sleep_until(deliver_at).await;
        if !link.faults().partition {
            send(&link, &socket, &bytes, to).await;
        }
    });
}

async fn send(link: &Link, socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if socket.send_to(bytes, to).await.is_ok() {
        link.counts.datagrams.fetch_add(1, Ordering::Relaxed);
    }
}
