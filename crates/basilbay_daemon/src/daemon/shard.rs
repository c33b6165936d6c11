//! State that the daemon keeps for each service.

use std::sync::{Mutex, MutexGuard, PoisonError};

use basilbay_keys::history::History;
use basilbay_model::id::ServiceId;
use basilbay_routing::router::Router;

/// State of one service: its router and its roster history, each under its own lock.
#[derive(Debug)]
pub struct Shard {
    pub(super) service: ServiceId,
    router: Mutex<Router>,
    history: Mutex<History>,
}

impl Shard {
    pub(super) fn new(service: ServiceId, router: Router, history: History) -> Self {
        Self {
            service,
            router: Mutex::new(router),
            history: Mutex::new(history),
        }
    }

    /// Locks the router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
