//! Faults, control command and status of a route.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Direction of bytes through a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the client, which opens the connection, to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

/// Faults of a route; a field that is absent from the JSON means no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay in each direction; may have a fraction.
    pub delay_ms: f64,
    /// Upper bound of a random addition to the delay. The jitter reorders datagrams, but not TCP
    /// bytes.
    pub jitter_ms: f64,
    /// Accepts no connections and forwards nothing.
    pub partition: bool,
    /// Direction in which everything is silently dropped; `None` drops nothing.
    pub half_open: Option<Direction>,
    /// Drops datagrams in both directions; connections are not affected.
    pub lose_datagrams: bool,
    /// Resets a connection once it has forwarded this many bytes, both directions together; `None`
    /// sets no limit.
    pub reset_after_bytes: Option<u64>,
}

/// Body of `PUT /fake/proxy`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Name of the route; `None` applies the command to all routes.
    pub route: Option<String>,
    /// Faults that replace the current ones; `None` leaves them unchanged.
    pub faults: Option<Faults>,
    /// Whether to reset the connections that are open now.
    pub cut: bool,
}

/// Status of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the route.
    pub name: Arc<str>,
    /// Address that the route listens on.
    pub address: SocketAddr,
    /// Current faults.
    pub faults: Faults,
    /// Connections accepted since the start.
    pub connections: u64,
    /// TCP bytes forwarded, both directions together.
    pub bytes: u64,
    /// Datagrams forwarded, both directions together.
    pub datagrams: u64,
    /// Connections that ended with a reset, by a fault or by either endpoint.
    pub resets: u64,
}
