//! A target that has turned several times slower than its siblings gets little work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_routing::board::{Board, Outstanding, Target};
use basilbay_routing::straggler;

/// Usual service time, in seconds.
const USUAL: f64 = 0.25;

fn board(now: Instant) -> Board {
    let mut board = Board::default();
    let targets = (0..4).map(|index| {
        let id = Arc::from(format!("desk-{index}"));
        Target::new(id, Arc::from("north"), true)
    });
    board.sync(targets.collect());
    for target in &mut board.targets {
        target.latency = USUAL;
    }
    board.review(now);
    board
}

fn send(board: &mut Board, index: usize, call: u64, now: Instant) {
    let outstanding = Outstanding {
        call,
        sent_at: now,
        may_wait: false,
    };
    board.start(index, outstanding);
}

/// Guards against a target five times as slow that keeps its share: one of six workers took 1.1 s in
/// place of 250 ms for eight seconds and went on to get requests.
#[test]
fn slow_left() {
    let now = Instant::now();
    let mut board = board(now);
    send(&mut board, 0, 1, now);
    straggler::review(&mut board, now + Duration::from_millis(700));
    assert!(straggler::admits(&board.targets[0], now));
    let late = now + Duration::from_millis(800);
    straggler::review(&mut board, late);
    assert!(!straggler::admits(&board.targets[0], late));
    // A trial that takes as long again does not bring it back.
    board.end(0, 1);
    straggler::answered(&mut board, 0, Duration::from_millis(1100));
    assert!(board.targets[0].ejection.is_active());
    straggler::answered(&mut board, 0, Duration::from_millis(300));
    assert!(!board.targets[0].ejection.is_active());
}

/// Guards against a slow moment of the whole service that takes more than half of it away.
#[test]
fn half_stays() {
    let now = Instant::now();
    let mut board = board(now);
    for index in 0..4 {
        send(&mut board, index, index as u64, now);
    }
    straggler::review(&mut board, now + Duration::from_secs(2));
    let ejected = board.targets.iter().filter(|it| it.ejection.is_active());
    assert_eq!(ejected.count(), 2);
}
