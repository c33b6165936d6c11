//! The adaptive limit falls if concurrency slows the target, and stays if the cause is another.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::{Duration, Instant};

use basilbay_admission::gate::Startup;
use basilbay_admission::limit::{Limit, Sample};
use basilbay_admission::profile::Profile;
use basilbay_model::service::Contract;
use fixture::config;
use proptest::prelude::*;
use simulation::{Kind, Simulation};

const KINDS: [Kind; 1] = [(1, 1.0, 500)];
/// Requests per second that 18 slots with a service time of 10 ms can serve.
const CAPACITY: f64 = 1800.0;

fn warm_simulation() -> Simulation {
    let mut simulation = Simulation::new(&Contract::default(), Startup::Fresh);
    simulation.run(3000, 0.4 * CAPACITY, &KINDS);
    assert_eq!(simulation.gate.limit(), 18);
    simulation
}

/// Guards against a limit that stays high while the target sheds, or low after the target recovers.
#[test]
fn shedding_target() {
    let mut simulation = warm_simulation();
    simulation.capacity = 6;
    simulation.run(100, 2.0 * CAPACITY, &KINDS);
    assert!(
        simulation.gate.limit() <= 8,
        "limit {}",
        simulation.gate.limit()
    );
    simulation.run(2000, 2.0 * CAPACITY, &KINDS);
    // 6 slots serve 600 requests per second.
    let served = simulation.latencies.len() as u32;
    println!("{served} of 1200 served, {} shed", simulation.excess);
    assert!(served >= 1080, "{served} served");
    assert!(simulation.excess < served / 10, "{}", simulation.excess);
    simulation.capacity = 18;
    simulation.run(2000, 2.0 * CAPACITY, &KINDS);
    assert_eq!(simulation.gate.limit(), 18);
}

/// Guards against a limit at which requests on a target with few cores slow each other down.
#[test]
fn shared_cores() {
    let mut simulation = Simulation::new(&Contract::default(), Startup::Fresh);
    simulation.cores = 4;
    simulation.run(3000, 0.1 * CAPACITY, &KINDS);
    simulation.run(4000, 2.0 * CAPACITY, &KINDS);
    assert!(
        simulation.gate.limit() <= 13,
        "limit {}",
        simulation.gate.limit()
    );
    // 4 cores serve 400 requests per second.
    let served = simulation.latencies.len();
    println!("{served} of 1600 served");
    assert!(served >= 1440, "{served} served");
}

/// Guards against short bursts of noise that halve the throughput.
#[test]
fn noisy_bursts() {
    let mut simulation = warm_simulation();
    let mut served = 0usize;
    for _ in 0..10 {
        simulation.service_us = 30_000.0;
        simulation.run(60, 1.2 * CAPACITY, &KINDS);
        assert!(
            simulation.gate.limit() > 9,
            "limit {}",
            simulation.gate.limit()
        );
        served += simulation.latencies.len();
        simulation.service_us = 10_000.0;
        simulation.run(500, 1.2 * CAPACITY, &KINDS);
        served += simulation.latencies.len();
    }
    let ideal = 10.0 * (0.06 * CAPACITY / 3.0 + 0.5 * CAPACITY);
    let share = served as f64 / ideal;
    println!("share of the throughput {share:.3}");
    assert!(share >= 0.9, "{share:.3} served");
}

/// Guards against a limit that falls for slowness that concurrency does not cause.
#[test]
fn persistent_slowness() {
    let mut simulation = warm_simulation();
    simulation.service_us = 30_000.0;
    simulation.run(20_000, 1.2 * CAPACITY, &KINDS);
    let ideal = 20.0 * CAPACITY / 3.0;
    let share = simulation.latencies.len() as f64 / ideal;
    println!("share of the throughput {share:.3}");
    assert!(share >= 0.9, "{share:.3} served");
}

proptest! {
    #![proptest_config(config(256))]

    /// Guards against a limit of 0 or above the slots of the contract, for arbitrary samples.
    #[test]
    fn limit_stays_bounded(samples in prop::collection::vec((0u64..50, any::<bool>(), 1u32..30), 1..400)) {
        let mut limit = Limit::new(30);
        let mut profile = Profile::default();
        for (index, (millis, failed, slots)) in (0..).zip(samples) {
            let allowed = limit.allowed();
            let sample = Sample {
                index,
                next_index: index + 1,
                started_at: Instant::now(),
                service_time: Duration::from_millis(millis),
                concurrency: allowed,
                allowed,
                is_warm: true,
            };
            if failed {
                limit.record_failure(sample, &mut profile);
            } else {
                limit.record_success(sample, &mut profile);
            }
            prop_assert!((1..=30).contains(&limit.allowed()));
            if index % 50 == 49 {
                limit.set_slots(slots);
                prop_assert!(limit.allowed() <= slots);
                limit.set_slots(30);
            }
        }
    }
}
