//! Outages of the configuration service alone, and of the entire platform.

#[path = "fleet_common/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::load::{self, Load};
use fleet::plan::Plan;
use fleet::{Fleet, WAIT_TIMEOUT};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Longer than the lease of a roster and than the time after which a daemon counts as isolated.
const OUTAGE_TIME: Duration = Duration::from_millis(4_500);

/// Starts all daemons but the last one, takes platform services down, starts the last daemon, and
/// asserts that callers get their responses and that the last daemon got its configuration from a
/// peer. Up to one percent of the requests may be refused as not run.
async fn assert_serves(list_is_down: bool) {
    let mut fleet = Fleet::prepare(Plan::default()).await;
    let last = fleet.instances.len() - 1;
    for index in 0..last {
        fleet.spawn(index);
    }
    fleet.wait_until_serving(1).await;
    fleet.set_down(0, true, list_is_down);
    let load = Load::start(
        fleet.entries(&fleet.running()),
        vec!["fit", "pay"],
        REQUEST_INTERVAL,
    );
    fleet.spawn(last);
    let started = fleet
        .wait_until(&[last], WAIT_TIMEOUT, |status| {
            status.config_version == 1 && matches!(status.state.as_ref(), "cold" | "warm")
        })
        .await;
    let late = Load::start(
        fleet.entries(&[last]),
        vec!["fit", "pay"],
        4 * REQUEST_INTERVAL,
    );
    tokio::time::sleep(OUTAGE_TIME).await;
    let records = load.stop().await;
    let late = late.stop().await;

    let runs = fleet.finished_runs().await;
    let tally = load::verify(&records, &runs);
    let late = load::verify(&late, &runs);
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

/// Guards against a fleet that stops serving while the configuration service is down, and against a
/// new daemon that cannot start because it does not pull the configuration from a peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn config_down() {
    assert_serves(false).await;
}

/// Guards against a fleet that stops serving, or a new daemon that cannot start, while the
/// configuration service and the instance list are down for longer than the lease of a roster.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn platform_down() {
    assert_serves(true).await;
}
