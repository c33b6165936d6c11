//! Latency bound of an ideal central queue.

use std::time::Duration;

use basilbay_load::ideal::queue_latencies;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against jobs that overtake, wait for a busy slot although another is free, or start
/// early.
#[test]
fn queued_latencies() {
    let jobs = [
        (ms(0), ms(10)),
        (ms(1), ms(4)),
        (ms(2), ms(5)),
        (ms(3), ms(1)),
        (ms(30), ms(2)),
    ];
    let found = queue_latencies(&jobs, 2);
    assert_eq!(found, [ms(10), ms(4), ms(8), ms(8), ms(2)]);
}

/// Guards against unused slots.
#[test]
fn enough_slots() {
    let jobs = [(ms(0), ms(9)), (ms(0), ms(9)), (ms(0), ms(9))];
    assert_eq!(queue_latencies(&jobs, 3), [ms(9); 3]);
    assert_eq!(queue_latencies(&jobs, 1), [ms(9), ms(18), ms(27)]);
}
