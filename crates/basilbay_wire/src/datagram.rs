//! Small messages between daemons over UDP.
//!
//! A lost datagram costs freshness only: whatever it says is said again by the next heartbeat, by
//! the next answer, or by a refusal of the target's own daemon.

use basilbay_model::id::{InstanceId, ServiceId, Version};
use basilbay_model::roster::Timestamp;
use serde::{Deserialize, Serialize};

use crate::load::{Load, State};

/// Versions that a daemon has in force, and how fresh its roster is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Configuration version; 0 when there is none.
    pub config_version: Version,
    /// First 8 bytes of the configuration's digest.
    pub config_digest: u64,
    /// Roster version; 0 when there is none.
    pub roster_version: Version,
    /// As-of time of the roster, by the list's clock.
    pub roster_as_of_ms: Timestamp,
    /// What the daemon does with new work.
    pub state: State,
}

/// A request that may crash its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The service whose target crashed.
    pub service: ServiceId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Crashes of the sender's target with this request in flight; 0 clears the suspicion.
    pub crashes: u32,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Load of the sender's target.
    Load(Load),
    /// Versions of the sender; answered with one of its own when `reply` is set.
    Heartbeat {
        /// The versions.
        beat: Heartbeat,
        /// Whether the receiver is asked for its own.
        reply: bool,
    },
    /// The sender's target starts leaving.
    Leaving,
    /// Requests that were in flight when a target crashed, or that were cleared.
    Suspicions(Vec<Suspicion>),
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Format of this message.
    pub format: u16,
    /// The daemon that sends it.
    pub origin: InstanceId,
    /// What it says.
    pub body: Body,
}
