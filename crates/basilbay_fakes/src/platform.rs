//! Fake of the configuration service and the instance list.
//!
//! basilbay reads `/config` and `/instances`. Publishing, fault injection and request counts are
//! under `/fake/`, and are also methods of [`Platform`] for tests that run it in process.

pub mod config;
pub mod count;
pub mod fault;
pub mod list;
pub mod publish;
mod routes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anyhow::Context;
use basilbay_model::id::Version;
use basilbay_model::roster::Roster;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{clock, web};

/// Services that a process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Services {
    /// The configuration service and the instance list.
    #[default]
    Both,
    /// Only the configuration service.
    Config,
    /// Only the instance list.
    List,
}

/// Initial state of a platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Loopback address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Services to run.
    pub services: Services,
    /// Text of the initial configuration; with `None`, `/config` is 404 until one is published.
    pub config: Option<String>,
    /// The initial instance list.
    pub instances: Vec<list::Entry>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            services: Services::Both,
            config: None,
            instances: Vec::new(),
        }
    }
}

/// Mutable state of the platform, guarded by one lock.
#[derive(Default)]
struct State {
    config: config::Store,
    list: list::Store,
    faults: fault::Faults,
    counts: count::Counts,
}

/// State shared by the handle and the connection handlers.
struct Shared {
    services: Services,
    state: Mutex<State>,
    /// Number of changes to the configuration or the faults; pending watches wait on it.
    changes: watch::Sender<u64>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the requests that watch the configuration.
    fn notify_watchers(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    fn publish(&self, text: &str) -> config::Result<Version> {
        let version = self.state().config.publish(text)?;
        self.notify_watchers();
        Ok(version)
    }

    fn set_faults(&self, faults: fault::Faults) {
        self.state().faults = faults;
        self.notify_watchers();
    }
}

/// A running platform; dropping it stops it.
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

impl Platform {
    /// Starts on the current tokio runtime.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let listener = web::listen(settings.listen)?;
        let address = listener.local_addr()?;
        let mut state = State::default();
        if let Some(text) = &settings.config {
            state
                .config
                .publish(text)
                .context("cannot publish the initial configuration")?;
        }
        state.list.replace(settings.instances, clock::unix_ms())?;
        let shared = Arc::new(Shared {
            services: settings.services,
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
        });
        let stop = CancellationToken::new();
        let handler_state = shared.clone();
        tokio::spawn(web::serve(listener, stop.clone(), move |request| {
            routes::handle(handler_state.clone(), request)
        }));
        Ok(Self {
            address,
            shared,
            _stop: stop.drop_guard(),
        })
    }

    /// Address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a configuration and returns its version.
    pub fn publish(&self, text: &str) -> config::Result<Version> {
        self.shared.publish(text)
    }

    /// Replaces the whole instance list.
    pub fn set_instances(&self, entries: Vec<list::Entry>) -> list::Result<()> {
        self.shared.state().list.replace(entries, clock::unix_ms())
    }

    /// Marks an instance as leaving; fails if the instance is not in the list.
    pub fn mark_leaving(&self, id: &str) -> list::Result<()> {
        self.shared.state().list.mark_leaving(id, clock::unix_ms())
    }

    /// Removes an instance from the list; fails if it is not in the list.
    pub fn remove(&self, id: &str) -> list::Result<()> {
        self.shared.state().list.remove(id, clock::unix_ms())
    }

    /// The instance list as a reader would get it now, with the lag fault applied.
    pub fn roster(&self) -> Roster {
        let state = self.shared.state();
        let lag_ms = state.faults.instances.lag_ms;
        state.list.read(clock::unix_ms(), lag_ms)
    }

    /// Replaces the faults of both services.
    pub fn set_faults(&self, faults: fault::Faults) {
        self.shared.set_faults(faults);
    }

    /// Counts of the requests received since the start.
    pub fn counts(&self) -> count::Report {
        self.shared.state().counts.report()
    }
}
