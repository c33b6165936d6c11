//! The daemon: owns all state, starts the tasks that drive it, and passes changes of configuration,
//! roster and load between its parts.

mod shard;
mod view;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use basilbay_admission::gate::Closed;
use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_events::log::Dropped;
use basilbay_events::metrics::{self, Metrics};
use basilbay_keys::history::History;
use basilbay_keys::key;
use basilbay_membership::node::Identity;
use basilbay_model::config::{Config, Limits};
use basilbay_model::id::{InstanceId, ServiceId};
use basilbay_model::roster::{Roster, Timestamp};
use basilbay_model::service::Contract;
use basilbay_routing::cluster::CallId;
use basilbay_routing::push::Publisher;
use basilbay_routing::router::Router;
use basilbay_wire::datagram::Body as Message;
use basilbay_wire::dialect::Dialect;
use basilbay_wire::load::Load;

use crate::access_log::Limiters;
use crate::admission::{Admission, Counts};
use crate::call::ConnectionId;
use crate::control::{self, Control};
use crate::health::{self, Health};
use crate::link::Links;
use crate::local::Target;
use crate::monitoring::{self, Endpoint};
use crate::owner::Registry;
use crate::platform::{self, HttpClient, Platform};
use crate::pool::Pool;
use crate::server::{self, Side};
use crate::serving;
use crate::settings::Settings;
use crate::source::Source;
use crate::suspects::{self, Tracker};
use crate::traffic::Traffic;
use crate::{admin, stop};

pub use shard::Shard;
pub use view::View;

/// Result of starting a daemon.
pub type Result<T> = anyhow::Result<T>;

/// Maximum number of connections to the target until the configuration states how many it accepts.
const INITIAL_CONNECTIONS: usize = 8;

/// Difference of consecutive seeds: the odd constant of a Weyl sequence, which spreads them evenly.
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Size of a load datagram with its UDP and IP headers, as charged to the publisher's budget.
const LOAD_DATAGRAM_BYTES: usize = 160;

/// Time between two evictions of expired keys.
const KEY_EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon with all its state.
#[derive(Debug)]
pub struct Daemon {
    /// Settings as of the start of the daemon.
    pub settings: Settings,
    /// Admission control of the local target.
    pub admission: Arc<Admission>,
    /// Connection pool of the local target.
    pub pool: Arc<Pool>,
    /// Whether the local target is up.
    pub health: Health,
    /// Requests suspected of crashing targets.
    pub suspects: Tracker,
    /// Keys that this daemon owns.
    pub registry: Registry,
    /// Connections to other daemons.
    pub links: Links,
    /// Source of configuration and instance list.
    pub source: Arc<dyn Source>,
    /// Header names of callers and targets.
    pub dialect: Dialect,
    /// HTTP client for probes of the local target.
    pub probe_client: HttpClient,
    /// The membership node and its I/O.
    pub control: Control,
    /// Whether the daemon may accept new requests.
    pub serving: serving::Status,
    /// Recorder of metrics.
    pub metrics: Metrics,
    /// Counter of dropped log lines; empty until logging has started.
    pub log_dropped: OnceLock<Dropped>,
    /// Rate limiters of the access log.
    pub log_limiters: Limiters,
    /// Cancelled when the ports are to be closed.
    pub stop: CancellationToken,
    /// The local target as the roster describes it.
    pub(crate) local: ArcSwap<Target>,
    pub(crate) is_stopping: AtomicBool,
    /// Whether the local target is closed for good, after the drain delay.
    pub(crate) is_leaving: AtomicBool,
    /// Whether the linger time of a stop has passed.
    pub(crate) has_lingered: AtomicBool,
    /// When requests that still run are aborted; empty until the daemon was asked to stop.
    pub(crate) drain_deadline: OnceLock<Instant>,
    publisher: Mutex<Publisher>,
    view: ArcSwap<View>,
    /// Shards of all configured services, sorted by service.
    shards: ArcSwap<Vec<Arc<Shard>>>,
    /// Held while the view or the shards change.
    writer: Mutex<()>,
    /// Whether the target is closed because the view is not confirmed.
    is_unconfirmed: AtomicBool,
    /// Latest time at which the roster is known to have been current, in ms since the Unix epoch.
    roster_as_of_ms: AtomicU64,
    /// Start of the daemon.
    started_at: Timestamp,
    /// Id of the next call.
    next_call_id: AtomicU64,
    /// Id of the next connection of a caller.
    next_connection_id: AtomicU64,
    /// Next random seed.
    next_seed: AtomicU64,
}

