//! Stand-in for the configuration service and the instance list.
//!
//! The product reads `/config` and `/instances`. Publishing, faults and counts are under `/fake/`,
//! and as methods of [`Platform`] for tests that run it in process.

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

/// Which of the two services a process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Services {
    /// Both.
    #[default]
    Both,
    /// The configuration service only.
    Config,
    /// The instance list only.
    List,
}

/// What a platform starts with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Loopback address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Which services to run.
    pub services: Services,
    /// Text of the first configuration; without it `/config` is 404 until one is published.
    pub config: Option<String>,
    /// The first instance list.
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

/// What the platform knows, under one lock.
#[derive(Default)]
struct Content {
    config: config::Store,
    list: list::Store,
    faults: fault::Faults,
    counts: count::Counts,
}

/// State that the handle and the connections share.
struct Shared {
    services: Services,
    content: Mutex<Content>,
    changes: watch::Sender<u64>,
}

impl Shared {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the waiting watches.
    fn announce(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    fn publish(&self, text: &str) -> config::Result<Version> {
        let version = self.content().config.publish(text)?;
        self.announce();
        Ok(version)
    }

    fn set_faults(&self, faults: fault::Faults) {
        self.content().faults = faults;
        self.announce();
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
        let mut content = Content::default();
        if let Some(text) = &settings.config {
            content
                .config
                .publish(text)
                .context("the first configuration")?;
        }
        content.list.replace(settings.instances, clock::unix_ms())?;
        let shared = Arc::new(Shared {
            services: settings.services,
            content: Mutex::new(content),
            changes: watch::Sender::new(0),
        });
        let stop = CancellationToken::new();
        let served = shared.clone();
        tokio::spawn(web::serve(listener, stop.clone(), move |request| {
            routes::handle(served.clone(), request)
        }));
        Ok(Self {
            address,
            shared,
            _stop: stop.drop_guard(),
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a configuration.
    pub fn publish(&self, text: &str) -> config::Result<Version> {
        self.shared.publish(text)
    }

    /// Replaces the whole instance list.
    pub fn set_instances(&self, entries: Vec<list::Entry>) -> list::Result<()> {
        self.shared
            .content()
            .list
            .replace(entries, clock::unix_ms())
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, id: &str) -> list::Result<()> {
        self.shared
            .content()
            .list
            .mark_leaving(id, clock::unix_ms())
    }

    /// Removes an instance.
    pub fn remove(&self, id: &str) -> list::Result<()> {
        self.shared.content().list.remove(id, clock::unix_ms())
    }

    /// The instance list as a reader would get it now.
    pub fn roster(&self) -> Roster {
        let content = self.shared.content();
        let lag_ms = content.faults.instances.lag_ms;
        content.list.read(clock::unix_ms(), lag_ms)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: fault::Faults) {
        self.shared.set_faults(faults);
    }

    /// Calls so far.
    pub fn counts(&self) -> count::Report {
        self.shared.content().counts.report()
    }
}
