//! Fault-injecting proxy: forwards TCP and UDP between loopback addresses.
//!
//! Faults are changed at run time, by the methods of [`Proxy`] or by `PUT /fake/proxy`. During a
//! partition, TCP bytes are held back and delivered once it heals, as with retransmission, so that
//! none are lost; UDP datagrams are dropped.

mod control;
mod datagram;
pub mod fault;
mod link;
mod stream;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::{Context, ensure};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::timer::Timer;
use crate::web;
use link::Link;

/// Protocols that a route forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Only TCP.
    #[default]
    Tcp,
    /// Only UDP.
    Udp,
    /// TCP and UDP, on the same port number.
    Both,
}

/// A listening address and the address to which its traffic is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route in control requests; unique within a proxy.
    pub name: Arc<str>,
    /// Loopback address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Loopback address to forward to.
    pub to: SocketAddr,
    /// Protocols that the route forwards; only TCP if absent from the JSON.
    #[serde(default)]
    pub protocol: Protocol,
}

/// A running proxy; dropping it stops all routes and resets their connections.
pub struct Proxy {
    control: SocketAddr,
    links: Arc<[Arc<Link>]>,
    _stop: DropGuard,
}

impl Proxy {
    /// Starts routes and the control listener on the current tokio runtime.
    pub async fn start(routes: Vec<Route>, control: SocketAddr) -> anyhow::Result<Self> {
        let timer = Timer::start()?;
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        let mut links = Vec::new();
        for route in routes {
            let name = route.name.clone();
            let link = open(route, &timer, &stop).await;
            links.push(link.with_context(|| format!("cannot open route {name}"))?);
        }
        links.sort_by(|left, right| left.route.name.cmp(&right.route.name));
        let is_unique = links
            .windows(2)
            .all(|pair| pair[0].route.name != pair[1].route.name);
        ensure!(is_unique, "route names are not unique");
        let links = Arc::<[Arc<Link>]>::from(links);
        let listener = web::listen(control).context("cannot open the control listener")?;
        let control = listener.local_addr()?;
        let handler_links = links.clone();
        tokio::spawn(web::serve(listener, stop, move |request| {
            control::handle(handler_links.clone(), request)
        }));
        Ok(Self {
            control,
            links,
            _stop: guard,
        })
    }

    /// Address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address that a route listens on; `None` if no route has this name.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        find(&self.links, name).map(|link| link.address)
    }

    /// Replaces the faults of a route; returns false if no route has this name.
    pub fn set_faults(&self, name: &str, faults: fault::Faults) -> bool {
        let link = find(&self.links, name);
        link.map(|link| link.set_faults(faults)).is_some()
    }

    /// Resets the open connections of a route; returns false if no route has this name.
    pub fn reset_connections(&self, name: &str) -> bool {
        find(&self.links, name)
            .map(|link| link.reset_connections())
            .is_some()
    }

    /// Status of each route, sorted by name.
    pub fn status(&self) -> Vec<fault::Status> {
        self.links.iter().map(|link| link.status()).collect()
    }
}

/// Reads the list of routes from a JSON file, as for the command `proxy`.
pub fn read(file: &Path) -> anyhow::Result<Vec<Route>> {
    let text = std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("cannot parse {}", file.display()))
}

/// Opens the sockets of a route and spawns the tasks that forward its traffic.
async fn open(route: Route, timer: &Timer, stop: &CancellationToken) -> anyhow::Result<Arc<Link>> {
    web::check_loopback(route.listen)?;
    web::check_loopback(route.to)?;
    let (listener, socket, address) = bind(&route).await?;
    let link = Arc::new(Link::new(route, address, timer.clone(), stop.clone()));
    if let Some(listener) = listener {
        tokio::spawn(stream::run(link.clone(), listener));
    }
    if let Some(socket) = socket {
        tokio::spawn(datagram::run(link.clone(), socket));
    }
    Ok(link)
}

/// Listener, socket and bound address of a route; `None` for a protocol that it does not forward.
type Sockets = (Option<TcpListener>, Option<UdpSocket>, SocketAddr);

async fn bind(route: &Route) -> anyhow::Result<Sockets> {
    if route.protocol == Protocol::Udp {
        let socket = UdpSocket::bind(route.listen).await?;
        let address = socket.local_addr()?;
        return Ok((None, Some(socket), address));
    }
    let listener = web::listen(route.listen)?;
    let address = listener.local_addr()?;
    let socket = match route.protocol {
        Protocol::Both => Some(UdpSocket::bind(address).await?),
        _ => None,
    };
    Ok((Some(listener), socket, address))
}

fn find<'a>(links: &'a [Arc<Link>], name: &str) -> Option<&'a Arc<Link>> {
    let index = links
        .binary_search_by(|link| (*link.route.name).cmp(name))
        .ok()?;
    links.get(index)
}
