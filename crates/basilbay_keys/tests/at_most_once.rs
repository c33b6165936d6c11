//! No key runs twice, and none that ran is reported as not run, whatever the interleaving.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::Simulation;

#[path = "support/roster.rs"]
mod roster;
#[path = "support/simulation.rs"]
mod simulation;

/// Longest that a roster has to be stable before every opaque key finds its home: the retention
/// and two graces.
const STABLE: u64 = 28_500;

fn config(cases: u32) -> ProptestConfig {
    let asked = std::env::var("PROPTEST_CASES").ok();
    let cases = asked.and_then(|text| text.parse().ok()).unwrap_or(cases);
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
    fn young_fleet(
        offsets in prop::collection::vec(-500..=500i64, 1..4),
        steps in prop::collection::vec(simulation::step(), 1..120),
    ) {
        let mut simulation = Simulation::new(&offsets);
        for step in &steps {
            simulation.act(step)?;
        }
    }

    /// Guards against the same in a fleet whose daemons own opaque keys.
    #[test]
    fn settled_fleet(
        offsets in prop::collection::vec(-500..=500i64, 2..5),
        steps in prop::collection::vec(simulation::step(), 1..120),
    ) {
        let mut simulation = Simulation::new(&offsets);
        simulation.settle(STABLE);
        for step in &steps {
            simulation.act(step)?;
        }
    }
}

proptest! {
    #![proptest_config(config(100))]

    /// Guards against safety that is bought by refusing everything.
    #[test]
    fn stable_fleet(
        offsets in prop::collection::vec(-500..=500i64, 1..6),
        skews in prop::collection::vec((any::<bool>(), -500..=500i64), 1..20),
    ) {
        let mut simulation = Simulation::new(&offsets);
        simulation.settle(STABLE + 500);
        for (opaque, skew) in skews {
            prop_assert_eq!(simulation.first_send(opaque, skew), 1);
        }
    }
}
