//! A fleet of real daemons against stand-ins that run in the test's process.
//!
//! Each fleet has loopback addresses of its own, so that its fixed ports never meet those of other
//! fleets or of outgoing connections. A fleet may be divided into sides: each side has a platform
//! of its own, whose list names the other side's daemons by addresses of the proxy.

// Every test file compiles this module and uses a part of it.
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

/// Limit of the promises "domain out" and "configuration".
pub(crate) const CHANGE_LIMIT: Duration = Duration::from_secs(4);

/// Limit of the promise "leaving".
pub(crate) const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// Time after which something that must happen, without a stated limit, counts as missing.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two looks at something that is waited for.
pub(crate) const LOOK: Duration = Duration::from_millis(20);

/// Fleets of one process run one after another: each starts up to 14 processes.
static TURN: Mutex<()> = Mutex::const_new(());

static COUNT: AtomicU16 = AtomicU16::new(0);

/// First port of a fleet; below the ports of outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// Ports of one fleet.
const PORTS: u16 = 400;

/// Ports of one daemon.
const PORTS_EACH: u16 = 4;

/// Where a daemon stands.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    /// Id of the instance.
    pub(crate) id: String,
    /// Service of the target.
    pub(crate) service: String,
    /// Failure domain.
    pub(crate) domain: String,
    /// Which platform it reads.
    pub(crate) side: usize,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for daemons.
    pub(crate) peers: SocketAddr,
    /// Address for operators.
    pub(crate) admin: SocketAddr,
    /// Address of the target.
    pub(crate) target: SocketAddr,
    /// Address of the configuration service.
    pub(crate) config: SocketAddr,
    /// Address of the instance list.
    pub(crate) list: SocketAddr,
}

/// A running fleet; dropping it ends every process that it started.
pub(crate) struct Fleet {
    /// What it was made from.
    pub(crate) plan: Plan,
    /// Where the daemons stand.
    pub(crate) seats: Vec<Seat>,
    /// The running daemons, one a seat.
    pub(crate) daemons: Vec<Option<Daemon>>,
    /// One platform a side.
    pub(crate) platforms: Vec<Platform>,
    /// The targets of all sides.
    pub(crate) targets: targets::Fleet,
    /// Routes between the sides, and `config` in front of the first configuration service.
    pub(crate) proxy: Proxy,
    folder: PathBuf,
    _turn: MutexGuard<'static, ()>,
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
    /// Starts the stand-ins and all daemons, and waits until all of them serve version 1.
    pub(crate) async fn start(plan: Plan) -> Self {
        let mut fleet = Self::prepare(plan).await;
        for index in 0..fleet.seats.len() {
            fleet.spawn(index);
        }
        fleet.until_serving(1).await;
        fleet
    }

    /// Starts the stand-ins only.
    pub(crate) async fn prepare(plan: Plan) -> Self {
        let turn = TURN.lock().await;
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let mut seats = plan.seats(|index, port| address(number, index, port));
        let targets = targets::Fleet::start(specs(&plan, &seats), free())
            .await
            .expect("the targets start");
        for seat in &seats {
            let warm = targets::fault::Change {
                warm: Some(true),
                ..targets::fault::Change::default()
            };
            assert!(targets.change(&seat.id, &warm));
        }
        let mut platforms = Vec::new();
        for _ in 0..plan.sides {
            let settings = platform::Settings {
                config: plan.published.then(|| plan.text(1, &Change::default())),
                ..platform::Settings::default()
            };
            platforms.push(Platform::start(settings).await.expect("a platform starts"));
        }
        let routes = routes(&plan, &seats, &platforms);
        let proxy = Proxy::start(routes, free())
            .await
            .expect("the proxy starts");
        let through = proxy.address("config").expect("the route exists");
        for (index, seat) in seats.iter_mut().enumerate() {
            let address = platforms[seat.side].address();
            let is_through = plan.through_proxy.contains(&index);
            seat.config = if is_through { through } else { address };
            seat.list = address;
            seat.target = targets.address(&seat.id).expect("the target exists");
        }
        let name = format!("fleet-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let fleet = Self {
            daemons: seats.iter().map(|_| None).collect(),
            plan,
            seats,
            platforms,
            targets,
            proxy,
            folder,
            _turn: turn,
        };
        fleet.list(&fleet.all(), fleet.plan.listed_ago_ms);
        fleet
    }

