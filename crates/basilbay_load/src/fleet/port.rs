//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use anyhow::ensure;

/// Ports below the range from which the kernel takes the ports of outgoing connections.
const RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Tries for each wanted port before the search is given up.
const TRIES: usize = 50;

/// Finds addresses that are free for both TCP and UDP.
pub fn free(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut random = fastrand::Rng::new();
    let mut held = Vec::new();
    for _ in 0..count * TRIES {
        if held.len() == count {
            break;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, random.u16(RANGE)));
        if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            held.push((address, tcp, udp));
        }
    }
    ensure!(held.len() == count, "no {count} free ports on loopback");
    Ok(held.into_iter().map(|(address, ..)| address).collect())
}