impl Daemon {
    /// Creates a daemon that reads configuration and instance list over HTTP in basilbay's own
    /// formats.
    pub async fn new(settings: Settings) -> Result<Arc<Self>> {
        let (config_service, instance_list) = (settings.config_service, settings.instance_list);
        Self::assemble(settings, Dialect::default(), |traffic| {
            Arc::new(Platform::new(config_service, instance_list, traffic))
        })
        .await
    }

    /// Creates a daemon with another source of configuration and instance list and other header
    /// names.
    pub async fn assemble(
        settings: Settings,
        dialect: Dialect,
        source: impl FnOnce(Arc<Traffic>) -> Arc<dyn Source>,
    ) -> Result<Arc<Self>> {
        let now = Instant::now();
        let traffic = Arc::new(Traffic::default());
        let identity = Identity {
            id: settings.id.clone(),
            service: settings.service.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            peer: settings.peers,
        };
        let startup = health::detect_start(settings.target).await;
        Ok(Arc::new(Self {
            admission: Admission::new(&Contract::default(), startup, now),
            pool: Arc::new(Pool::new(settings.target, INITIAL_CONNECTIONS)),
            health: Health::default(),
            suspects: Tracker::new(settings.service.clone()),
            registry: Registry::default(),
            links: Links::default(),
            source: source(traffic.clone()),
            dialect,
            probe_client: platform::http_client(),
            control: Control::bind(identity, settings.seed, traffic).await?,
            serving: serving::Status::new(now),
            metrics: Metrics::new(settings.statsd, settings.metrics.is_some())?,
            log_dropped: OnceLock::new(),
            log_limiters: Limiters::default(),
            stop: CancellationToken::new(),
            local: ArcSwap::from_pointee(Target::default()),
            is_stopping: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            has_lingered: AtomicBool::new(false),
            drain_deadline: OnceLock::new(),
            publisher: Mutex::new(Publisher::new(now)),
            view: ArcSwap::from_pointee(View::empty()),
            shards: ArcSwap::from_pointee(Vec::new()),
            writer: Mutex::new(()),
            is_unconfirmed: AtomicBool::new(false),
            roster_as_of_ms: AtomicU64::new(0),
            started_at: key::unix_ms(SystemTime::now()),
            next_call_id: AtomicU64::new(0),
            next_connection_id: AtomicU64::new(0),
            next_seed: AtomicU64::new(settings.seed),
            settings,
        }))
    }

    /// Binds the ports and runs until the daemon has been shut down.
    pub async fn run(self: &Arc<Self>) -> Result<()> {
        {
            let mut node = self.control.node();
            node.set_start_spread(self.settings.start_spread);
            node.set_serves_alone(self.settings.serves_alone);
            node.set_reader_count(self.settings.readers);
            if self.source.contacts().is_some() {
                node.start_with_contacts();
            }
        }
        if let Some(address) = self.settings.readiness {
            monitoring::serve(self.clone(), address, Endpoint::Readiness).await?;
        }
        if let Some(address) = self.settings.metrics {
            monitoring::serve(self.clone(), address, Endpoint::Metrics).await?;
        }
        let callers = TcpListener::bind(self.settings.callers).await?;
        let peers = TcpListener::bind(self.settings.peers).await?;
        emit!(
            catalogue::STARTED,
            instance = %self.settings.id,
            service = %self.settings.service,
            callers = %callers.local_addr()?,
            peers = %peers.local_addr()?,
            metrics = ?self.settings.metrics,
        );
        tokio::spawn(control::receive_datagrams(self.clone()));
        tokio::spawn(control::run_ticks(self.clone()));
        tokio::spawn(self.admission.clone().run());
        tokio::spawn(health::monitor(self.clone()));
        tokio::spawn(health::poll_load(self.clone()));
        tokio::spawn(health::probe_on_demand(self.clone()));
        tokio::spawn(admin::serve(self.clone()));
        tokio::spawn(suspects::request_restore(self.clone()));
        tokio::spawn(evict_keys(self.clone()));
        tokio::spawn(report_metrics(self.clone()));
        tokio::spawn(stop::on_signal(self.clone()));
        let callers = server::accept(self.clone(), callers, Side::Callers);
        let peers = server::accept(self.clone(), peers, Side::Peers);
        tokio::join!(callers, peers);
        emit!(catalogue::STOPPED, instance = %self.settings.id);
        Ok(())
    }

