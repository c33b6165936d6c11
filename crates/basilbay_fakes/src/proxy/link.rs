//! What the connections and datagrams of one route share.

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

/// A route that runs.
pub(super) struct Link {
    pub(super) route: Route,
    pub(super) address: SocketAddr,
    pub(super) timer: Timer,
    pub(super) stop: CancellationToken,
    pub(super) counts: Counts,
    faults: watch::Sender<Faults>,
    uncut: Mutex<CancellationToken>,
    random: Mutex<fastrand::Rng>,
}

impl Link {
    pub(super) fn new(
        route: Route,
        address: SocketAddr,
        timer: Timer,
        stop: CancellationToken,
    ) -> Self {
        let uncut = Mutex::new(stop.child_token());
        Self {
            route,
            address,
            timer,
            stop,
            counts: Counts::default(),
            faults: watch::Sender::new(Faults::default()),
            uncut,
            random: Mutex::new(fastrand::Rng::with_seed(u64::from(address.port()))),
        }
    }

    pub(super) fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Cancels the token of the present connections.
    pub(super) fn reset_connections(&self) {
        let mut uncut = self.uncut.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = std::mem::replace(&mut *uncut, self.stop.child_token());
        drop(uncut);
        ended.cancel();
    }

    /// The token of connections that are accepted now.
    pub(super) fn uncut(&self) -> CancellationToken {
        let uncut = self.uncut.lock().unwrap_or_else(PoisonError::into_inner);
        uncut.clone()
    }

    /// Waits while the route is partitioned.
    pub(super) async fn healed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the link.
        let _ = faults.wait_for(|faults| !faults.partition).await;
    }

    /// Waits while bytes in this direction are swallowed.
    pub(super) async fn opened(&self, direction: Direction) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the link.
        let _ = faults
            .wait_for(|faults| faults.half_open != Some(direction))
            .await;
    }

    /// Whether bytes in this direction are swallowed.
    pub(super) fn swallows(&self, direction: Direction) -> bool {
        self.faults().half_open == Some(direction)
    }

    /// When bytes that came now go on.
    pub(super) fn due(&self) -> Instant {
        let faults = self.faults();
        let mut millis = faults.delay_ms.max(0.0);
        if faults.jitter_ms > 0.0 {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            millis += faults.jitter_ms * random.f64();
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
