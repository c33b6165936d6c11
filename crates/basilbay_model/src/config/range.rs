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
