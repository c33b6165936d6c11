//! What the daemon currently knows from the platform.

use std::sync::Arc;

use basilbay_model::config::{Config, Limits};
use basilbay_model::roster::Roster;

/// Snapshot of the current configuration and roster.
#[derive(Clone, Debug)]
pub struct View {
    /// Current configuration.
    pub config: Arc<Config>,
    /// Current roster, as read from the instance list.
    pub roster: Arc<Roster>,
}

impl View {
    /// Returns the view before the first read, without services and instances.
    pub(super) fn empty() -> Self {
        let config = Config {
            version: 0,
            serial: 0,
            domains: Vec::new(),
            services: Vec::new(),
            routes: Vec::new(),
            limits: Limits::default(),
        };
        Self {
            config: Arc::new(config),
            roster: Arc::new(Roster::default()),
        }
    }
}
