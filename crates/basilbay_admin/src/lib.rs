//! The operators' remote interface of a daemon, over tarpc.
//!
//! All calls read; none changes anything. Fields are only ever added, with defaults, so that a
//! client and a daemon of different builds understand each other.

use std::sync::Arc;

use basilbay_model::domain::State as Wanted;
use basilbay_model::id::{DomainId, InstanceId, KindId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// What a daemon reports about itself and its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance beside which the daemon runs.
    pub instance: InstanceId,
    /// Service of its target.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Build version of the daemon.
    pub build: Arc<str>,
    /// Configuration version in force; 0 when there is none.
    pub config_version: Version,
    /// Roster version; 0 when there is none.
    pub roster_version: Version,
    /// Age of the roster, in milliseconds.
    pub roster_age_ms: u64,
    /// What the daemon does with new work: warm, cold, leaving, out, down, unconfirmed.
    pub state: Arc<str>,
    /// Requests on the target.
    pub in_flight: u32,
    /// Requests that the target is allowed.
    pub limit: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Recent service time, in microseconds.
    pub latency_us: u32,
    /// Requests that ran on the target since the daemon started.
    #[serde(default)]
    pub completed: u64,
    /// Requests that were refused as not run since the daemon started.
    #[serde(default)]
    pub refused: u64,
    /// Idempotency keys in memory.
    #[serde(default)]
    pub keys: u64,
    /// What control cost since the daemon started; absent in older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<Control>,
    /// Every instance in the daemon's roster.
    #[serde(default)]
    pub peers: Vec<Peer>,
}

/// Control traffic of a daemon since its start.
///
/// Bytes of datagrams include the headers of IP and UDP; those of exchanges over HTTP are bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Exchanges over HTTP: pulls made, pulls answered, reads of the platform.
    pub exchanges: u64,
    /// Reads of the platform that were answered.
    pub platform_reads: u64,
}

/// Another daemon, as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The instance.
    pub instance: InstanceId,
    /// Address of its operators' interface.
    pub admin: std::net::SocketAddr,
    /// Service of its target.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// Why a target would or would not get a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The target's instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// What operators asked for its failure domain.
    pub domain_state: Wanted,
    /// Whether it may be picked.
    pub eligible: bool,
    /// Why not, or with what load.
    pub reason: Arc<str>,
    /// Requests on the target, as last heard.
    pub in_flight: u32,
    /// Requests that it is allowed, as last heard.
    pub limit: u32,
    /// Age of these figures, in milliseconds; `None` when nothing was heard.
    pub age_ms: Option<u64>,
    /// Share of requests that it would get, in parts per thousand.
    pub share_permille: u32,
}

/// Where a request of a service would go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The daemon that explains.
    pub instance: InstanceId,
    /// The service.
    pub service: ServiceId,
    /// The kind that the path belongs to.
    pub kind: Option<KindId>,
    /// Name of the policy.
    pub policy: Arc<str>,
    /// Why the whole service gets no requests, if it gets none.
    pub refusal: Option<Arc<str>>,
    /// Every target of the service.
    pub candidates: Vec<Candidate>,
}

/// Remote calls of operators.
#[tarpc::service]
pub trait Admin {
    /// What the daemon reports about itself.
    async fn status() -> Status;
    /// As `status`, but with no peers: a client that asks the whole fleet needs them once, and
    /// the sum of all lists grows with the square of the fleet.
    async fn brief() -> Status;
    /// Where a request of a service with a method and path would go.
    async fn explain(service: String, method: String, path: String) -> Explanation;
}
