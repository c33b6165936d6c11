//! Ranges of the numbers in a file.
//!
//! The upper ends are far above any use; they catch slips such as a missing unit, and keep sums
//! and products of settings within their types.

use std::ops::RangeInclusive;

/// `[basilbay] version`; the upper end is the largest whole number that JSON readers keep exact.
pub const VERSION: RangeInclusive<u64> = 1..=9_007_199_254_740_991;
/// `[limits] retry_percent`.
pub const RETRY_PERCENT: RangeInclusive<u32> = 0..=100;
/// `[limits] allowance`; the attempts of a call cannot exceed this at any depth.
pub const ALLOWANCE: RangeInclusive<u32> = 0..=16;
/// `[limits] key_retention_ms`, up to a day.
pub const KEY_RETENTION_MS: RangeInclusive<u64> = 1_000..=86_400_000;
/// `[limits] key_memory_bytes`: from one stored answer of 64 KB to half of a daemon's 256 MB.
pub const KEY_MEMORY_BYTES: RangeInclusive<u64> = 65_536..=134_217_728;
/// `[service ID] slots`.
pub const SLOTS: RangeInclusive<u32> = 1..=10_000;
/// `[service ID] connections`; at least `slots` as well.
pub const CONNECTIONS: RangeInclusive<u32> = 1..=65_535;
/// `[service ID] queue`; 0 lets nothing wait.
pub const QUEUE: RangeInclusive<u32> = 0..=10_000;
/// `[service ID] cold_slots`; at most `slots` as well.
pub const COLD_SLOTS: RangeInclusive<u32> = 1..=10_000;
/// `[service ID] warm_after`; 0 switches the ramp off.
pub const WARM_AFTER: RangeInclusive<u32> = 0..=1_000_000;
/// `[service ID] probe_permille`; 0 switches measuring off.
pub const PROBE_PERMILLE: RangeInclusive<u32> = 0..=1_000;
/// `[service ID] probe_cost_us`, up to ten seconds.
pub const PROBE_COST_US: RangeInclusive<u64> = 1..=10_000_000;
/// `[kind SERVICE/NAME] weight`.
pub const WEIGHT: RangeInclusive<u32> = 1..=10_000;
/// `[kind SERVICE/NAME] deadline_ms`, up to five minutes: a planned stop waits for running
/// requests, so a longer deadline would hold up every replacement of an instance.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=300_000;
/// Characters of an id; the length of a label in a host name.
pub const ID_LENGTH: RangeInclusive<usize> = 1..=63;
/// Characters of a path prefix.
pub const PATH_LENGTH: RangeInclusive<usize> = 1..=1_024;
/// `[limits] retry_slack`.
pub const RETRY_SLACK: RangeInclusive<u32> = 0..=1_000_000;
/// `[limits] retry_window_ms`, up to ten minutes.
pub const RETRY_WINDOW_MS: RangeInclusive<u64> = 100..=600_000;
/// `[limits] header_bytes`; the upper end is what one connection may cost in memory.
pub const HEADER_BYTES: RangeInclusive<u32> = 256..=1_048_576;
/// `[limits] body_bytes`, up to a tebibyte.
pub const BODY_BYTES: RangeInclusive<u64> = 0..=1_099_511_627_776;
/// `[limits] header_timeout_ms`, up to five minutes.
pub const HEADER_TIMEOUT_MS: RangeInclusive<u64> = 10..=300_000;
/// `[limits] idle_timeout_ms`, up to an hour.
pub const IDLE_TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;
/// `[service ID] cold_rate`; 0 leaves a cold start to the ramp.
pub const COLD_RATE: RangeInclusive<u32> = 0..=1_000_000;
/// `[service ID] cold_ms`, up to an hour.
pub const COLD_MS: RangeInclusive<u64> = 0..=3_600_000;
/// `[service ID] remote_cost_us`, up to ten seconds.
pub const REMOTE_COST_US: RangeInclusive<u64> = 0..=10_000_000;
/// `[service ID] limit_percent`.
pub const LIMIT_PERCENT: RangeInclusive<u32> = 1..=100;
/// `[service ID] slow_percent`; 0 switches the avoidance off.
pub const SLOW_PERCENT: RangeInclusive<u32> = 0..=100_000;
/// `[service ID] probe_gap_ms`, up to a minute.
pub const PROBE_GAP_MS: RangeInclusive<u64> = 10..=60_000;
/// `[route ID] goal_ms`, up to five minutes.
pub const GOAL_MS: RangeInclusive<u64> = 1..=300_000;
/// `[route ID] priority`; 0 is the most urgent.
pub const PRIORITY: RangeInclusive<u32> = 0..=crate::route::MAX_PRIORITY;
/// `[route ID] attempts`.
pub const ATTEMPTS: RangeInclusive<u32> = 1..=17;
/// Weight of one service of a route.
pub const DESTINATION_WEIGHT: RangeInclusive<u32> = 0..=1_000_000;
/// Services of one route.
pub const DESTINATIONS: RangeInclusive<usize> = 1..=64;
/// Characters of a route's host.
pub const HOST_LENGTH: RangeInclusive<usize> = 1..=253;
