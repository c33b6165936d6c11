//! Runs a fleet of real daemons against fakes that run in the test's process.
//!
//! Each fleet binds a loopback address of its own, so that its fixed ports collide neither with
//! those of other fleets nor with those of outgoing connections. A fleet may span several regions:
//! each region has a platform of its own, whose instance list names the daemons of other regions by
//! addresses of the proxy, so that a test can partition the network between regions.

// Each test binary compiles this module and uses only a part of it.
#![allow(dead_code)]

pub(crate) mod daemon;
pub(crate) mod load;
pub(crate) mod plan;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use basilbay_admin::Status;
use basilbay_fakes::platform::list::Entry;
use basilbay_fakes::platform::{self, Platform, fault};
use basilbay_fakes::proxy::{self, Protocol, Proxy, Route};
use basilbay_fakes::targets;
use basilbay_fakes::targets::audit::Run;
use basilbay_fakes::targets::spec::Target;
use basilbay_model::roster::State;
use tokio::sync::{Mutex, MutexGuard};

use daemon::Daemon;
use plan::{Change, Plan};

/// Time limit of the guarantees "domain out" and "configuration".
pub(crate) const CHANGE_LIMIT: Duration = Duration::from_secs(4);

/// Time limit of the guarantee "leaving".
pub(crate) const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// Time-out of waits for conditions that have no time limit of their own.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a wait checks its condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serializes the fleets of one test process, because each starts up to 14 processes.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());

static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

/// First port of the first fleet; below the ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// Ports reserved for one fleet.
const PORTS_PER_FLEET: u16 = 400;

/// Ports reserved for one daemon.
const PORTS_PER_INSTANCE: u16 = 4;

/// Identity and addresses of an instance, whether its daemon runs or not.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) id: String,
    /// Id of the service that the target provides.
    pub(crate) service: String,
    /// Id of the failure domain.
    pub(crate) domain: String,
    /// Index of the region, and so of the platform that the daemon reads.
    pub(crate) region: usize,
    /// Address on which the daemon serves callers.
    pub(crate) callers: SocketAddr,
    /// Address on which the daemon serves its peers.
    pub(crate) peers: SocketAddr,
    /// Address of the admin interface.
    pub(crate) admin: SocketAddr,
    pub(crate) target: SocketAddr,
    /// Address of the configuration service.
    pub(crate) config: SocketAddr,
    /// Address of the instance list.
    pub(crate) list: SocketAddr,
}

/// A running fleet; dropping it kills every process that it started.
pub(crate) struct Fleet {
    pub(crate) plan: Plan,
    /// All instances of the plan; tests refer to them by index.
    pub(crate) instances: Vec<Instance>,
    /// The daemon of each instance; `None` while it does not run.
    pub(crate) daemons: Vec<Option<Daemon>>,
    /// The platform of each region.
    pub(crate) platforms: Vec<Platform>,
    /// The targets of all regions.
    pub(crate) targets: targets::Targets,
    /// Routes between the regions, and the route `config` to the configuration service of region 0.
    pub(crate) proxy: Proxy,
    folder: PathBuf,
    _lock: MutexGuard<'static, ()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Starts the fakes and all daemons, and waits until all daemons serve configuration version 1.
    pub(crate) async fn start(plan: Plan) -> Self {
        let mut fleet = Self::prepare(plan).await;
        for index in 0..fleet.instances.len() {
            fleet.spawn(index);
        }
        fleet.wait_until_serving(1).await;
        fleet
    }

    /// Starts the fakes without any daemon.
    pub(crate) async fn prepare(plan: Plan) -> Self {
        let lock = FLEET_LOCK.lock().await;
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let mut instances = plan.instances(|index, port| address(number, index, port));
        let targets = targets::Targets::start(specs(&plan, &instances), any_port())
            .await
            .expect("the targets start");
        for instance in &instances {
            let warm = targets::fault::Change {
                warm: Some(true),
                ..targets::fault::Change::default()
            };
            assert!(targets.change(&instance.id, &warm));
        }
        let mut platforms = Vec::new();
        for _ in 0..plan.regions {
            let settings = platform::Settings {
                config: plan
                    .is_published
                    .then(|| plan.config(1, &Change::default())),
                ..platform::Settings::default()
            };
            platforms.push(Platform::start(settings).await.expect("a platform starts"));
        }
        let routes = routes(&plan, &instances, &platforms);
        let proxy = Proxy::start(routes, any_port())
            .await
            .expect("the proxy starts");
        let proxied_config = proxy.address("config").expect("the route exists");
        for (index, instance) in instances.iter_mut().enumerate() {
            let address = platforms[instance.region].address();
            let is_proxied = plan.config_via_proxy.contains(&index);
            instance.config = if is_proxied { proxied_config } else { address };
            instance.list = address;
            instance.target = targets.address(&instance.id).expect("the target exists");
        }
        let name = format!("fleet-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let fleet = Self {
            daemons: instances.iter().map(|_| None).collect(),
            plan,
            instances,
            platforms,
            targets,
            proxy,
            folder,
            _lock: lock,
        };
        fleet.publish_instances(&fleet.all(), fleet.plan.listed_ago_ms);
        fleet
    }

