//! Sliding window over recent events.

use std::time::{Duration, Instant};

use basilbay_admission::window::Window;

const SPAN: Duration = Duration::from_secs(1);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against events that stay in the window for longer than its span, or leave it early.
#[test]
fn events_expire() {
    let now = Instant::now();
    let mut window = Window::new(SPAN);
    window.record(now);
    window.record(now + millis(400));
    assert_eq!(window.expires_at(0), Some(now + SPAN));
    assert_eq!(window.expires_at(2), None);
    window.evict_expired(now + millis(999));
    assert_eq!(window.len(), 2);
    window.evict_expired(now + SPAN);
    assert_eq!(window.expires_at(0), Some(now + millis(1400)));
    window.discard_until(now + millis(400));
    assert!(window.is_empty());
}

/// Guards against more events in any span than the bound allows.
#[test]
fn bound_holds() {
    let now = Instant::now();
    let mut window = Window::new(SPAN);
    let recorded: Vec<u64> = (0..300)
        .map(|step| 10 * step)
        .filter(|at| window.try_record(5, now + millis(*at)))
        .collect();
    assert_eq!(recorded.len(), 15);
    for first in &recorded {
        let within = recorded
            .iter()
            .filter(|at| (*first..first + 1000).contains(at));
        assert!(within.count() <= 5);
    }
}
