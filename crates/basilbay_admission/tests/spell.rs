//! A noisy neighbour that slows a machine in spells of 150 ms, and requests that meet it.

use std::time::{Duration, Instant};

use basilbay_admission::spell::{Question, Spell, Verdict};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn question(now: Instant) -> Question {
    Question {
        threshold: 200,
        goal_at: now + millis(400),
        usual: millis(150),
        may_move: false,
        may_look: true,
    }
}

/// Guards against a request that is handed over on a look that is older than a spell may last.
#[test]
fn looks_first() {
    let now = Instant::now();
    let mut spell = Spell::default();
    assert_eq!(spell.judge(question(now), now), Verdict::Look);
    spell.note(100, now);
    assert_eq!(spell.judge(question(now), now + millis(4)), Verdict::Run);
    assert_eq!(spell.judge(question(now), now + millis(6)), Verdict::Look);
}

/// Guards against a request that runs five times as long since it started in a slow spell though
/// another target was free.
#[test]
fn moves_on() {
    let now = Instant::now();
    let mut spell = Spell::default();
    spell.note(500, now);
    let asked = Question {
        may_move: true,
        ..question(now)
    };
    assert_eq!(spell.judge(asked, now), Verdict::Move);
}

/// Guards against a request that does not wait for the end of a spell though its goal allows it,
/// and against one that waits past its goal.
#[test]
fn waits_for_calm() {
    let start = Instant::now();
    let mut spell = Spell::default();
    let mut now = start;
    loop {
        spell.note(500, now);
        match spell.judge(question(start), now) {
            Verdict::Wait(until) => now = until,
            Verdict::Run => break,
            other => panic!("{other:?}"),
        }
    }
    let waited = now - start;
    assert!(waited >= millis(200) && waited <= millis(240), "{waited:?}");
}

/// Guards against requests that are held up when the target cannot be looked at.
#[test]
fn no_look() {
    let now = Instant::now();
    let mut spell = Spell::default();
    spell.note(500, now);
    let blind = Question {
        may_look: false,
        ..question(now)
    };
    assert_eq!(spell.judge(blind, now + millis(50)), Verdict::Run);
    let unset = Question {
        threshold: 0,
        ..question(now)
    };
    assert_eq!(spell.judge(unset, now), Verdict::Run);
}
