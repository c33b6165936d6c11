//! Settings that change while the daemon runs.
//!
//! A hangup signal makes the daemon read its file again. A file with findings changes nothing. Most
//! settings are bound to sockets or to what the daemon stands beside, and take a restart; the log
//! names those that differ.

use std::sync::Arc;

use basilbay_events::catalogue;
use basilbay_events::emit;
use tokio::signal::unix::{SignalKind, signal};

use crate::daemon::Daemon;
use crate::settings::Settings;

/// Result of reading the settings again.
pub type Result<T> = anyhow::Result<T>;

/// Reads the settings again at each hangup signal, for as long as the daemon runs.
pub async fn on_hangup(daemon: Arc<Daemon>, read: impl Fn() -> Result<Settings>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::warn!(%error, "hangup signals cannot be received");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match read() {
            Ok(settings) => apply(&daemon, &settings),
            Err(error) => {
                emit!(catalogue::RELOAD_REFUSED, error = format!("{error:#}"));
            }
        }
    }
}

fn apply(daemon: &Daemon, settings: &Settings) {
    {
        let mut node = daemon.control.node();
        node.set_serves_alone(settings.serves_alone);
        node.set_readers(settings.readers);
    }
    let needs_restart = daemon.settings.differences(settings);
    emit!(catalogue::RELOADED, needs_restart = needs_restart.join(" "));
}
