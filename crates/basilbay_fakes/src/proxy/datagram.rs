//! UDP datagrams of a route: one socket towards the target for each sender.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::fault::Direction;
use super::link::Link;

/// Largest datagram over IPv4.
const MAX_BYTES: usize = 65_536;

/// Senders that are remembered; the one that came first goes first.
const MAX_SENDERS: usize = 1024;

/// One sender and the socket that stands for it towards the target.
struct Sender {
    from: SocketAddr,
    upstream: Arc<UdpSocket>,
    _stop: DropGuard,
}

/// Passes datagrams on until the proxy stops.
pub(super) async fn run(link: Arc<Link>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let mut senders: Vec<Sender> = Vec::new();
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let received = tokio::select! {
            () = link.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => received,
        };
        // Errors report that an earlier datagram met a closed port.
        let Ok((count, from)) = received else {
            continue;
        };
        let Some(upstream) = upstream(&link, &socket, &mut senders, from).await else {
            continue;
        };
        let to = link.route.to;
        pass(&link, Direction::Forward, &upstream, &buffer[..count], to).await;
    }
}

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
    tokio::spawn(back(
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

/// Passes the target's datagrams back to one sender.
async fn back(
    link: Arc<Link>,
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    to: SocketAddr,
    stop: CancellationToken,
) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = upstream.recv_from(&mut buffer) => received,
        };
        let Ok((count, from)) = received else {
            continue;
        };
        if from == link.route.to {
            pass(&link, Direction::Backward, &socket, &buffer[..count], to).await;
        }
    }
}

async fn pass(
    link: &Arc<Link>,
    direction: Direction,
    socket: &Arc<UdpSocket>,
    bytes: &[u8],
    to: SocketAddr,
) {
    let faults = link.faults();
    if faults.partition || faults.lose_datagrams || link.swallows(direction) {
        return;
    }
    let due = link.due();
    if due <= Instant::now() {
        send(link, socket, bytes, to).await;
        return;
    }
    let link = link.clone();
    let socket = socket.clone();
    let bytes = bytes.to_vec();
    tokio::spawn(async move {
        link.timer.sleep_until(due).await;
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
