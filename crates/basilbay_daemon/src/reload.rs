//! Settings that change while the daemon runs.
//!
//! A hangup signal makes the daemon read its file again, and so does a file that changed without
//! one. A file with findings changes nothing. Most settings are bound to sockets or to what the
//! daemon stands beside, and take a restart; the log names those that differ.

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

/// Time between two looks at the file; one look reads no content.
const LOOK: Duration = Duration::from_secs(1);

/// What tells one content of a file from another: its time of change and its length.
type Stamp = Option<(SystemTime, u64)>;

/// Reads the settings again at each hangup signal and when the file changes, for as long as the
/// daemon runs.
pub async fn watch(daemon: Arc<Daemon>, path: PathBuf, read: impl Fn() -> Result<Settings>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::warn!(%error, "hangup signals cannot be received");
            return;
        }
    };
    let mut looks = tokio::time::interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known = stamp(&path);
    loop {
        let is_asked = tokio::select! {
            received = hangup.recv() => received.is_some(),
            _ = looks.tick() => false,
        };
        let found = stamp(&path);
        if !is_asked && found == known {
            continue;
        }
        known = found;
        match read() {
            Ok(settings) => apply(&daemon, &settings),
            Err(error) => {
                emit!(catalogue::RELOAD_REFUSED, error = format!("{error:#}"));
            }
        }
    }
}

/// A file that cannot be looked at has no stamp; reading it tells why.
fn stamp(path: &Path) -> Stamp {
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
