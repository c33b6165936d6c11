//! The platform comes back from an older copy of its content: what was in force holds until
//! operators and targets have written again.

#[allow(dead_code)]
#[path = "support/sample.rs"]
mod sample;

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_membership::action::{Action, Pull, Source};
use basilbay_membership::event::Event;
use basilbay_membership::node::Node;
use basilbay_model::config::Config;
use basilbay_model::domain::State as DomainState;
use basilbay_model::roster::{Instance, Roster, State};
use basilbay_model::version::{Revision, compose};
use sample::{identity, instance};

/// A node that reads the platform, with the view that its actions put in force.
struct Reader {
    node: Node,
    now: Instant,
    pulls: u64,
    config: Option<Arc<Config>>,
    roster: Option<Arc<Roster>>,
    events: Vec<Event>,
}

impl Reader {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            node: Node::new(identity(instance(0, 0, 3)), 1, now),
            now,
            pulls: 0,
            config: None,
            roster: None,
            events: Vec::new(),
        }
    }

    fn pull(&mut self) -> Pull {
        self.pulls += 1;
        Pull {
            source: Source::Platform,
            id: self.pulls,
        }
    }

    fn read_config(&mut self, version: u64, serial: u64, south: &str) {
        let text = format!(
            "[basilbay]\nversion = {version}\nserial = {serial}\n[domain north]\n\
             [domain south]\nstate = {south}\n[service s0]\n[kind s0/all]\npath = /\n"
        );
        let pull = self.pull();
        self.node
            .receive_config_text(&Arc::from(text), &pull, self.now);
        self.take_actions();
    }

    fn read_roster(&mut self, version: u64, instances: &[Instance]) {
        let mut roster = Roster {
            version,
            as_of_ms: version,
            instances: instances.to_vec(),
        };
        roster.sort();
        let pull = self.pull();
        self.node.receive_roster(Arc::new(roster), &pull, self.now);
        self.take_actions();
    }

    /// Ticks the node for a while, as its daemon does.
    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 50 {
            self.now += Duration::from_millis(50);
            self.node.tick(self.now);
            self.take_actions();
        }
    }

    fn take_actions(&mut self) {
        for action in self.node.take_actions() {
            match action {
                Action::ApplyConfig(config) => self.config = Some(config),
                Action::ApplyRoster(roster) => self.roster = Some(roster),
                Action::Emit(event) => self.events.push(event),
                _ => {}
            }
        }
    }

    fn serial(&self) -> u64 {
        self.config.as_ref().expect("a configuration").serial
    }

    fn south(&self) -> DomainState {
        let config = self.config.as_ref().expect("a configuration");
        config.domain("south").expect("a domain").state
    }

    /// State of the instance of a node in force; `None` if it is not listed.
    fn state(&self, index: usize) -> Option<State> {
        let roster = self.roster.as_ref().expect("a roster");
        Some(roster.instance(&instance(index, 0, 3).id)?.state)
    }
}

fn before(revision: Revision) -> u64 {
    compose(1, revision)
}

fn after(revision: Revision) -> u64 {
    compose(2, revision)
}

/// An instance whose target is in a run.
fn running(index: usize, run: &str, state: State) -> Instance {
    Instance {
        target: Some(Arc::from(run)),
        state,
        ..instance(index, 0, 3)
    }
}

/// Guards against a copy that puts an older configuration in force again, and against a newer one
/// that is then refused.
#[test]
fn older_configuration() {
    let mut reader = Reader::new();
    reader.read_config(before(9), 11, "in");
    reader.read_config(after(7), 9, "in");
    reader.read_config(after(7), 9, "in");
    assert_eq!(reader.serial(), 11);
    let superseded = |event: &&Event| matches!(event, Event::ConfigSuperseded { .. });
    assert_eq!(reader.events.iter().filter(superseded).count(), 1);
    reader.read_config(after(8), 11, "in");
    reader.read_config(after(9), 14, "in");
    assert_eq!(reader.serial(), 14);
    // A second restoration, from a copy of the first era.
    reader.read_config(compose(3, 7), 9, "in");
    assert_eq!(reader.serial(), 14);
}

