//! Graceful shutdown: running requests finish before the daemon stops, up to the drain timeout.
//!
//! On SIGTERM or SIGINT the daemon reports not ready, closes its target to new work after the drain
//! delay, announces that it leaves, and keeps its ports open for the linger time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};

use basilbay_events::catalogue;
use basilbay_events::emit;

use crate::control;
use crate::daemon::Daemon;

/// Time between two checks whether requests still run.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM or SIGINT and then shuts the daemon down.
pub async fn on_signal(daemon: Arc<Daemon>) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shut_down(&daemon).await;
}

/// Closes the target after the drain delay, announces that the instance leaves, waits for running
/// requests and closes the ports.
pub async fn shut_down(daemon: &Arc<Daemon>) {
    let stopping_at = Instant::now();
    let deadline = stopping_at + daemon.settings.drain_timeout;
    daemon.begin_drain(deadline);
    let has_delay = !daemon.settings.drain_delay.is_zero();
    if !has_delay {
        // Whoever reads the log may stop the target next, so it is closed first.
        daemon.leave();
    }
    emit!(catalogue::STOPPING, instance = %daemon.settings.id);
    if has_delay {
        tokio::time::sleep(daemon.settings.drain_delay).await;
        daemon.leave();
    }
    daemon.control.node().announce_leaving(Instant::now());
    control::apply_actions(daemon);
    daemon.publish_load();
    // Requests that were sent before the announcement arrived are refused, and retried elsewhere,
    // instead of failing on a closed port.
    tokio::time::sleep_until((stopping_at + daemon.settings.linger).into()).await;
    daemon.end_linger();
    // The target may call other services until its requests end, so the ports stay open.
    while !daemon.admission.is_idle() && Instant::now() < deadline {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    daemon.stop.cancel();
}
