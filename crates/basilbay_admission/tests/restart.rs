//! After a restart, the daemon does not know which requests its target still runs.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Completion, Decision, Gate, Startup};
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use basilbay_wire::notice::Notice;
use fixture::{contract, request};
use simulation::{Kind, Simulation};

const KINDS: [Kind; 1] = [(1, 1.0, 500)];

/// Guards against a gate that starts with the full or the cold limit after a daemon restart.
#[test]
fn limit_starts_low() {
    let contract = contract(18, 18, 2, 0);
    let now = Instant::now();
    let gate = Gate::new(&contract, Startup::Restart, now);
    assert_eq!(gate.limit(), 1);
    assert_eq!(gate.state(), State::Cold);
    let fresh = Gate::new(&contract, Startup::Fresh, now);
    assert_eq!(fresh.limit(), 18);
}

/// Guards against overload while requests of the predecessor hold all slots but two.
#[test]
fn predecessor_requests() {
    let mut simulation = Simulation::new(&Contract::default(), Startup::Restart);
    simulation.capacity = 2;
    simulation.run(200, 3600.0, &KINDS);
    assert_eq!(simulation.excess, 0);
    simulation.capacity = 18;
    simulation.run(2000, 3600.0, &KINDS);
    assert_eq!(simulation.excess, 0);
    assert_eq!(simulation.gate.limit(), 18);
}

/// Number of responses until a restarted gate counts its target as warm, with one request at a
/// time.
fn responses_until_warm(service_time: Duration, siblings: Option<Duration>) -> u32 {
    let mut now = Instant::now();
    let mut gate = Gate::new(&contract(18, 18, 2, 200), Startup::Restart, now);
    gate.observe_notice(&Notice::default(), now, now);
    gate.set_sibling_latency(siblings);
    let mut responses = 0;
    while gate.state() == State::Cold {
        let request = request(u64::from(responses), 1, 60_000, now);
        assert_eq!(gate.offer(request, now), Decision::Run);
        now += service_time;
        gate.complete(request.id, Completion::Answered, now);
        responses += 1;
    }
    responses
}

/// Guards against a warm target that gets few requests for many seconds after its daemon is
/// replaced.
#[test]
fn fast_as_siblings() {
    let sibling_latency = Duration::from_millis(50);
    assert_eq!(responses_until_warm(sibling_latency, None), 200);
    // Four responses pass until the predecessor's requests have ended; each later one counts for
    // eight.
    assert_eq!(
        responses_until_warm(sibling_latency, Some(sibling_latency)),
        29
    );
}

/// Guards against a cold target that counts as warm because its daemon found it running.
#[test]
fn slower_than_siblings() {
    let sibling_latency = Duration::from_millis(50);
    assert_eq!(
        responses_until_warm(sibling_latency * 2, Some(sibling_latency)),
        200
    );
}
