//! UDP messages between daemons.
//!
//! Delivery is best effort, and a lost datagram only delays an update: the same information is
//! sent again with the next heartbeat, with the next response, or with a refusal by the daemon
//! beside the target.

use basilbay_model::id::{InstanceId, ServiceId, Version};
use basilbay_model::roster::Timestamp;
use serde::{Deserialize, Serialize};

use crate::load::{Load, State};

/// Versions that a daemon uses and the freshness of its roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Configuration version; 0 when there is none.
    pub config_version: Version,
    /// First 8 bytes of the configuration's digest; detects different contents of one version.
    pub config_digest: u64,
    /// Roster version; 0 when there is none.
    pub roster_version: Version,
    /// As-of time of the roster, by the clock of the instance list.
    pub roster_as_of_ms: Timestamp,
    /// Whether the daemon accepts new requests, and why not otherwise.
    pub state: State,
}

/// A request that was in flight when its target crashed and may be the cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Service of the target that crashed.
    pub service: ServiceId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Crashes of the sender's target with this request in flight; 0 if the request completed there.
    pub crashes: u32,
    /// Those crashes in which the request ran isolated, since an earlier crash was known.
    #[serde(default)]
    pub isolated: u32,
    /// Those crashes in which the request ran as a trial.
    #[serde(default)]
    pub trials: u32,
    /// Whether the completed run was a trial.
    #[serde(default)]
    pub is_trial: bool,
}

/// What a daemon knows of a suspicion, its own or that of a sibling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance whose target crashed.
    pub origin: InstanceId,
    /// The suspicion as that instance reported it.
    pub suspicion: Suspicion,
}

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Load of the sender's target.
    Load(Load),
    /// Liveness and versions of the sender.
    Heartbeat {
        /// Versions, roster age and state of the sender.
        #[serde(rename = "beat")]
        heartbeat: Heartbeat,
        /// Whether the receiver replies with its heartbeat.
        reply: bool,
    },
    /// The sender's target starts to leave.
    Leaving,
    /// Requests that were in flight during a crash, or that are cleared of suspicion.
    Suspicions(Vec<Suspicion>),
    /// The sender has started and asks its siblings for the requests that they refuse.
    SuspectsWanted,
    /// Requests that the sender refuses; may be empty.
    Suspects(Vec<Report>),
}

/// A payload with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Version of the message format.
    pub format: u16,
    /// The daemon that sends the datagram.
    pub origin: InstanceId,
    /// The payload.
    pub body: Body,
}