    /// All seats.
    pub(crate) fn all(&self) -> Vec<usize> {
        (0..self.seats.len()).collect()
    }

    /// Seats for which a question holds.
    pub(crate) fn seats_where(&self, holds: impl Fn(&Seat) -> bool) -> Vec<usize> {
        let all = self.all().into_iter();
        all.filter(|index| holds(&self.seats[*index])).collect()
    }

    /// Seats of a failure domain.
    pub(crate) fn in_domain(&self, domain: &str) -> Vec<usize> {
        self.seats_where(|seat| seat.domain == domain)
    }

    /// Puts these seats on the instance lists; new ones as if listed some time ago.
    pub(crate) fn list(&self, seats: &[usize], listed_ago_ms: u64) {
        for side in 0..self.platforms.len() {
            let mut entries: Vec<Entry> = seats
                .iter()
                .map(|index| self.entry(*index, side, listed_ago_ms))
                .collect();
            entries.extend(self.plan.extra.iter().cloned());
            let listed = self.platforms[side].set_instances(entries);
            listed.expect("the list is sound");
        }
    }

    fn entry(&self, index: usize, side: usize, listed_ago_ms: u64) -> Entry {
        let seat = &self.seats[index];
        let peer = match seat.side == side {
            true => seat.peers,
            false => self.route(side, index),
        };
        Entry {
            id: Arc::from(&*seat.id),
            service: Arc::from(&*seat.service),
            domain: Arc::from(&*seat.domain),
            region: Arc::from(&*self.plan.region_of(seat.side)),
            peer,
            admin: seat.admin,
            listen: seat.callers,
            state: State::Live,
            listed_ago_ms,
        }
    }

    fn route(&self, side: usize, index: usize) -> SocketAddr {
        let name = plan::route_name(side, index);
        self.proxy.address(&name).expect("the route exists")
    }

    /// Cuts the sides off from each other, or joins them again.
    pub(crate) fn divide(&self, is_divided: bool) {
        let faults = proxy::fault::Faults {
            partition: is_divided,
            ..proxy::fault::Faults::default()
        };
        for route in self.proxy.status() {
            if &*route.name != "config" {
                self.proxy.set_faults(&route.name, faults);
            }
        }
    }

    /// Publishes a configuration on every side.
    pub(crate) fn publish(&self, version: u64, change: &Change) {
        for side in 0..self.platforms.len() {
            self.publish_at(side, version, change);
        }
    }

    /// Publishes a configuration on one side.
    pub(crate) fn publish_at(&self, side: usize, version: u64, change: &Change) {
        let published = self.platforms[side].publish(&self.plan.text(version, change));
        published.expect("the text has a version");
    }

    /// Takes both services of a side down, or the configuration service only.
    pub(crate) fn set_down(&self, side: usize, config: bool, list: bool) {
        let mut faults = fault::Faults::default();
        faults.config.down = config;
        faults.instances.down = list;
        self.platforms[side].set_faults(faults);
    }

    /// Starts the daemon of a seat.
    pub(crate) fn spawn(&mut self, index: usize) {
        let region = self.plan.region_of(self.seats[index].side);
        let daemon = Daemon::spawn(&self.seats[index], &region, &self.folder);
        self.daemons[index] = Some(daemon);
    }

    /// The running daemon of a seat.
    pub(crate) fn daemon(&self, index: usize) -> &Daemon {
        self.daemons[index].as_ref().expect("the daemon runs")
    }

    /// Kills the daemon of a seat; its log remains.
    pub(crate) fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Seats whose daemons run.
    pub(crate) fn running(&self) -> Vec<usize> {
        let all = self.all().into_iter();
        all.filter(|index| self.daemons[*index].is_some()).collect()
    }

