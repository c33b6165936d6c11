//! The configuration service and the instance list are down.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::load::{self, Load};
use fleet::plan::Plan;
use fleet::{Fleet, PATIENCE};

/// Time between two requests.
const GAP: Duration = Duration::from_millis(5);

/// Longer than the lease of a view and than the time after which a daemon counts itself isolated.
const LONG: Duration = Duration::from_millis(4_500);

/// Starts all daemons but the last one, takes services down, starts the last one, and asserts that
/// all callers are answered.
async fn serve_on(list_is_down: bool) {
    let mut fleet = Fleet::prepare(Plan::default()).await;
    let last = fleet.seats.len() - 1;
    for index in 0..last {
        fleet.spawn(index);
    }
    fleet.until_serving(1).await;
    fleet.set_down(0, true, list_is_down);
    let load = Load::start(fleet.entries(&fleet.running()), vec!["fit", "pay"], GAP);
    fleet.spawn(last);
    let started = fleet
        .until(&[last], PATIENCE, |status| {
            status.config_version == 1 && matches!(status.state.as_ref(), "cold" | "warm")
        })
        .await;
    let late = Load::start(fleet.entries(&[last]), vec!["fit", "pay"], 4 * GAP);
    tokio::time::sleep(LONG).await;
    let records = load.stop().await;
    let late = late.stop().await;

    let runs = fleet.account().await;
    let tally = load::check(&records, &runs);
    let late = load::check(&late, &runs);
    println!("list down: {list_is_down}; new daemon serves after {started:?}; {tally:?}");
    assert_eq!(tally.sent, tally.answered + tally.not_run, "{tally:?}");
    assert!(tally.not_run * 100 <= tally.sent, "{tally:?}");
    assert_eq!(late.sent, late.answered, "{late:?}");
    let daemon = fleet.daemon(last);
    let accepted: Vec<_> = daemon
        .events()
        .into_iter()
        .filter(|event| event.number == 200)
        .collect();
    assert_eq!(accepted.len(), 1, "{accepted:?}");
    assert!(accepted[0].detail.contains("Peer"), "{accepted:?}");
}

/// Guards against a fleet that stops, or daemons that cannot start, without the configuration
/// service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn config_down() {
    serve_on(false).await;
}

/// Guards against a fleet that stops, or daemons that cannot start, without the whole platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn both_down() {
    serve_on(true).await;
}
