//! State of one route, shared by its connections and its datagram tasks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Route;
use super::fault::{Direction, Faults, Status};
use crate::timer::Timer;

/// Counters of a route.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) connections: AtomicU64,
    pub(super) bytes: AtomicU64,
    pub(super) datagrams: AtomicU64,
    pub(super) resets: AtomicU64,
}

/// A running route.
pub(super) struct Link {
    pub(super) route: Route,
    pub(super) address: SocketAddr,
    pub(super) timer: Timer,
    pub(super) stop: CancellationToken,
    pub(super) counts: Counts,
    faults: watch::Sender<Faults>,
    /// Cancelled, and replaced, when the open connections are to be reset.
    reset: Mutex<CancellationToken>,
    rng: Mutex<fastrand::Rng>,
}

impl Link {
    pub(super) fn new(
        route: Route,
        address: SocketAddr,
        timer: Timer,
        stop: CancellationToken,
    ) -> Self {
        let reset = Mutex::new(stop.child_token());
        Self {
            route,
            address,
            timer,
            stop,
            counts: Counts::default(),
            faults: watch::Sender::new(Faults::default()),
            reset,
            rng: Mutex::new(fastrand::Rng::with_seed(u64::from(address.port()))),
        }
    }

    pub(super) fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Resets the connections that are open now.
    pub(super) fn reset_connections(&self) {
        let mut reset = self.reset.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = std::mem::replace(&mut *reset, self.stop.child_token());
        drop(reset);
        previous.cancel();
    }

    /// Token that is cancelled when the connections that are open now are to be reset.
    pub(super) fn reset_token(&self) -> CancellationToken {
        let reset = self.reset.lock().unwrap_or_else(PoisonError::into_inner);
        reset.clone()
    }

    /// Waits until the route is not partitioned.
    pub(super) async fn wait_until_healed(&self) {
        let mut faults = self.faults.subscribe();
        // Fails only if the sender is dropped, and the link owns it.
        let _ = faults.wait_for(|faults| !faults.partition).await;
    }

    /// Waits until bytes in this direction are not dropped.
    pub(super) async fn wait_until_open(&self, direction: Direction) {
        let mut faults = self.faults.subscribe();
        // Fails only if the sender is dropped, and the link owns it.
        let _ = faults
            .wait_for(|faults| faults.half_open != Some(direction))
            .await;
    }

    /// Whether bytes in this direction are dropped.
    pub(super) fn drops(&self, direction: Direction) -> bool {
        self.faults().half_open == Some(direction)
    }

    /// When bytes that arrive now are to be forwarded.
    pub(super) fn delivery_time(&self) -> Instant {
        let faults = self.faults();
        let mut millis = faults.delay_ms.max(0.0);
        if faults.jitter_ms > 0.0 {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            millis += faults.jitter_ms * rng.f64();
        }
        Instant::now() + Duration::from_secs_f64(millis / 1000.0)
    }

    pub(super) fn status(&self) -> Status {
        Status {
            name: self.route.name.clone(),
            address: self.address,
            faults: self.faults(),
            connections: self.counts.connections.load(Ordering::Relaxed),
            bytes: self.counts.bytes.load(Ordering::Relaxed),
            datagrams: self.counts.datagrams.load(Ordering::Relaxed),
            resets: self.counts.resets.load(Ordering::Relaxed),
        }
    }
}
