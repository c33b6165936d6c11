//! A daemon that restarts does not know what its target still runs.

#[path = "support/request.rs"]
mod request;
#[path = "support/world.rs"]
mod world;

use std::time::Instant;

use basilbay_admission::gate::{Gate, Start};
use basilbay_model::service::Contract;
use basilbay_wire::load::State;
use request::contract;
use world::{Kind, World};

const KINDS: [Kind; 1] = [(1, 1.0, 500)];

/// Guards against a restarted gate that begins at full or cold size.
#[test]
fn begins_low() {
    let contract = contract(18, 18, 2, 0);
    let now = Instant::now();
    let gate = Gate::new(&contract, Start::Restart, now);
    assert_eq!(gate.limit(), 1);
    assert_eq!(gate.state(), State::Cold);
    let fresh = Gate::new(&contract, Start::Fresh, now);
    assert_eq!(fresh.limit(), 18);
}

/// Guards against overload while earlier work still holds all slots but two.
#[test]
fn earlier_work() {
    let mut world = World::new(&Contract::default(), Start::Restart);
    world.bears = 2;
    world.run(200, 3600.0, &KINDS);
    assert_eq!(world.overloads, 0);
    world.bears = 18;
    world.run(2000, 3600.0, &KINDS);
    assert_eq!(world.overloads, 0);
    assert_eq!(world.gate.limit(), 18);
}
