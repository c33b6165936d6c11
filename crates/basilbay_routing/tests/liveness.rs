//! Requests for peers that may be unreachable.

use std::time::{Duration, Instant};

use basilbay_routing::liveness::{Check, Liveness};

/// Peers of one daemon, half of which are cut off.
const PEERS: usize = 48;

/// Round trip of a ping, and the time after which it counts as missed.
const ROUND_TRIP: Duration = Duration::from_millis(2);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends requests to random peers for 12 s of a cut; returns how many were lost behind it, and how
/// many were sent elsewhere.
fn lost_and_moved(is_repeatable: bool) -> (u32, u32) {
    let mut random = fastrand::Rng::with_seed(7);
    let start = Instant::now();
    let mut peers = [Liveness::default(); PEERS];
    // Every peer has answered before the cut.
    for peer in &mut peers {
        peer.record_answer(start);
    }
    let (mut lost, mut moved) = (0, 0);
    for step in 0..600 {
        let now = start + Duration::from_millis(1_000 + 20 * step);
        let index = random.usize(..PEERS);
        let is_cut_off = index.is_multiple_of(2);
        match peers[index].check(is_repeatable, now) {
            Check::Send => lost += u32::from(is_cut_off),
            Check::Ping if is_cut_off => {
                peers[index].record_silence(now + ANSWER_TIMEOUT);
                moved += 1;
            }
            Check::Ping => peers[index].record_answer(now + ROUND_TRIP),
            Check::Avoid => moved += 1,
        }
    }
    (lost, moved)
}

/// Guards against requests that must not be repeated and are lost behind a cut, one from each daemon
/// to each peer, in a fleet in which every pair exchanges a request every few seconds.
#[test]
fn partition_under_load() {
    let (lost, moved) = lost_and_moved(false);
    assert_eq!(lost, 0);
    assert!(moved > 200, "{moved}");
}

/// Guards against pings for requests that may be sent again: these are hedged.
#[test]
fn repeatable_requests() {
    assert_eq!(lost_and_moved(true).1, 0);
}

/// Guards against a ping for each request on a busy link, and against a peer that is avoided although
/// it answers again.
#[test]
fn busy_link() {
    let now = Instant::now();
    let mut peer = Liveness::default();
    assert_eq!(peer.check(false, now), Check::Ping);
    peer.record_answer(now);
    let soon = now + Duration::from_millis(400);
    assert_eq!(peer.check(false, soon), Check::Send);
    peer.record_silence(soon);
    assert_eq!(peer.check(true, soon), Check::Avoid);
    peer.record_answer(soon);
    assert_eq!(peer.check(false, soon), Check::Send);
    let later = soon + Duration::from_secs(2);
    peer.record_silence(soon);
    assert_eq!(peer.check(false, later), Check::Ping);
}
