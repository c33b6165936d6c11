//! Free ports on loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use anyhow::ensure;

/// Candidate ports, below the kernel's range of ephemeral ports for outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Maximum number of tries per requested port.
const TRIES_PER_PORT: usize = 50;

/// Finds loopback addresses whose ports are free for both TCP and UDP.
pub fn find_free(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut rng = fastrand::Rng::new();
    let mut reserved = Vec::new();
    for _ in 0..count * TRIES_PER_PORT {
        if reserved.len() == count {
            break;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rng.u16(PORT_RANGE)));
        if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            reserved.push((address, tcp, udp));
        }
    }
    ensure!(
        reserved.len() == count,
        "found only {} of {count} free ports on loopback in {PORT_RANGE:?}",
        reserved.len()
    );
    Ok(reserved.into_iter().map(|(address, ..)| address).collect())
}
