//! The graceful stop: no request in flight is cut off.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};

use basilbay_events::catalogue;
use basilbay_events::emit;

use crate::control;
use crate::daemon::Daemon;

/// Time between two looks at the running requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for a signal to stop and then stops in order.
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

/// Says that the target leaves, lets running requests finish and stops the ports.
pub async fn shut_down(daemon: &Arc<Daemon>) {
    emit!(catalogue::STOPPING, instance = %daemon.settings.id);
    let asked_at = Instant::now();
    let patience = asked_at + daemon.settings.drain_timeout;
    daemon.begin_drain(patience);
    tokio::time::sleep(daemon.settings.drain_delay).await;
    daemon.leave();
    daemon.control.node().announce_leaving(Instant::now());
    control::apply_actions(daemon);
    daemon.publish_load();
    // Requests that were sent before the word of leaving arrived get a refusal, which is retried
    // elsewhere, and not a closed port.
    tokio::time::sleep_until((asked_at + daemon.settings.linger).into()).await;
    while !daemon.admission.is_idle() && Instant::now() < patience {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    daemon.stop.cancel();
}
