//! Reload of settings while the daemon runs, with and without a signal.

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

/// Time within which a change must be detected on a busy machine; the daemon checks the file once a
/// second.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

const ID: &str = "desk-1";

async fn start_fleet() -> Fleet {
    Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await
}

fn rewrite(fleet: &Fleet, change: impl Fn(&str) -> String) {
    let path = fleet.folder.join(format!("{ID}.ini"));
    let text = std::fs::read_to_string(&path).expect("settings can be read");
    std::fs::write(&path, change(&text)).expect("settings can be written");
}

async fn wait_until_logged(fleet: &Fleet, name: &str, count: usize) {
    let deadline = Instant::now() + RELOAD_TIMEOUT;
    let name = format!("\"name\":\"{name}\"");
    while fleet.log(ID).matches(&name).count() < count {
        let log = fleet.log(ID);
        assert!(
            Instant::now() < deadline,
            "{name} not logged {count} times within {RELOAD_TIMEOUT:?}:\n{log}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn assert_serves(fleet: &Fleet) {
    let reply = Call::read().reply(fleet.entry("shop-1")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Guards against a file change without a signal that takes effect only at the next restart.
#[tokio::test(flavor = "multi_thread")]
async fn file_change_detected() {
    let fleet = start_fleet().await;
    rewrite(&fleet, |text| {
        format!("{text}\n[run]\nserves_alone = yes\n")
    });
    wait_until_logged(&fleet, "reloaded", 1).await;
    assert_serves(&fleet).await;
}

/// Guards against a daemon that exits on SIGHUP, which is the default action of the signal, that
/// ignores it, or that reloads only on the first one.
#[tokio::test(flavor = "multi_thread")]
async fn hangup_signal() {
    let fleet = start_fleet().await;
    for count in 1..=2 {
        fleet.signal(ID, Signal::HUP);
        wait_until_logged(&fleet, "reloaded", count).await;
        assert_serves(&fleet).await;
    }
}

/// Guards against a file with findings that stops the daemon, is applied in part, or blocks the
/// reload of the corrected file.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings() {
    let fleet = start_fleet().await;
    rewrite(&fleet, |text| format!("{text}\n[run]\nthreads = many\n"));
    wait_until_logged(&fleet, "reload-refused", 1).await;
    assert_serves(&fleet).await;
    rewrite(&fleet, |text| text.replace("threads = many", "threads = 1"));
    wait_until_logged(&fleet, "reloaded", 1).await;
    assert_serves(&fleet).await;
}