/// Guards against an operator whose own numbers cannot go back within an era.
#[test]
fn lower_serial_published() {
    let mut reader = Reader::new();
    reader.read_config(before(9), 11, "in");
    reader.read_config(before(10), 4, "in");
    assert_eq!(reader.serial(), 4);
}

/// Guards against new requests to a domain whose evacuation the copy does not have, and against a
/// domain that stays out once operators have had the time to write again.
#[test]
fn evacuation_kept() {
    let mut reader = Reader::new();
    reader.read_config(before(9), 11, "out");
    reader.read_config(after(7), 11, "in");
    assert_eq!(reader.south(), DomainState::Out);
    reader.run(1000);
    reader.read_config(after(8), 12, "in");
    assert_eq!((reader.serial(), reader.south()), (12, DomainState::Out));
    reader.run(1500);
    assert_eq!(reader.south(), DomainState::In);
}

/// Guards against new requests to targets that the copy lists as live though they are leaving or
/// have left, and against the loss of those that joined after it.
#[test]
fn targets_kept() {
    let mut reader = Reader::new();
    let live = |index| running(index, "a", State::Live);
    reader.read_roster(before(3), &[live(0), live(1), live(2), live(3)]);
    let leaving = running(1, "a", State::Leaving);
    // Since the copy, 1 is leaving, 2 has left and 4 has joined.
    reader.read_roster(before(6), &[live(0), leaving.clone(), live(3), live(4)]);
    reader.read_roster(after(3), &[live(0), live(1), live(2), live(3)]);
    let states = |reader: &Reader| [1, 2, 3, 4].map(|index| reader.state(index));
    let (up, down) = (Some(State::Live), Some(State::Leaving));
    assert_eq!(states(&reader), [down, None, up, up]);
    // Targets write their entries again.
    reader.run(500);
    let rewritten = [live(0), leaving, live(2), live(3), live(4)];
    reader.read_roster(after(5), &rewritten);
    assert_eq!(states(&reader), [down, None, up, up]);
    reader.run(7000);
    assert_eq!(
        states(&reader),
        [down, up, up, up],
        "its entry has not lapsed"
    );
}

/// Guards against a target that is missing long after the restoration and still gets requests, and
/// against a change of the new era that has no effect at first.
#[test]
fn missing_target_removed() {
    let mut reader = Reader::new();
    let live = |index| running(index, "a", State::Live);
    reader.read_roster(before(6), &[live(0), live(1), live(2)]);
    reader.read_roster(after(3), &[live(0), live(2)]);
    assert_eq!(reader.state(1), Some(State::Live));
    reader.read_roster(after(4), &[live(0), running(2, "a", State::Leaving)]);
    assert_eq!(reader.state(2), Some(State::Leaving));
    reader.read_roster(after(5), &[live(0)]);
    assert_eq!(reader.state(2), None);
    reader.run(2500);
    assert_eq!(reader.state(1), None);
}

/// Guards against a target that is left out after a restoration because its entry had lapsed once and
/// was written again.
#[test]
fn lapsed_target_kept() {
    let mut reader = Reader::new();
    let live = |index| running(index, "a", State::Live);
    reader.read_roster(before(3), &[live(0), live(1)]);
    reader.read_roster(before(4), &[live(0)]);
    reader.read_roster(before(5), &[live(0), live(1)]);
    reader.read_roster(after(3), &[live(0), live(1)]);
    reader.run(3000);
    assert_eq!(reader.state(1), Some(State::Live));
}

/// Guards against a target that was replaced since the copy and whose previous run gets requests.
#[test]
fn replaced_target_kept() {
    let mut reader = Reader::new();
    let run = |run| running(1, run, State::Live);
    reader.read_roster(before(3), &[run("old")]);
    reader.read_roster(before(6), &[run("new")]);
    reader.read_roster(after(3), &[run("old")]);
    let roster = reader.roster.as_ref().expect("a roster");
    assert_eq!(roster.instances[0].target.as_deref(), Some("new"));
}
