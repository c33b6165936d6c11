//! Measures the memory of a remembered key as the growth of this process (Linux).

use std::time::{Duration, Instant, SystemTime};

use basilbay_keys::key::Key;
use basilbay_keys::store::{Finish, Limits, Shards};

const KEYS: usize = 1_000_000;

fn main() {
    let shards = Shards::new(Limits {
        entries: 2 * KEYS,
        response_bytes: 0,
        retention: Duration::from_secs(600),
    });
    let now = Instant::now();
    let before = resident();
    for number in 0..KEYS {
        let text = format!("order-{number}");
        let Ok(key) = Key::parse(&text, SystemTime::UNIX_EPOCH) else {
            return;
        };
        shards.claim(&key, 1, 0, now);
        shards.finish(&key, Finish::TooLarge, now);
    }
    let grown = resident().saturating_sub(before);
    println!("{} keys, {} bytes each", shards.len(), grown / KEYS);
}

/// Resident bytes of this process.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<usize>().ok())
        .unwrap_or(0)
        * 1024
}
