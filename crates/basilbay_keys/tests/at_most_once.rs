//! No key runs twice, and no key that ran is reported as not run, in any interleaving of roster
//! changes, restarts and sends.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::Simulation;

#[path = "support/roster.rs"]
mod roster;
#[path = "support/simulation.rs"]
mod simulation;

/// Time for which the roster must be stable until every opaque key has an owner: the retention
/// period and two ownership graces, plus the interval between two observations.
const SETTLING_MS: u64 = 28_500;

fn config(cases: u32) -> ProptestConfig {
    let requested = std::env::var("PROPTEST_CASES").ok();
    let cases = requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(1500))]

    /// Guards against a second run and a false "not run" from start-up on.
    #[test]
    fn new_fleet(
        offsets in prop::collection::vec(-500..=500i64, 1..4),
        steps in prop::collection::vec(simulation::step(), 1..120),
    ) {
        let mut simulation = Simulation::new(&offsets);
        for step in &steps {
            simulation.apply(step)?;
        }
    }

    /// Guards against the same failures once daemons have run for long enough to own opaque keys.
    #[test]
    fn settled_fleet(
        offsets in prop::collection::vec(-500..=500i64, 2..5),
        steps in prop::collection::vec(simulation::step(), 1..120),
    ) {
        let mut simulation = Simulation::new(&offsets);
        simulation.settle(SETTLING_MS);
        for step in &steps {
            simulation.apply(step)?;
        }
    }
}

proptest! {
    #![proptest_config(config(100))]

    /// Guards against rules that are safe only because they refuse every key: with a stable roster,
    /// each key runs exactly once.
    #[test]
    fn stable_fleet(
        offsets in prop::collection::vec(-500..=500i64, 1..6),
        skews in prop::collection::vec((any::<bool>(), -500..=500i64), 1..20),
    ) {
        let mut simulation = Simulation::new(&offsets);
        simulation.settle(SETTLING_MS + 500);
        for (opaque, skew) in skews {
            prop_assert_eq!(simulation.first_send(opaque, skew), 1);
        }
    }
}
