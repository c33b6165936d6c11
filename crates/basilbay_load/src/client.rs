//! Callers: send requests at planned times over kept connections, whatever the answers do.
//!
//! A thread of its own sleeps until each arrival and hands the request to the runtime, so that
//! late answers never slow the arrivals. Latency counts from the planned time. Each caller uses
//! one daemon and goes to the next one when it cannot connect.

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

/// Result of a run of callers.
pub type Result<T> = anyhow::Result<T>;

/// Delay that the kernel may add to a sleep of the arrival thread; its default is 50 us.
const TIMER_SLACK: Duration = Duration::from_nanos(1);

/// Time between the start of the arrival thread and the first planned moment.
const START_DELAY: Duration = Duration::from_millis(50);

/// How callers behave.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Connections opened before the first request, over all daemons.
    pub connections: usize,
    /// Whether to speak HTTP/2 with prior knowledge.
    pub http2: bool,
    /// Whether a keyed request of unknown outcome is sent again through another daemon.
    pub resend: bool,
    /// Time after the deadline in which a late answer is still read.
    pub grace: Duration,
    /// Prefix of the request ids; unique within a fleet.
    pub name: Arc<str>,
}

impl Settings {
    /// Several hundred HTTP/1.1 connections, and resends of keyed requests.
    pub fn new(name: &str) -> Self {
        Self {
            connections: 280,
            http2: false,
            resend: true,
            grace: Duration::from_secs(1),
            name: Arc::from(name),
        }
    }
}

/// What the requests of a run share.
struct Session {
    settings: Settings,
    streams: Vec<Stream>,
    pools: Vec<Arc<Pool>>,
    /// Both clocks at the first planned moment.
    start: Instant,
    start_us: u64,
}

/// Ends the arrival thread when the run is given up.
struct Guard(Arc<AtomicBool>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Callers with open connections to a fleet.
pub struct Generator {
    settings: Settings,
    pools: Vec<Arc<Pool>>,
}

impl Generator {
    /// Opens the connections.
    pub async fn connect(settings: Settings, entries: &[SocketAddr]) -> Result<Self> {
        let mut pools = Vec::new();
        for address in entries {
            let pool = Pool::new(*address, settings.http2);
            pool.preconnect(settings.connections.div_ceil(entries.len()))
                .await
                .with_context(|| format!("daemon {address}"))?;
            pools.push(Arc::new(pool));
        }
        Ok(Self { settings, pools })
    }

    /// Changes the prefix of the request ids.
    pub fn rename(&mut self, name: &str) {
        self.settings.name = Arc::from(name);
    }

    /// Sends all requests of a plan and waits until each one has ended.
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

fn dispatch(
    session: &Arc<Session>,
    arrivals: &[Arrival],
    handle: &Handle,
    sender: &mpsc::UnboundedSender<Record>,
    is_cancelled: &AtomicBool,
) {
    // Without this the kernel may wake the thread later; the measured lag shows it.
    let slack = NonZeroU64::new(TIMER_SLACK.as_nanos() as u64);
    let _ = rustix::thread::set_current_timer_slack(slack);
    for (number, arrival) in arrivals.iter().enumerate() {
        let due = session.start + arrival.at;
        let left = due.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            std::thread::sleep(left);
        }
        if is_cancelled.load(Ordering::Relaxed) {
            return;
        }
        let session = session.clone();
        let sender = sender.clone();
        let arrival = *arrival;
        handle.spawn(async move {
            let record = send::request(&session, number, arrival).await;
            // Nobody waits for the record once the run was given up.
            let _ = sender.send(record);
        });
    }
}