    /// Addresses for callers of some seats.
    pub(crate) fn entries(&self, seats: &[usize]) -> Vec<SocketAddr> {
        seats
            .iter()
            .map(|index| self.seats[*index].callers)
            .collect()
    }

    /// What a daemon says about itself.
    pub(crate) async fn status(&self, index: usize) -> Option<Status> {
        daemon::status(self.seats[index].admin).await
    }

    /// Waits until all running daemons have a version in force and serve.
    pub(crate) async fn until_serving(&self, version: u64) -> Duration {
        let seats = self.running();
        self.until(&seats, PATIENCE, |status| {
            status.config_version == version && status.state.as_ref() != "unconfirmed"
        })
        .await
    }

    /// Waits until some daemons have a version in force, at most for the limit of the promise.
    pub(crate) async fn until_version(&self, seats: &[usize], version: u64) -> Duration {
        self.until(seats, CHANGE_LIMIT, |status| {
            status.config_version == version
        })
        .await
    }

    /// Waits until something holds for some daemons and tells how long that took.
    pub(crate) async fn until(
        &self,
        seats: &[usize],
        limit: Duration,
        holds: impl Fn(&Status) -> bool,
    ) -> Duration {
        let start = Instant::now();
        let mut open = seats.to_vec();
        loop {
            let statuses = futures::future::join_all(open.iter().map(|index| self.status(*index)));
            let statuses = statuses.await;
            let passed = start.elapsed();
            let pairs = open.iter().zip(&statuses);
            let missing: Vec<usize> = pairs
                .filter(|(_, status)| !status.as_ref().is_some_and(&holds))
                .map(|(index, _)| *index)
                .collect();
            if missing.is_empty() {
                return passed;
            }
            assert!(
                passed < limit,
                "after {passed:?} not so at {:?}: {statuses:?}",
                missing
                    .iter()
                    .map(|index| &self.seats[*index].id)
                    .collect::<Vec<_>>()
            );
            open = missing;
            tokio::time::sleep(LOOK).await;
        }
    }

    /// What the targets ran, once nothing runs any more.
    pub(crate) async fn account(&self) -> Vec<Run> {
        let start = Instant::now();
        while self
            .targets
            .status()
            .iter()
            .any(|status| status.in_flight > 0)
        {
            assert!(start.elapsed() < PATIENCE, "work does not end");
            tokio::time::sleep(LOOK).await;
        }
        self.targets.runs()
    }

    /// Work that the targets of some seats started at or after a moment.
    pub(crate) fn started_since(&self, runs: &[Run], seats: &[usize], since_us: u64) -> Vec<Run> {
        let is_here = |run: &Run| {
            seats
                .iter()
                .any(|index| self.seats[*index].id == *run.target)
        };
        runs.iter()
            .filter(|run| run.start_us >= since_us && is_here(run))
            .cloned()
            .collect()
    }
}

fn specs(plan: &Plan, seats: &[Seat]) -> Vec<Target> {
    let target = |seat: &Seat| {
        let mut target = Target::new(&seat.id, &seat.service, plan.service_us);
        target.cold.warm_after = 100;
        target
    };
    seats.iter().map(target).collect()
}

fn routes(plan: &Plan, seats: &[Seat], platforms: &[Platform]) -> Vec<Route> {
    let mut routes = vec![Route {
        name: Arc::from("config"),
        listen: free(),
        to: platforms[0].address(),
        protocol: Protocol::Tcp,
    }];
    for side in 0..plan.sides {
        for (index, seat) in seats.iter().enumerate() {
            if seat.side != side {
                routes.push(Route {
                    name: Arc::from(plan::route_name(side, index)),
                    listen: free(),
                    to: seat.peers,
                    protocol: Protocol::Both,
                });
            }
        }
    }
    routes
}

fn free() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn address(fleet: u16, index: usize, port: u16) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, middle, low));
    let seat = u16::try_from(index).expect("few seats") * PORTS_EACH;
    SocketAddr::new(ip, FIRST_PORT + fleet * PORTS + seat + port)
}