    /// Returns the current configuration and roster.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Applies a configuration.
    pub fn set_config(&self, config: Arc<Config>) {
        self.update_view(|view| view.config = config);
    }

    /// Applies a roster.
    pub fn set_roster(&self, roster: Arc<Roster>) {
        self.update_view(|view| view.roster = roster);
    }

    /// Changes the view, and updates shards, target and connections to match it.
    fn update_view(&self, change: impl FnOnce(&mut View)) {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = View::clone(&self.view());
        change(&mut view);
        self.sync_shards(&view);
        self.apply_to_target(&view);
        self.links.retain(|id| view.roster.instance(id).is_some());
        self.view.store(Arc::new(view));
        self.update_local_load();
    }

    fn sync_shards(&self, view: &View) {
        let existing = self.shards.load_full();
        let mut shards = Vec::with_capacity(view.config.services.len());
        for service in &view.config.services {
            let found = existing.binary_search_by(|shard| shard.service.cmp(&service.id));
            let shard = match found {
                Ok(index) => existing[index].clone(),
                Err(_) => Arc::new(self.new_shard(&service.id, &view.config.limits)),
            };
            let domain = &self.settings.domain;
            shard.router().sync(&view.config, &view.roster, domain);
            if view.roster.version > 0 {
                shard.history().observe(&view.roster);
            }
            shards.push(shard);
        }
        self.shards.store(Arc::new(shards));
    }

    fn new_shard(&self, service: &ServiceId, limits: &Limits) -> Shard {
        let router = Router::new(service.clone(), self.next_seed(), Instant::now());
        let history = History::new(service.clone(), limits.key_retention, self.started_at);
        Shard::new(service.clone(), router, history)
    }

    /// Returns the state of a service; `None` if it is not configured.
    pub fn shard(&self, service: &str) -> Option<Arc<Shard>> {
        let shards = self.shards.load();
        let index = shards
            .binary_search_by(|shard| (*shard.service).cmp(service))
            .ok()?;
        Some(shards[index].clone())
    }

    /// Calls `read` with the roster history of a service; `None` if the service is not configured.
    pub fn with_history<T>(&self, service: &str, read: impl FnOnce(&History) -> T) -> Option<T> {
        let shard = self.shard(service)?;
        let history = shard.history();
        Some(read(&history))
    }

    /// Records the latest time at which the roster is known to have been current.
    pub fn update_as_of(&self, as_of: Timestamp) {
        if self.roster_as_of_ms.swap(as_of, Ordering::AcqRel) == as_of {
            return;
        }
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let version = self.view.load().roster.version;
        if version == 0 {
            return;
        }
        // With an unchanged version the history takes only the time from this roster.
        let confirmed = Roster {
            version,
            as_of_ms: as_of,
            instances: Vec::new(),
        };
        for shard in self.shards.load().iter() {
            shard.history().observe(&confirmed);
        }
    }

    /// Records the load that a target's daemon reported.
    pub fn record_load(&self, origin: &InstanceId, load: &Load, now: Instant) {
        let view = self.view.load();
        let Some(instance) = view.roster.instance(origin) else {
            return;
        };
        if let Some(shard) = self.shard(&instance.service) {
            shard.router().update_load(origin, load, now);
        }
    }

    /// Passes the latency of the local target's warm siblings to admission control.
    pub fn update_sibling_latency(&self, now: Instant) {
        let local_id = &self.settings.id;
        let latency = self
            .shard(&self.settings.service)
            .and_then(|shard| shard.router().sibling_latency(local_id, now));
        self.admission.set_sibling_latency(latency);
    }

    /// Marks an instance as leaving, after it announced that it leaves.
    pub fn mark_leaving(&self, id: &InstanceId) {
        let view = self.view.load();
        let service = view.roster.instance(id).map(|instance| &instance.service);
        if let Some(shard) = service.and_then(|service| self.shard(service)) {
            shard.router().cluster.mark_leaving(id);
        }
    }

