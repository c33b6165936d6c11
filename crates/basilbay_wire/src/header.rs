//! Names and limits of the headers that basilbay reads and writes.

/// Outcome of a request whose response basilbay generated: `not-run` or `unknown`.
pub const OUTCOME: &str = "basilbay-outcome";

/// Marks a response that was stored for an earlier request with the same idempotency key.
pub const REPLAYED: &str = "basilbay-replayed";

/// Timeout of the request in milliseconds, set by the caller.
pub const TIMEOUT_MS: &str = "basilbay-timeout-ms";

/// Extra attempts that the rest of the call chain may use.
pub const ALLOWANCE: &str = "basilbay-allowance";

/// Number of calls before this one in the call chain.
pub const DEPTH: &str = "basilbay-depth";

/// Key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// The encoded [`crate::hop::Hop`] of a forwarded request.
pub const HOP: &str = "basilbay-hop";

/// The encoded [`crate::load::Load`] of the responding daemon.
pub const LOAD: &str = "basilbay-load";

/// Largest header section of a request, in bytes.
pub const MAX_SECTION_BYTES: usize = 16 * 1024;

/// Largest number of headers of a request.
pub const MAX_COUNT: usize = 64;

/// Maximum depth of a call chain.
pub const MAX_DEPTH: u8 = 12;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
