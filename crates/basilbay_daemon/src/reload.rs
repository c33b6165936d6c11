//! Reloads the settings while the daemon runs.
//!
//! The settings file is read again on SIGHUP, and when its modification time or length changes. A
//! file with findings changes nothing. Most settings are tied to sockets or to the target and take
//! effect only after a restart; the log names those that differ.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use basilbay_events::catalogue;
use basilbay_events::emit;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::MissedTickBehavior;

use crate::daemon::Daemon;
use crate::settings::Settings;

/// Result of reading the settings again.
pub type Result<T> = anyhow::Result<T>;

/// Time between two checks of the file's metadata; a check does not read the content.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Modification time and length of a file, by which a change is detected; `None` if they cannot be
/// read.
type Stat = Option<(SystemTime, u64)>;

/// Reloads the settings on SIGHUP and when the file changes, until the daemon stops.
pub async fn watch(daemon: Arc<Daemon>, path: PathBuf, read: impl Fn() -> Result<Settings>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::warn!(%error, "cannot install the SIGHUP handler; settings are not reloaded");
            return;
        }
    };
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = stat(&path);
    loop {
        let is_signalled = tokio::select! {
            received = hangup.recv() => received.is_some(),
            _ = checks.tick() => false,
        };
        let current = stat(&path);
        if !is_signalled && current == last {
            continue;
        }
        last = current;
        match read() {
            Ok(settings) => apply(&daemon, &settings),
            Err(error) => {
                emit!(catalogue::RELOAD_REFUSED, error = format!("{error:#}"));
            }
        }
    }
}

/// Returns the modification time and length of a file. Errors are ignored, because reading the file
/// then fails and reports the reason.
fn stat(path: &Path) -> Stat {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

fn apply(daemon: &Daemon, settings: &Settings) {
    {
        let mut node = daemon.control.node();
        node.set_serves_alone(settings.serves_alone);
        node.set_reader_count(settings.readers);
    }
    let needs_restart = daemon.settings.differences(settings);
    emit!(catalogue::RELOADED, needs_restart = needs_restart.join(" "));
}