    /// Clears the mark of an instance that announced that it leaves and then returned.
    pub fn mark_returned(&self, id: &InstanceId) {
        let view = self.view.load();
        let service = view.roster.instance(id).map(|instance| &instance.service);
        if let Some(shard) = service.and_then(|service| self.shard(service)) {
            shard.router().cluster.mark_returned(id);
        }
    }

    /// Closes the local target while the view is not confirmed, and reopens it once it is.
    pub fn set_unconfirmed(&self, is_unconfirmed: bool) {
        if self.is_unconfirmed.swap(is_unconfirmed, Ordering::AcqRel) != is_unconfirmed {
            self.admission
                .set_closed(Closed::Unconfirmed, is_unconfirmed);
            self.update_local_load();
        }
    }

    /// Updates the load of the local target in this daemon's router.
    ///
    /// The router gives old load reports less weight. Reports that came only with responses would
    /// go stale as soon as the target is not picked, and it would never be picked again. A change
    /// of state must be visible at once: otherwise a daemon that has just become ready refuses
    /// requests for up to a tick.
    pub fn update_local_load(&self) {
        let load = self.admission.load();
        self.record_load(&self.settings.id, &load, Instant::now());
    }

    /// Subscribes another daemon to load datagrams, after it received the local target's load with a
    /// response.
    pub fn record_load_sent(&self, origin: &InstanceId, now: Instant) {
        let view = self.view.load();
        if let Some(instance) = view.roster.instance(origin) {
            let load = self.admission.load();
            self.publisher()
                .subscribe(origin, instance.peer, &load, now);
        }
    }

    /// Sends the local target's load to the subscribed daemons for which it has changed, within the
    /// publisher's budget.
    pub fn publish_load(&self) {
        let load = self.admission.load();
        let due = self
            .publisher()
            .take_due(&load, LOAD_DATAGRAM_BYTES, Instant::now());
        for address in due {
            let body = Message::Load(load.clone());
            self.control.send(&self.settings.id, body, address);
        }
    }

    /// Returns the id of a new call.
    pub fn next_call_id(&self) -> CallId {
        self.next_call_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a new connection of a caller.
    pub fn next_connection_id(&self) -> ConnectionId {
        self.next_connection_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a seed for one random choice.
    pub fn next_seed(&self) -> u64 {
        self.next_seed.fetch_add(SEED_INCREMENT, Ordering::Relaxed)
    }

    fn publisher(&self) -> MutexGuard<'_, Publisher> {
        self.publisher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports gauges and the counters of admission control until the daemon stops.
async fn report_metrics(daemon: Arc<Daemon>) {
    let mut last = Counts::default();
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let load = daemon.admission.load();
        let counts = daemon.admission.counts();
        let age = daemon.control.node().roster_age(SystemTime::now());
        let age_ms = age.map_or(0, |age| age.as_millis() as u64);
        let metrics = &daemon.metrics;
        metrics.gauge(metrics::IN_FLIGHT, u64::from(load.in_flight));
        metrics.gauge(metrics::LIMIT, u64::from(load.limit));
        metrics.gauge(metrics::QUEUED, u64::from(load.queued));
        metrics.gauge(metrics::KEYS, daemon.registry.len() as u64);
        metrics.gauge(metrics::CONFIG_VERSION, daemon.view().config.version);
        metrics.gauge(metrics::ROSTER_AGE, age_ms);
        if let Some(dropped) = daemon.log_dropped.get() {
            metrics.gauge(metrics::LOG_DROPPED, dropped.count());
        }
        metrics.count(metrics::RUNS_STARTED, counts.started - last.started);
        metrics.count(metrics::RUNS_COMPLETED, counts.completed - last.completed);
        metrics.count(metrics::RUNS_REFUSED, counts.refused - last.refused);
        last = counts;
        daemon.log_limiters.report();
    }
}

/// Evicts keys whose retention period has passed, until the daemon stops.
async fn evict_keys(daemon: Arc<Daemon>) {
    loop {
        tokio::time::sleep(KEY_EVICTION_INTERVAL).await;
        daemon.registry.evict_expired(Instant::now());
    }
}
