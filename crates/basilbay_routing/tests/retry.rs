//! Retries: which attempts may be repeated, and how often.

use std::time::{Duration, Instant};

use basilbay_routing::retry::{Attempts, Budget, Failure, MAX_REFUSALS};
use basilbay_wire::problem::Outcome;
use proptest::prelude::*;

/// Runs a chain in which every last call fails; returns how often the last call ran.
fn runs_of_last_call(depth: u8, allowance: u8, idempotent: bool, now: Instant) -> u32 {
    if depth == 0 {
        return 1;
    }
    let mut budget = Budget::new(100, now);
    for _ in 0..100 {
        budget.deposit(0.0);
    }
    let mut attempts = Attempts::new(idempotent, now + Duration::from_secs(1), allowance);
    let mut runs = 0;
    loop {
        let downstream = attempts.allowance.downstream();
        runs += runs_of_last_call(depth - 1, downstream, idempotent, now);
        if !attempts.should_retry(Failure::UNKNOWN, &mut budget, now) {
            return runs;
        }
    }
}

/// Guards against retries that multiply along a chain: 3 tries per hop at a depth of 12 make
/// 531,441.
#[test]
fn chains_stay_bounded() {
    let now = Instant::now();
    for depth in 1..=12 {
        for allowance in 0..=5 {
            let runs = runs_of_last_call(depth, allowance, true, now);
            assert!(
                runs <= u32::from(allowance) + 1,
                "{depth} {allowance}: {runs}"
            );
        }
    }
}

/// Guards against a second run of a request that is not idempotent.
#[test]
fn non_idempotent_once() {
    let now = Instant::now();
    assert_eq!(runs_of_last_call(3, 5, false, now), 1);
}

/// Guards against a call that tries the whole fleet while all targets refuse.
#[test]
fn refusals_stay_bounded() {
    let now = Instant::now();
    let mut budget = Budget::new(0, now);
    let mut attempts = Attempts::new(false, now + Duration::from_secs(1), 0);
    let mut count = 1;
    while attempts.should_retry(Failure::REFUSED, &mut budget, now) {
        count += 1;
    }
    assert_eq!(count, MAX_REFUSALS);
}

/// Guards against a request that crashes a third target within one call.
#[test]
fn aborted_twice() {
    let now = Instant::now();
    let mut budget = Budget::new(100, now);
    let mut attempts = Attempts::new(true, now + Duration::from_secs(1), 6);
    attempts.record_aborted();
    assert!(attempts.should_retry(Failure::UNKNOWN, &mut budget, now));
    attempts.record_aborted();
    assert!(!attempts.should_retry(Failure::UNKNOWN, &mut budget, now));
}

