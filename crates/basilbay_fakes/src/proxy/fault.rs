//! Faults of a route and its state in figures.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Direction of bytes through a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the side that connects.
    Forward,
    /// Back to the side that connects.
    Backward,
}

/// Faults of a route; what is not named has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each direction; fractions of a millisecond count.
    pub delay_ms: f64,
    /// Largest random addition to the delay; TCP keeps the order of bytes, UDP does not.
    pub jitter_ms: f64,
    /// Accepts nothing and passes nothing on.
    pub partition: bool,
    /// Swallows everything in this direction.
    pub half_open: Option<Direction>,
    /// Swallows datagrams in both directions; connections stay.
    pub lose_datagrams: bool,
    /// Resets a connection once it has passed on this many bytes, both directions together.
    pub reset_after_bytes: Option<u64>,
}

/// What a control call asks for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Name of the route; all routes if absent.
    pub route: Option<String>,
    /// Replaces the faults; they stay if absent.
    pub faults: Option<Faults>,
    /// Resets all connections once.
    pub cut: bool,
}

/// State of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Present faults.
    pub faults: Faults,
    /// Connections accepted so far.
    pub connections: u64,
    /// TCP bytes passed on, both directions.
    pub bytes: u64,
    /// Datagrams passed on, both directions.
    pub datagrams: u64,
    /// Connections that ended with a reset, whether by a fault or by one of the two sides.
    pub resets: u64,
}
