//! Aliases for the ids that appear in messages, settings and logs.

use std::sync::Arc;

/// Id of a service, as callers name it in the `Host` header.
pub type ServiceId = Arc<str>;

/// Id of a failure domain.
pub type DomainId = Arc<str>;

/// Id of a region, a group of failure domains.
pub type RegionId = Arc<str>;

/// Id of one run of one instance; a replacement at the same address has another id.
pub type InstanceId = Arc<str>;

/// Id of a kind of request within its service.
pub type KindId = Arc<str>;

/// Id of a route.
pub type RouteId = Arc<str>;

/// Name that a target gives itself; a new one with each start, at the same address too.
pub type RunId = Arc<str>;

/// Version of a published value; it only goes forward.
pub type Version = u64;

/// SHA-256 of a published value, to tell equal versions with other content apart.
pub type Digest = [u8; 32];
