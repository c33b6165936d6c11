//! Measures the memory use of a stored key as the growth of the resident set of this process
//! (Linux only).

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
    let before = resident_bytes();
    for number in 0..KEYS {
        let text = format!("order-{number}");
        let Ok(key) = Key::parse(&text, SystemTime::UNIX_EPOCH) else {
            return;
        };
        shards.claim(&key, 1, 0, now);
        shards.finish(&key, Finish::TooLarge, now);
    }
    let grown = resident_bytes().saturating_sub(before);
    println!("{} keys, {} bytes each", shards.len(), grown / KEYS);
}

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<usize>().ok())
        .unwrap_or(0)
        * 1024
}
