//! Settings that change while the daemon runs, with and without a signal.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use rustix::process::Signal;

use call::Call;
use fleet::{Fleet, Plan};

/// Time in which a change must be noticed on a busy machine; the daemon looks once a second.
const PATIENCE: Duration = Duration::from_secs(10);

const ID: &str = "desk-1";

async fn fleet() -> Fleet {
    Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await
}

fn rewrite(fleet: &Fleet, change: impl Fn(&str) -> String) {
    let path = fleet.folder.join(format!("{ID}.ini"));
    let text = std::fs::read_to_string(&path).expect("settings");
    std::fs::write(&path, change(&text)).expect("settings");
}

async fn until_logged(fleet: &Fleet, name: &str, count: usize) {
    let give_up = Instant::now() + PATIENCE;
    let name = format!("\"name\":\"{name}\"");
    while fleet.log(ID).matches(&name).count() < count {
        let log = fleet.log(ID);
        assert!(Instant::now() < give_up, "{name} not {count} times:\n{log}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn serves(fleet: &Fleet) {
    let reply = Call::read().reply(fleet.entry("shop-1")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Guards against a file that changes without a signal and is read only at the next restart.
#[tokio::test(flavor = "multi_thread")]
async fn changed_unseen() {
    let fleet = fleet().await;
    rewrite(&fleet, |text| {
        format!("{text}\n[run]\nserves_alone = yes\n")
    });
    until_logged(&fleet, "reloaded", 1).await;
    serves(&fleet).await;
}

/// Guards against a signal that nobody heeds.
#[tokio::test(flavor = "multi_thread")]
async fn hangup() {
    let fleet = fleet().await;
    for count in 1..=2 {
        fleet.signal(ID, Signal::HUP);
        until_logged(&fleet, "reloaded", count).await;
        serves(&fleet).await;
    }
}

/// Guards against a file with findings that stops the daemon or is put in force in part.
#[tokio::test(flavor = "multi_thread")]
async fn with_findings() {
    let fleet = fleet().await;
    rewrite(&fleet, |text| format!("{text}\n[run]\nthreads = many\n"));
    until_logged(&fleet, "reload-refused", 1).await;
    serves(&fleet).await;
    rewrite(&fleet, |text| text.replace("threads = many", "threads = 1"));
    until_logged(&fleet, "reloaded", 1).await;
    serves(&fleet).await;
}
