//! Type aliases for the ids in messages, settings and logs.

use std::sync::Arc;

/// Id of a service, which callers put in the `Host` header.
pub type ServiceId = Arc<str>;

/// Id of a failure domain.
pub type DomainId = Arc<str>;

/// Id of a region, a group of failure domains.
pub type RegionId = Arc<str>;

/// Id of one lifetime of an instance; a replacement at the same address has another id.
pub type InstanceId = Arc<str>;

/// Id of a kind of request within its service.
pub type KindId = Arc<str>;

/// Id of a route.
pub type RouteId = Arc<str>;

/// Id of one run (process lifetime) of a target, chosen by the target itself; it changes with each
/// start, at the same address too.
pub type RunId = Arc<str>;

/// Version of a published configuration or roster; it only increases. See [`crate::version`] for a
/// platform that gives out its revisions again.
pub type Version = u64;

/// Number that operators give the content of a configuration.
pub type Serial = u64;

/// SHA-256 of a published value; distinguishes different contents with the same version.
pub type Digest = [u8; 32];
