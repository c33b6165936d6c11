//! Valid ranges of the numbers in a configuration file.
//!
//! The upper bounds are far above practical values. They catch mistakes such as a value in the
//! wrong unit, and keep sums and products of settings within their types.

use std::ops::RangeInclusive;

/// `[basilbay] version`; the upper bound is the largest integer that JSON parsers represent exactly.
pub const VERSION: RangeInclusive<u64> = 1..=9_007_199_254_740_991;
/// `[basilbay] serial`.
pub const SERIAL: RangeInclusive<u64> = 0..=*VERSION.end();
/// `[limits] retry_percent`, in percent of a service's calls.
pub const RETRY_PERCENT: RangeInclusive<u32> = 0..=100;
/// `[limits] allowance`; the attempts of one call cannot exceed it at any depth of the chain.
pub const ALLOWANCE: RangeInclusive<u32> = 0..=16;
/// `[limits] key_retention_ms`, up to a day.
pub const KEY_RETENTION_MS: RangeInclusive<u64> = 1_000..=86_400_000;
/// `[limits] key_memory_bytes`: from one stored response of 64 KB to half of a daemon's 256 MB.
pub const KEY_MEMORY_BYTES: RangeInclusive<u64> = 65_536..=134_217_728;
/// `[service ID] slots`, in concurrent requests.
pub const SLOTS: RangeInclusive<u32> = 1..=10_000;
/// `[service ID] connections`; must also be at least `slots`.
pub const CONNECTIONS: RangeInclusive<u32> = 1..=65_535;
/// `[service ID] queue`, in requests; 0 disables queueing.
pub const QUEUE: RangeInclusive<u32> = 0..=10_000;
/// `[service ID] cold_slots`; must also be at most `slots`.
pub const COLD_SLOTS: RangeInclusive<u32> = 1..=10_000;
/// `[service ID] warm_after`, in completed requests; 0 disables the warm-up.
pub const WARM_AFTER: RangeInclusive<u32> = 0..=1_000_000;
/// `[service ID] probe_permille`; 0 disables probing.
pub const PROBE_PERMILLE: RangeInclusive<u32> = 0..=1_000;
/// `[service ID] probe_cost_us`, up to ten seconds.
pub const PROBE_COST_US: RangeInclusive<u64> = 1..=10_000_000;
/// `[kind SERVICE/NAME] weight`, relative to the other kinds.
pub const WEIGHT: RangeInclusive<u32> = 1..=10_000;
/// `[kind SERVICE/NAME] deadline_ms`, up to five minutes: draining waits for running requests, so
/// a longer deadline would delay every replacement of an instance.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=300_000;
/// Length of an id in characters; the upper bound is that of a host name label.
pub const ID_LENGTH: RangeInclusive<usize> = 1..=63;
/// Length of a path prefix in characters.
pub const PATH_LENGTH: RangeInclusive<usize> = 1..=1_024;
/// `[limits] retry_slack`, in retries per `retry_window_ms`.
pub const RETRY_SLACK: RangeInclusive<u32> = 0..=1_000_000;
/// `[limits] retry_window_ms`, up to ten minutes.
pub const RETRY_WINDOW_MS: RangeInclusive<u64> = 100..=600_000;
/// `[limits] header_bytes`; the upper bound limits the memory of one connection.
pub const HEADER_BYTES: RangeInclusive<u32> = 256..=1_048_576;
/// `[limits] body_bytes`, up to a tebibyte.
pub const BODY_BYTES: RangeInclusive<u64> = 0..=1_099_511_627_776;
/// `[limits] header_timeout_ms`, up to five minutes.
pub const HEADER_TIMEOUT_MS: RangeInclusive<u64> = 10..=300_000;
/// `[limits] idle_timeout_ms`, up to an hour.
pub const IDLE_TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;
/// `[service ID] cold_rate`, in requests per second; 0 limits a cold start by concurrency only.
pub const COLD_RATE: RangeInclusive<u32> = 0..=1_000_000;
/// `[service ID] cold_ms`, up to an hour.
pub const COLD_MS: RangeInclusive<u64> = 0..=3_600_000;
/// `[service ID] remote_cost_us`, up to ten seconds.
pub const REMOTE_COST_US: RangeInclusive<u64> = 0..=10_000_000;
/// `[service ID] limit_percent`, in percent of the slots.
pub const LIMIT_PERCENT: RangeInclusive<u32> = 1..=100;
/// `[service ID] slow_percent`, in percent of the usual service time; 0 disables the avoidance of slow targets.
pub const SLOW_PERCENT: RangeInclusive<u32> = 0..=100_000;
/// `[service ID] probe_gap_ms`, up to a minute.
pub const PROBE_GAP_MS: RangeInclusive<u64> = 10..=60_000;
/// `[route ID] goal_ms`, up to five minutes.
pub const GOAL_MS: RangeInclusive<u64> = 1..=300_000;
/// `[route ID] priority`; 0 is the highest.
pub const PRIORITY: RangeInclusive<u32> = 0..=crate::route::MAX_PRIORITY;
/// `[route ID] attempts`: the first attempt and at most the largest `allowance` of extra ones.
pub const ATTEMPTS: RangeInclusive<u32> = 1..=17;
/// Weight of one destination of a route, relative to the others; 0 sends it no requests.
pub const DESTINATION_WEIGHT: RangeInclusive<u32> = 0..=1_000_000;
/// Number of destinations of one route.
pub const DESTINATIONS: RangeInclusive<usize> = 1..=64;
/// Length of a route's host in characters.
pub const HOST_LENGTH: RangeInclusive<usize> = 1..=253;
