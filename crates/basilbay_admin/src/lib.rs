//! Remote interface of a daemon for operators, over tarpc.
//!
//! The daemon serves its status, with or without its peers, and explains how it would route a
//! request. All calls are read-only. Fields are only ever added, with defaults, so that clients and
//! daemons of different builds interoperate.

use std::sync::Arc;

use basilbay_model::domain;
use basilbay_model::id::{DomainId, InstanceId, KindId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// State of a daemon and its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the instance that the daemon belongs to.
    pub instance: InstanceId,
    /// Service of the daemon's target.
    pub service: ServiceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Build version of the daemon.
    pub build: Arc<str>,
    /// Active configuration version; 0 when there is none.
    pub config_version: Version,
    /// Roster version; 0 when there is none.
    pub roster_version: Version,
    /// Age of the roster, in milliseconds; 0 when there is none.
    pub roster_age_ms: u64,
    /// Whether new requests are accepted: warm, cold, leaving, out, down, unconfirmed.
    pub state: Arc<str>,
    /// Requests in flight on the target.
    pub in_flight: u32,
    /// Concurrency limit of the target.
    pub limit: u32,
    /// Requests queued in the daemon.
    pub queued: u32,
    /// Recent service time, in microseconds.
    pub latency_us: u32,
    /// Requests that the target completed since the daemon started.
    #[serde(default)]
    pub completed: u64,
    /// Requests refused with outcome `not-run` since the daemon started.
    #[serde(default)]
    pub refused: u64,
    /// Idempotency keys in the daemon's key store.
    #[serde(default)]
    pub keys: u64,
    /// Control traffic since the daemon started; `None` from older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<Control>,
    /// Every instance in the daemon's roster.
    #[serde(default)]
    pub peers: Vec<Peer>,
}

/// Control traffic of a daemon since its start.
///
/// Byte counts include IP and UDP headers for datagrams, but only bodies for HTTP exchanges.
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
    /// HTTP exchanges: pulls sent, pulls served and platform reads.
    pub exchanges: u64,
    /// Platform reads that got a response.
    pub platform_reads: u64,
}

/// An instance in the roster and its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Id of the instance that the daemon belongs to.
    pub instance: InstanceId,
    /// Address of the daemon's remote interface for operators.
    pub admin: std::net::SocketAddr,
    /// Service of the daemon's target.
    pub service: ServiceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
}

/// A target of a service, and whether load balancing may pick it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Id of the target's instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Configured state of the failure domain.
    pub domain_state: domain::State,
    /// Whether the target may be picked.
    pub eligible: bool,
    /// Why the target is not eligible, or else its load.
    pub reason: Arc<str>,
    /// Requests in flight on the target, as last reported.
    pub in_flight: u32,
    /// Concurrency limit of the target, as last reported.
    pub limit: u32,
    /// Age of the reported load, in milliseconds; `None` without a report.
    pub age_ms: Option<u64>,
    /// Share of the requests that the target would get, in parts per thousand.
    pub share_permille: u32,
}

/// How one daemon would route a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Id of the daemon whose view this is.
    pub instance: InstanceId,
    /// Id of the requested service.
    pub service: ServiceId,
    /// Kind of the request; `None` if method and path match none.
    pub kind: Option<KindId>,
    /// Name of the load-balancing policy.
    pub policy: Arc<str>,
    /// Why no target of the service gets requests; `None` if one does.
    pub refusal: Option<Arc<str>>,
    /// Every target of the service.
    pub candidates: Vec<Candidate>,
}

/// Remote calls for operators.
#[tarpc::service]
pub trait Admin {
    /// Returns the state of the daemon with all peers.
    async fn status() -> Status;
    /// Returns the state of the daemon without peers. A client that queries every daemon needs
    /// the peers only once, and lists from every daemon would grow with the square of the fleet.
    async fn brief() -> Status;
    /// Explains to which targets a request for a service with a method and path may be routed.
    async fn explain(service: String, method: String, path: String) -> Explanation;
}
