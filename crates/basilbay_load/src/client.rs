//! Open-loop load generator: sends requests at planned times over keep-alive connections.
//!
//! A dedicated thread sleeps until each arrival and spawns the request on the runtime, so that slow
//! responses never delay later arrivals. Latency is measured from the planned time, which includes
//! any delay in sending (no coordinated omission). Each caller uses one daemon and fails over to
//! the next one when it cannot connect.

pub mod pool;
pub mod record;
mod send;

use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use basilbay_fakes::clock;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::plan::{Arrival, Plan, Stream};
use pool::Pool;
use record::Record;

/// Result of connecting or of a load run.
pub type Result<T> = anyhow::Result<T>;

/// Timer slack of the arrival thread, which the kernel may add to a sleep; its default is 50 us.
const TIMER_SLACK: Duration = Duration::from_nanos(1);

/// Time between the start of the arrival thread and the start of the plan.
const START_DELAY: Duration = Duration::from_millis(50);

/// Behaviour of the callers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Connections opened before the first request, in total over all daemons.
    pub connections: usize,
    /// Whether to use HTTP/2 with prior knowledge instead of HTTP/1.1.
    pub http2: bool,
    /// Whether a request with a key and an unknown outcome is sent again through another daemon.
    pub resend: bool,
    /// Time after the deadline for which callers still wait for a response.
    pub grace: Duration,
    /// Prefix of the request ids; must be unique within a fleet.
    pub prefix: Arc<str>,
}

impl Settings {
    /// Defaults: 280 HTTP/1.1 connections, resends of requests with a key, 1 s of grace.
    pub fn new(prefix: &str) -> Self {
        Self {
            connections: 280,
            http2: false,
            resend: true,
            grace: Duration::from_secs(1),
            prefix: Arc::from(prefix),
        }
    }
}

/// State shared by the requests of a run.
struct Session {
    settings: Settings,
    streams: Vec<Stream>,
    pools: Vec<Arc<Pool>>,
    /// Start of the plan; `start_us` is the same moment in microseconds since the Unix epoch.
    start: Instant,
    start_us: u64,
}

/// Cancels the arrival thread when the run is dropped.
struct Guard(Arc<AtomicBool>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Load generator with open connections to a fleet.
pub struct Generator {
    settings: Settings,
    pools: Vec<Arc<Pool>>,
}

impl Generator {
    /// Opens connections to all daemons.
    pub async fn connect(settings: Settings, addresses: &[SocketAddr]) -> Result<Self> {
        let mut pools = Vec::new();
        for address in addresses {
            let pool = Pool::new(*address, settings.http2);
            pool.preconnect(settings.connections.div_ceil(addresses.len()))
                .await
                .with_context(|| format!("cannot connect to daemon {address}"))?;
            pools.push(Arc::new(pool));
        }
        Ok(Self { settings, pools })
    }

    /// Sets the prefix of the request ids.
    pub fn set_prefix(&mut self, prefix: &str) {
        self.settings.prefix = Arc::from(prefix);
    }

    /// Sends all requests of a plan, waits for their outcomes and returns them by planned time.
    pub async fn run(&self, plan: &Plan) -> Result<Vec<Record>> {
        let session = Arc::new(Session {
            settings: self.settings.clone(),
            streams: plan.streams.clone(),
            pools: self.pools.clone(),
            start: Instant::now() + START_DELAY,
            start_us: clock::unix_us() + START_DELAY.as_micros() as u64,
        });
        let guard = Guard(Arc::new(AtomicBool::new(false)));
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let arrivals = plan.arrivals.clone();
        let is_cancelled = guard.0.clone();
        let handle = Handle::current();
        std::thread::Builder::new()
            .name("arrivals".to_owned())
            .spawn(move || dispatch(&session, &arrivals, &handle, &sender, &is_cancelled))?;
        let mut records = Vec::with_capacity(plan.arrivals.len());
        while let Some(record) = receiver.recv().await {
            records.push(record);
        }
        records.sort_by_key(|record: &Record| record.due_us);
        Ok(records)
    }
}

/// Sleeps until each arrival and spawns its request on the runtime; runs on the arrival thread.
fn dispatch(
    session: &Arc<Session>,
    arrivals: &[Arrival],
    handle: &Handle,
    sender: &mpsc::UnboundedSender<Record>,
    is_cancelled: &AtomicBool,
) {
    // With the default slack the kernel may wake the thread later. A failure to set it is ignored,
    // because late wake-ups show in the measured lag.
    let slack = NonZeroU64::new(TIMER_SLACK.as_nanos() as u64);
    let _ = rustix::thread::set_current_timer_slack(slack);
    for (number, arrival) in arrivals.iter().enumerate() {
        let due = session.start + arrival.at;
        let remaining = due.saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            std::thread::sleep(remaining);
        }
        if is_cancelled.load(Ordering::Relaxed) {
            return;
        }
        let session = session.clone();
        let sender = sender.clone();
        let arrival = *arrival;
        handle.spawn(async move {
            let record = send::request(&session, number, arrival).await;
            // The receiver is gone once the run was dropped.
            let _ = sender.send(record);
        });
    }
}