proptest! {
    /// Guards against a retry storm: second runs stay within the percentage of calls and the
    /// minimum rate.
    #[test]
    fn budget_holds(percent in 0_u32..=20, calls in 1_u32..2000, gap_us in 0_u64..5000) {
        let start = Instant::now();
        let mut budget = Budget::new(percent, start);
        let mut now = start;
        let mut retries = 0_u32;
        for _ in 0..calls {
            now += Duration::from_micros(gap_us);
            budget.deposit(0.0);
            if budget.withdraw(now) {
                retries += 1;
            }
        }
        let seconds = now.duration_since(start).as_secs_f64();
        let bound = f64::from(calls) * f64::from(percent) / 100.0 + 3.0 * seconds + 3.0 + 1e-6;
        prop_assert!(f64::from(retries) <= bound, "{retries} > {bound}");
    }

    /// Guards against daemons that each stay within their budget but exceed it together: in any
    /// window, also after an idle time, and with each daemon restarted once during it.
    #[test]
    fn slack_is_shared(
        daemons in 2_usize..20,
        slack in 40_u32..200,
        gap_ms in 1_u64..200,
        restart_at in 0_u64..10_000,
    ) {
        let start = Instant::now();
        let window = Duration::from_secs(10);
        let mut retries = 0_u32;
        for _ in 0..daemons {
            let new_budget = |now| {
                let mut budget = Budget::new(0, now);
                budget.set_slack(slack, window, daemons);
                budget
            };
            let mut budget = new_budget(start - window);
            let mut at = 0;
            while at < 10_000 {
                let now = start + Duration::from_millis(at);
                if at <= restart_at && restart_at < at + gap_ms {
                    budget = new_budget(now);
                }
                retries += u32::from(budget.withdraw(now));
                at += gap_ms;
            }
        }
        let bound = f64::from(slack);
        prop_assert!(f64::from(retries) <= bound, "{retries} > {bound}");
    }

    /// Guards against arrivals at targets that the retry budget does not count: whichever way the
    /// attempts of a call end, each arrival after the first takes a retry from the budget.
    #[test]
    fn arrivals_are_charged(
        ends in prop::collection::vec((0..4_u8, any::<bool>()), 1..12),
        allowance in 0_u8..4,
        idempotent: bool,
    ) {
        let now = Instant::now();
        let mut budget = Budget::new(100, now);
        budget.set_slack(200, Duration::from_secs(10), 1);
        for _ in 0..100 {
            budget.deposit(0.0);
        }
        let available = |budget: &Budget| {
            let mut budget = budget.clone();
            (0..).take_while(|_| budget.withdraw(now)).count()
        };
        let before = available(&budget);
        let mut attempts = Attempts::new(idempotent, now + Duration::from_secs(1), allowance);
        let mut arrivals = 0;
        for (end, is_hedged) in ends {
            if is_hedged && attempts.try_hedge(&mut budget, now) {
                attempts.record(Failure::REFUSED_BY_TARGET);
                arrivals += 1;
            }
            let failure = match end {
                0 => Failure::UNKNOWN,
                1 => Failure::REFUSED_BY_TARGET,
                _ => Failure::REFUSED,
            };
            arrivals += usize::from(failure.has_reached_target);
            if !attempts.should_retry(failure, &mut budget, now) {
                break;
            }
        }
        let charged = before - available(&budget);
        prop_assert!(arrivals <= charged + 1, "{arrivals} arrivals, {charged} charged");
    }

    /// Guards against "not run" for a request that an earlier attempt may have run: the target
    /// responded with 504 at the deadline, a second target refused, and the caller was told "not
    /// run".
    #[test]
    fn not_run_confirmed(outcomes in prop::collection::vec(any::<bool>(), 1..8), idempotent: bool) {
        let now = Instant::now();
        let mut budget = Budget::new(100, now);
        let mut attempts = Attempts::new(idempotent, now + Duration::from_secs(1), 3);
        let mut ran = false;
        for may_have_run in outcomes {
            ran |= may_have_run;
            let last = if may_have_run { Failure::UNKNOWN } else { Failure::REFUSED };
            let is_retried = attempts.should_retry(last, &mut budget, now);
            let reported = attempts.reported_outcome(last.outcome);
            prop_assert_eq!(reported == Outcome::NotRun, !ran);
            if !is_retried {
                break;
            }
        }
    }

    /// Guards against attempts after the deadline of the call.
    #[test]
    fn deadline_holds(after_ms in 0_u64..1000, idempotent: bool) {
        let start = Instant::now();
        let mut budget = Budget::new(100, start);
        let mut attempts = Attempts::new(idempotent, start, 3);
        let now = start + Duration::from_millis(after_ms);
        prop_assert!(!attempts.should_retry(Failure::REFUSED, &mut budget, now));
        prop_assert!(!attempts.should_retry(Failure::UNKNOWN, &mut budget, now));
    }
}

/// Guards against targets that receive more repeats than the budget allows because calls made by repeated
/// runs are repeats too: in a fleet whose callers' runs are repeated as often as their budget
/// allows, the targets that they call receive no more than theirs allows.
#[test]
fn calls_of_repeated_runs() {
    const REQUESTS: u32 = 5_000;
    let start = Instant::now();
    for repeated_permille in [0, 50, 100, 150, 200] {
        let mut budget = Budget::new(20, start);
        budget.set_slack(100, Duration::from_secs(10), 10);
        let mut repeats = 0;
        let mut calls = 0;
        let mut own = 0;
        for n in 0..REQUESTS {
            let now = start + Duration::from_millis(2 * u64::from(n));
            calls += 1;
            // One call in so many is made by a repeated run; which one is not known.
            let is_by_repeat = n * repeated_permille / 1000 != (n + 1) * repeated_permille / 1000;
            repeats += u32::from(is_by_repeat);
            budget.deposit(f64::from(repeated_permille) / 1000.0);
            own += u32::from(budget.withdraw(now));
        }
        repeats += own;
        let allowed = calls / 5 + 10;
        assert!(
            repeats <= allowed,
            "{repeated_permille} of 1,000 repeated: {repeats} repeats, {allowed} allowed"
        );
        assert!(
            repeated_permille > 150 || own > calls / 25,
            "{own} own repeats"
        );
    }
}
