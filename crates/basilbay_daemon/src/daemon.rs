//! The composition of a daemon: all its state and the tasks that drive it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_events::metrics::Metrics;
use basilbay_model::config::{Config, Limits};
use basilbay_model::id::ServiceId;
use basilbay_model::roster::Roster;
use basilbay_routing::board::CallId;
use basilbay_routing::router::Router;

use crate::admission::Admission;
use crate::link::Links;
use crate::platform;
use crate::pool::Pool;
use crate::server;
use crate::settings::Settings;

/// Result of starting a daemon.
pub type Result<T> = anyhow::Result<T>;

/// Connections to the target before the configuration says how many it accepts.
const FIRST_CONNECTIONS: usize = 8;

/// Odd constant of Weyl's sequence, which spreads consecutive draws.
const WEYL: u64 = 0x9e37_79b9_7f4a_7c15;

/// Configuration and roster in force.
#[derive(Clone, Debug)]
pub struct View {
    /// The configuration.
    pub config: Arc<Config>,
    /// The instance list.
    pub roster: Arc<Roster>,
}

impl View {
    /// The view before anything was read: no service, no instance.
    fn empty() -> Self {
        let config = Config {
            version: 0,
            domains: Vec::new(),
            services: Vec::new(),
            limits: Limits::default(),
        };
        Self {
            config: Arc::new(config),
            roster: Arc::new(Roster::default()),
        }
    }
}

/// The router of one service, under its own lock.
#[derive(Debug)]
pub struct Shard {
    router: Mutex<Router>,
}

impl Shard {
    /// Locks the router.
    pub fn lock(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Its settings.
    pub settings: Settings,
    /// Admission to the own target.
    pub admission: Admission,
    /// Connections to the own target.
    pub pool: Arc<Pool>,
    /// Links to other daemons.
    pub links: Links,
    /// Where metrics go.
    pub metrics: Metrics,
    /// Cancelled when the daemon shall stop.
    pub stop: CancellationToken,
    view: ArcSwap<View>,
    routers: ArcSwap<Vec<(ServiceId, Arc<Shard>)>>,
    calls: AtomicU64,
    draws: AtomicU64,
}

impl Daemon {
    /// Puts a daemon together.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let metrics = Metrics::new(settings.statsd)?;
        Ok(Arc::new(Self {
            admission: Admission::new(18),
            pool: Arc::new(Pool::new(settings.target, FIRST_CONNECTIONS)),
            links: Links::default(),
            metrics,
            stop: CancellationToken::new(),
            view: ArcSwap::from_pointee(View::empty()),
            routers: ArcSwap::from_pointee(Vec::new()),
            calls: AtomicU64::new(0),
            draws: AtomicU64::new(settings.seed),
            settings,
        }))
    }

    /// Binds the ports and runs until the daemon is told to stop.
    pub async fn run(self: &Arc<Self>) -> Result<()> {
        let callers = TcpListener::bind(self.settings.callers).await?;
        let peers = TcpListener::bind(self.settings.peers).await?;
        emit!(
            catalogue::STARTED,
            instance = %self.settings.id,
            service = %self.settings.service,
            callers = %callers.local_addr()?,
            peers = %peers.local_addr()?,
        );
        tokio::spawn(platform::poll(self.clone()));
        let callers = server::accept(self.clone(), callers, server::Side::Callers);
        let peers = server::accept(self.clone(), peers, server::Side::Peers);
        tokio::join!(callers, peers);
        emit!(catalogue::STOPPED, instance = %self.settings.id);
        Ok(())
    }

    /// Configuration and roster in force.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Puts a configuration and a roster in force.
    pub fn set_view(&self, view: View) {
        let now = Instant::now();
        let domain = &self.settings.domain;
        let known = self.routers.load_full();
        let mut routers = Vec::new();
        for service in &view.config.services {
            let found = known.binary_search_by(|(id, _)| id.cmp(&service.id));
            let shard = match found {
                Ok(index) => known[index].1.clone(),
                Err(_) => Arc::new(Shard {
                    router: Mutex::new(Router::new(service.id.clone(), self.draw(), now)),
                }),
            };
            shard.lock().sync(&view.config, &view.roster, domain);
            routers.push((service.id.clone(), shard));
        }
        if let Some(service) = view.config.service(&self.settings.service) {
            self.pool.set_most(service.contract.connections as usize);
        }
        self.links.retain(|id| view.roster.instance(id).is_some());
        self.view.store(Arc::new(view));
        self.routers.store(Arc::new(routers));
    }

    /// The router of a service.
    pub fn router(&self, service: &str) -> Option<Arc<Shard>> {
        let routers = self.routers.load();
        let index = routers
            .binary_search_by(|(id, _)| (**id).cmp(service))
            .ok()?;
        Some(routers[index].1.clone())
    }

    /// A number for a new call.
    pub fn next_call(&self) -> CallId {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }

    /// A seed for one random choice.
    pub fn draw(&self) -> u64 {
        self.draws.fetch_add(WEYL, Ordering::Relaxed)
    }
}