    /// Indices of all instances.
    pub(crate) fn all(&self) -> Vec<usize> {
        (0..self.instances.len()).collect()
    }

    /// Indices of the instances that match a predicate.
    pub(crate) fn filter(&self, matches: impl Fn(&Instance) -> bool) -> Vec<usize> {
        let all = self.all().into_iter();
        all.filter(|index| matches(&self.instances[*index]))
            .collect()
    }

    /// Indices of the instances in a failure domain.
    pub(crate) fn in_domain(&self, domain: &str) -> Vec<usize> {
        self.filter(|instance| instance.domain == domain)
    }

    /// Publishes these instances on all instance lists; new ones count as listed `listed_ago_ms`
    /// ago.
    pub(crate) fn publish_instances(&self, indices: &[usize], listed_ago_ms: u64) {
        for region in 0..self.platforms.len() {
            let mut entries: Vec<Entry> = indices
                .iter()
                .map(|index| self.list_entry(*index, region, listed_ago_ms))
                .collect();
            entries.extend(self.plan.extra_list_entries.iter().cloned());
            let result = self.platforms[region].set_instances(entries);
            result.expect("the instance list is valid");
        }
    }

    fn list_entry(&self, index: usize, region: usize, listed_ago_ms: u64) -> Entry {
        let instance = &self.instances[index];
        let peer = match instance.region == region {
            true => instance.peers,
            false => self.route_address(region, index),
        };
        Entry {
            id: Arc::from(&*instance.id),
            service: Arc::from(&*instance.service),
            domain: Arc::from(&*instance.domain),
            region: Arc::from(&*self.plan.region_name(instance.region)),
            peer,
            admin: instance.admin,
            listen: instance.callers,
            state: State::Live,
            listed_ago_ms,
        }
    }

    fn route_address(&self, region: usize, index: usize) -> SocketAddr {
        let name = plan::route_name(region, index);
        self.proxy.address(&name).expect("the route exists")
    }

    /// Starts or ends a network partition between the regions.
    pub(crate) fn set_partitioned(&self, is_partitioned: bool) {
        let faults = proxy::fault::Faults {
            partition: is_partitioned,
            ..proxy::fault::Faults::default()
        };
        for route in self.proxy.status() {
            if &*route.name != "config" {
                self.proxy.set_faults(&route.name, faults);
            }
        }
    }

    /// Publishes a configuration in every region.
    pub(crate) fn publish(&self, version: u64, change: &Change) {
        for region in 0..self.platforms.len() {
            self.publish_in_region(region, version, change);
        }
    }

    /// Publishes a configuration in one region.
    pub(crate) fn publish_in_region(&self, region: usize, version: u64, change: &Change) {
        let result = self.platforms[region].publish(&self.plan.config(version, change));
        result.expect("the text has a version");
    }

    /// Sets whether the configuration service and the instance list of a region are down.
    pub(crate) fn set_down(&self, region: usize, config: bool, instances: bool) {
        let mut faults = fault::Faults::default();
        faults.config.down = config;
        faults.instances.down = instances;
        self.platforms[region].set_faults(faults);
    }

    /// Starts the daemon of an instance.
    pub(crate) fn spawn(&mut self, index: usize) {
        let region = self.plan.region_name(self.instances[index].region);
        let daemon = Daemon::spawn(&self.instances[index], &region, &self.folder);
        self.daemons[index] = Some(daemon);
    }

    /// The running daemon of an instance.
    pub(crate) fn daemon(&self, index: usize) -> &Daemon {
        self.daemons[index].as_ref().expect("the daemon runs")
    }

