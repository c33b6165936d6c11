//! Golden files of the messages that daemons send to one another and of the events that they log.
//!
//! Each file has one section per daemon. The startup is left out, and so are events that depend on
//! the timing of a busy machine: pauses, failed pulls, and sources that offered an older version.

#[path = "fleet_common/fleet.rs"]
mod fleet;
#[path = "fleet_common/recorder.rs"]
mod recorder;

use std::fmt::Write as _;
use std::time::Duration;

use basilbay_fakes::targets::fault;
use basilbay_wire::load::State;
use fleet::load::Load;
use fleet::plan::{self, Change, Plan};
use fleet::{Fleet, daemon::Event};
use recorder::{Message, Recorder};
use rustix::process::Signal;

/// Numbers of events that depend on the timing of a busy machine or concern single requests.
const EXCLUDED_EVENTS: [u64; 12] = [103, 104, 203, 205, 207, 400, 401, 402, 403, 404, 405, 601];

/// Version of the first roster with instances; the roster of version 1 is empty.
const ROSTER_VERSION: u64 = 2;

const IDS: [&str; 3] = ["fit-1", "fit-2", "fit-3"];

/// A fleet with a recorder of its messages.
struct Session {
    fleet: Fleet,
    recorder: Recorder,
    /// Number of events that each daemon logged during its startup.
    startup_events: Vec<usize>,
}

impl Session {
    async fn start(plan: Plan) -> Self {
        let recorder = Recorder::start().await;
        let mut fleet = Fleet::prepare(Plan {
            domains: 3,
            services: vec!["fit"],
            extra_list_entries: vec![recorder.list_entry()],
            ..plan
        })
        .await;
        fleet.set_partitioned(true);
        for index in fleet.all() {
            fleet.spawn(index);
        }
        fleet.wait_until_serving(1).await;
        recorder
            .wait_until(&IDS, Message::Heartbeat(1, ROSTER_VERSION, State::Cold))
            .await;
        recorder.clear();
        recorder
            .wait_until(&IDS, Message::Heartbeat(1, ROSTER_VERSION, State::Cold))
            .await;
        let indices = fleet.all().into_iter();
        let startup_events = indices.map(|index| events(&fleet, index).len()).collect();
        Self {
            fleet,
            recorder,
            startup_events,
        }
    }

    /// Renders the messages and events of all daemons, one section per daemon.
    fn text(&self) -> String {
        let mut text = String::new();
        for index in self.fleet.all() {
            let id = &self.fleet.instances[index].id;
            let _ = writeln!(text, "{id} said");
            for message in self.recorder.messages(id) {
                let _ = writeln!(text, "  {}", format_message(message));
            }
            let _ = writeln!(text, "{id} logged");
            let events = events(&self.fleet, index);
            let mut lines: Vec<String> = events[self.startup_events[index]..]
                .iter()
                .map(format_event)
                .collect();
            // There is one event for each request in flight, and their number varies.
            lines.dedup();
            for line in lines {
                let _ = writeln!(text, "  {line}");
            }
        }
        text
    }
}

fn events(fleet: &Fleet, index: usize) -> Vec<Event> {
    let events = fleet.daemon(index).events().into_iter();
    events
        .filter(|event| !EXCLUDED_EVENTS.contains(&event.number))
        .collect()
}

fn format_message(message: Message) -> String {
    match message {
        Message::Heartbeat(config, roster, state) => {
            format!("config {config}, roster {roster}, {state:?}").to_lowercase()
        }
        Message::Leaving => "leaving".to_owned(),
    }
}

fn format_event(event: &Event) -> String {
    match event.number {
        200 | 204 => format!("{} {} {}", event.number, event.name, event.version()),
        _ => format!("{} {}", event.number, event.name),
    }
}

/// Guards against unintended changes of messages and events when a failure domain goes out and
/// returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_move() {
    let session = Session::start(Plan::default()).await;
    session.fleet.publish(2, &plan::domain_out("d-1"));
    session
        .recorder
        .wait_until(
            &IDS[1..],
            Message::Heartbeat(2, ROSTER_VERSION, State::Cold),
        )
        .await;
    session
        .recorder
        .wait_until(&IDS[..1], Message::Heartbeat(2, ROSTER_VERSION, State::Out))
        .await;
    session.fleet.publish(3, &Change::default());
    session
        .recorder
        .wait_until(&IDS, Message::Heartbeat(3, ROSTER_VERSION, State::Cold))
        .await;
    insta::assert_snapshot!(session.text());
}

/// Guards against unintended changes of messages and events when a target leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_target() {
    let mut session = Session::start(Plan::default()).await;
    session.fleet.daemon(0).signal(Signal::TERM);
    for index in [1, 2] {
        session.fleet.daemon(index).wait_for_event(602, 1).await;
    }
    let message = Message::Heartbeat(1, ROSTER_VERSION, State::Leaving);
    session.recorder.wait_until(&IDS[..1], message).await;
    let daemon = session.fleet.daemons[0].as_mut().expect("the daemon runs");
    assert!(daemon.wait_for_exit().await);
    insta::assert_snapshot!(session.text());
}

/// Guards against unintended changes of messages and events when a partition ends whose two regions
/// have different versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn version_race() {
    let session = Session::start(Plan {
        regions: 2,
        region_of: |index| usize::from(index > 0),
        ..Plan::default()
    })
    .await;
    session.fleet.publish_in_region(0, 2, &Change::default());
    session.fleet.publish_in_region(1, 3, &Change::default());
    session
        .recorder
        .wait_until(
            &IDS[..1],
            Message::Heartbeat(2, ROSTER_VERSION, State::Cold),
        )
        .await;
    session
        .recorder
        .wait_until(
            &IDS[1..],
            Message::Heartbeat(3, ROSTER_VERSION, State::Cold),
        )
        .await;
    session.fleet.set_partitioned(false);
    session
        .recorder
        .wait_until(&IDS, Message::Heartbeat(3, ROSTER_VERSION, State::Cold))
        .await;
    insta::assert_snapshot!(session.text());
}

/// Guards against unintended changes of messages and events when a target crashes and returns cold.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cold_return() {
    let session = Session::start(Plan {
        service_time_us: 20_000,
        ..Plan::default()
    })
    .await;
    let entries = session.fleet.entries(&session.fleet.all());
    let load = Load::start(entries, vec!["fit"], Duration::from_millis(5));
    session
        .recorder
        .wait_until(&IDS, Message::Heartbeat(1, ROSTER_VERSION, State::Warm))
        .await;
    let is_busy = |status: &fault::Status| &*status.id == "fit-1" && status.in_flight > 1;
    while !session.fleet.targets.status().iter().any(is_busy) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let crash = fault::Change {
        crash: Some(fault::Crash {
            refuse_ms: Some(2_000),
        }),
        ..fault::Change::default()
    };
    assert!(session.fleet.targets.change("fit-1", &crash));
    session
        .recorder
        .wait_until(
            &IDS[..1],
            Message::Heartbeat(1, ROSTER_VERSION, State::Down),
        )
        .await;
    load.stop().await;
    session.fleet.daemon(0).wait_for_event(303, 1).await;
    session
        .recorder
        .wait_until(
            &IDS[..1],
            Message::Heartbeat(1, ROSTER_VERSION, State::Cold),
        )
        .await;
    insta::assert_snapshot!(session.text());
}