    /// Kills the daemon of an instance; its log file remains.
    pub(crate) fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Indices of the instances whose daemons run.
    pub(crate) fn running(&self) -> Vec<usize> {
        let all = self.all().into_iter();
        all.filter(|index| self.daemons[*index].is_some()).collect()
    }

    /// Caller addresses of some instances.
    pub(crate) fn entries(&self, indices: &[usize]) -> Vec<SocketAddr> {
        indices
            .iter()
            .map(|index| self.instances[*index].callers)
            .collect()
    }

    /// Status that a daemon reports; `None` if it does not respond.
    pub(crate) async fn status(&self, index: usize) -> Option<Status> {
        daemon::status(self.instances[index].admin).await
    }

    /// Waits until all running daemons have applied a configuration version and serve.
    pub(crate) async fn wait_until_serving(&self, version: u64) -> Duration {
        let indices = self.running();
        self.wait_until(&indices, WAIT_TIMEOUT, |status| {
            status.config_version == version && status.state.as_ref() != "unconfirmed"
        })
        .await
    }

    /// Waits until some daemons have applied a configuration version, at most for [`CHANGE_LIMIT`].
    pub(crate) async fn wait_for_version(&self, indices: &[usize], version: u64) -> Duration {
        self.wait_until(indices, CHANGE_LIMIT, |status| {
            status.config_version == version
        })
        .await
    }

    /// Waits until the status of some daemons matches a predicate and returns how long that took.
    pub(crate) async fn wait_until(
        &self,
        indices: &[usize],
        limit: Duration,
        matches: impl Fn(&Status) -> bool,
    ) -> Duration {
        let start = Instant::now();
        let mut pending = indices.to_vec();
        loop {
            let statuses =
                futures::future::join_all(pending.iter().map(|index| self.status(*index)));
            let statuses = statuses.await;
            let elapsed = start.elapsed();
            let pairs = pending.iter().zip(&statuses);
            let missing: Vec<usize> = pairs
                .filter(|(_, status)| !status.as_ref().is_some_and(&matches))
                .map(|(index, _)| *index)
                .collect();
            if missing.is_empty() {
                return elapsed;
            }
            assert!(
                elapsed < limit,
                "condition not met after {elapsed:?} (limit {limit:?}) at {:?}: {statuses:?}",
                missing
                    .iter()
                    .map(|index| &self.instances[*index].id)
                    .collect::<Vec<_>>()
            );
            pending = missing;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until no target runs a request and returns all recorded runs.
    pub(crate) async fn finished_runs(&self) -> Vec<Run> {
        let start = Instant::now();
        while self
            .targets
            .status()
            .iter()
            .any(|status| status.in_flight > 0)
        {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "requests still in flight after {WAIT_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.targets.runs()
    }

    /// Runs that the targets of some instances started at or after a time.
    pub(crate) fn runs_started_since(
        &self,
        runs: &[Run],
        indices: &[usize],
        since_us: u64,
    ) -> Vec<Run> {
        let is_selected = |run: &Run| {
            indices
                .iter()
                .any(|index| self.instances[*index].id == *run.target)
        };
        runs.iter()
            .filter(|run| run.start_us >= since_us && is_selected(run))
            .cloned()
            .collect()
    }
}

fn specs(plan: &Plan, instances: &[Instance]) -> Vec<Target> {
    let target = |instance: &Instance| {
        let mut target = Target::new(&instance.id, &instance.service, plan.service_time_us);
        target.cold.warm_after = 100;
        target
    };
    instances.iter().map(target).collect()
}

fn routes(plan: &Plan, instances: &[Instance], platforms: &[Platform]) -> Vec<Route> {
    let mut routes = vec![Route {
        name: Arc::from("config"),
        listen: any_port(),
        to: platforms[0].address(),
        protocol: Protocol::Tcp,
    }];
    for region in 0..plan.regions {
        for (index, instance) in instances.iter().enumerate() {
            if instance.region != region {
                routes.push(Route {
                    name: Arc::from(plan::route_name(region, index)),
                    listen: any_port(),
                    to: instance.peers,
                    protocol: Protocol::Both,
                });
            }
        }
    }
    routes
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn address(fleet: u16, index: usize, port: u16) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, middle, low));
    let offset = u16::try_from(index).expect("few instances") * PORTS_PER_INSTANCE;
    SocketAddr::new(ip, FIRST_PORT + fleet * PORTS_PER_FLEET + offset + port)
}
