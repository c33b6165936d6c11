//! Health checks of the local target.
//!
//! A connect check and the state of the pooled connections show whether the target's process runs;
//! probes of its health path or load endpoint report its load to admission control. Probes are sent
//! periodically within a budget, and on demand while a request waits for the result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use serde::Deserialize;
use tokio::net::TcpStream;

use basilbay_admission::gate::{Closed, Startup};
use basilbay_admission::probe::{Budget, Report};
use basilbay_admission::window::Window;
use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_keys::suspect::Run;
use basilbay_wire::load::State;

use crate::body;
use crate::daemon::Daemon;

/// Time between two checks of the pooled connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit for a connection to the target, which runs on the daemon's own instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for crash warnings to reach the siblings before a request that was running on the target is
/// answered: the caller may then retry it at one of them.
const CRASH_WARNING_DELAY: Duration = Duration::from_millis(25);

/// Time until a target that still accepts connections after one broke is checked a second time.
const RECHECK_DELAY: Duration = Duration::from_millis(10);

/// Longest time between two checks of the probe budget, so that a new configuration takes effect
/// soon.
const BUDGET_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for the response to an on-demand probe; short, because a request waits for the result.
const ON_DEMAND_TIMEOUT: Duration = Duration::from_millis(40);

/// Maximum number of on-demand probes within any second. At 6 ms each, the highest known cost of a
/// probe, they take half of one slot; that many are needed only while requests wait for the end of a
/// slowdown.
const MAX_ON_DEMAND_PROBES_PER_S: usize = 80;

/// Largest response body of a probe.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Upper limit for the remaining cold start that a target reports.
const MAX_COLD_START_S: f64 = 3600.0;

/// Result of a probe.
pub type Result<T> = anyhow::Result<T>;

/// State of the target's process, up or down.
#[derive(Debug, Default)]
pub struct Health {
    is_down: AtomicBool,
    /// Held during a check, so that a crash is handled once.
    check_lock: tokio::sync::Mutex<()>,
}

impl Health {
    /// Checks whether the target has crashed, after a connection to it broke.
    ///
    /// All requests on a crashed target fail at about the same time. The first caller records which
    /// requests were running on the target and warns the siblings; the others wait for that, so
    /// that no request can be resent before the siblings are warned.
    pub async fn check_after_disconnect(&self, daemon: &Arc<Daemon>) {
        let in_flight = daemon.admission.running();
        let _guard = self.check_lock.lock().await;
        if self.is_down.load(Ordering::Acquire) {
            return;
        }
        if is_alive(daemon).await {
            // A dying process closes its connections and its port one after the other, so its port
            // may still be open at the first check.
            tokio::time::sleep(RECHECK_DELAY).await;
            if is_alive(daemon).await {
                return;
            }
        }
        self.record_crash(daemon, &in_flight).await;
    }

    /// Updates the state after an attempt to open connections to the target.
    ///
    /// The attempt may fail before the first request does. The running requests are recorded
    /// here as well, since requests that fail later find the crash already recorded.
    async fn update(&self, daemon: &Arc<Daemon>, is_up: bool) {
        let _guard = self.check_lock.lock().await;
        if is_up {
            self.set_down(daemon, false);
            return;
        }
        let in_flight = daemon.admission.running();
        if self.is_down.load(Ordering::Acquire) || accepts_connections(daemon).await {
            return;
        }
        self.record_crash(daemon, &in_flight).await;
    }

    async fn record_crash(&self, daemon: &Arc<Daemon>, in_flight: &[Run]) {
        let is_leaving = daemon.admission.state() == State::Leaving;
        self.set_down(daemon, true);
        // A target that leaves by plan ends with the requests that it has not completed.
        if is_leaving {
            return;
        }
        daemon
            .suspects
            .record_crash(daemon, in_flight, Instant::now());
        if !in_flight.is_empty() {
            tokio::time::sleep(CRASH_WARNING_DELAY).await;
        }
    }

    fn set_down(&self, daemon: &Arc<Daemon>, is_down: bool) {
        let was_down = self.is_down.swap(is_down, Ordering::AcqRel);
        if was_down == is_down {
            return;
        }
        daemon.admission.set_closed(Closed::Down, is_down);
        if is_down {
            daemon.pool.clear();
            emit!(catalogue::TARGET_DOWN, target_address = %daemon.settings.target);
        } else {
            emit!(catalogue::TARGET_UP, target_address = %daemon.settings.target);
        }
        daemon.update_local_load();
        daemon.publish_load();
    }
}

/// Whether the target accepts connections and still holds some of the pooled ones.
async fn is_alive(daemon: &Daemon) -> bool {
    accepts_connections(daemon).await && daemon.pool.open_count() > 0
}

/// Whether the target accepts a connection within [`CONNECT_TIMEOUT`].
async fn accepts_connections(daemon: &Daemon) -> bool {
    let connecting = TcpStream::connect(daemon.settings.target);
    matches!(
        tokio::time::timeout(CONNECT_TIMEOUT, connecting).await,
        Ok(Ok(_))
    )
}

/// Detects at the start of the daemon whether the target already runs.
///
/// A target that already accepts connections may be running requests from a previous daemon.
pub async fn detect_start(target: SocketAddr) -> Startup {
    let connecting = TcpStream::connect(target);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => Startup::Restart,
        _ => Startup::Fresh,
    }
}

/// Keeps the connection pool filled and detects when the target goes down or comes back, until the
/// daemon stops.
pub async fn monitor(daemon: Arc<Daemon>) {
    loop {
        // A target that ends closes its idle connections too. Closed connections are removed from
        // the pool: while they counted as idle, none would be opened, and the end of the target
        // would go undetected.
        if daemon.pool.open_count() == 0 {
            daemon.pool.clear();
        }
        let is_up = daemon.pool.fill().await.is_ok();
        daemon.health.update(&daemon, is_up).await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Response of a load endpoint; an absent field reads as 0 or as an empty string.
#[derive(Debug, Deserialize)]
struct LoadReport {
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
}

/// Probes the target periodically within the probe budget, until the daemon stops.
pub async fn poll_load(daemon: Arc<Daemon>) {
    let mut budget: Option<Budget> = None;
    loop {
        let interval = budget.as_ref().map_or(BUDGET_INTERVAL, Budget::interval);
        tokio::time::sleep(interval.min(BUDGET_INTERVAL)).await;
        let view = daemon.view();
        let Some(service) = view.config.service(&daemon.settings.service) else {
            continue;
        };
        let now = Instant::now();
        let budget = budget.get_or_insert_with(|| Budget::new(&service.contract, now));
        budget.set_contract(&service.contract);
        if !budget.try_take(now) {
            continue;
        }
        let result = match &service.contract.health_path {
            Some(path) => probe_health(&daemon, path).await,
            None => probe_load(&daemon).await,
        };
        match result {
            Ok(report) => daemon.admission.observe(report),
            Err(error) => tracing::debug!(%error, "periodic probe of the target failed"),
        }
    }
}

/// Probes the target whenever admission control requests it, until the daemon stops.
pub async fn probe_on_demand(daemon: Arc<Daemon>) {
    let mut recent_probes = Window::new(Duration::from_secs(1));
    loop {
        daemon.admission.probe_requested().await;
        let succeeded = recent_probes.try_record(MAX_ON_DEMAND_PROBES_PER_S, Instant::now())
            && probe_once(&daemon).await;
        daemon.admission.probe_finished(succeeded);
    }
}

/// Sends one on-demand probe; returns whether it succeeded.
async fn probe_once(daemon: &Daemon) -> bool {
    let view = daemon.view();
    let service = view.config.service(&daemon.settings.service);
    let Some(path) = service.and_then(|service| service.contract.health_path.clone()) else {
        return false;
    };
    match tokio::time::timeout(ON_DEMAND_TIMEOUT, probe_health(daemon, &path)).await {
        Ok(Ok(report)) => {
            daemon.admission.observe(report);
            true
        }
        Ok(Err(error)) => {
            tracing::debug!(%error, "on-demand probe of the target failed");
            false
        }
        Err(_) => {
            tracing::debug!(
                "on-demand probe of the target received no response within {ON_DEMAND_TIMEOUT:?}"
            );
            false
        }
    }
}

/// Probes the load endpoint.
async fn probe_load(daemon: &Daemon) -> Result<Report> {
    let sent_at = Instant::now();
    let (_, headers, bytes) = get(daemon, "/load").await?;
    daemon.observe_notice(&headers, sent_at);
    let report: LoadReport = serde_json::from_slice(&bytes)?;
    Ok(Report {
        in_flight: report.in_flight,
        capacity: report.slots,
        ready: !matches!(&*report.state, "draining" | "leaving" | "shedding" | "down"),
    })
}

/// Probes the health path, whose response states load and remaining cold start in headers.
async fn probe_health(daemon: &Daemon, path: &str) -> Result<Report> {
    let sent_at = Instant::now();
    let (status, headers, _) = get(daemon, path).await?;
    let dialect = &daemon.dialect;
    let target = daemon.local_target();
    let is_expected = target.has_sent(&headers, dialect).unwrap_or(true);
    daemon.observe_run(&target, is_expected);
    anyhow::ensure!(
        is_expected,
        "probe of run {:?} received a response from another run",
        target.run
    );
    if status.is_success() {
        let cold_ms = headers
            .get(&dialect.cold_ms)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.trim().parse::<f64>().ok())
            .filter(|cold_ms| cold_ms.is_finite() && *cold_ms > 0.0)
            .unwrap_or(0.0);
        daemon.admission.observe_cold_start(Duration::from_secs_f64(
            (cold_ms / 1000.0).min(MAX_COLD_START_S),
        ));
    }
    daemon.observe_notice(&headers, sent_at);
    let sample = dialect.load_sample(&headers);
    if let Some(sample) = sample {
        daemon.admission.observe_slowdown(sample.slowdown_percent);
    }
    let sample = sample.unwrap_or_default();
    Ok(Report {
        in_flight: sample.running,
        capacity: sample.slots,
        ready: status.is_success(),
    })
}

/// Sends a GET request to the target.
async fn get(daemon: &Daemon, path: &str) -> Result<(StatusCode, HeaderMap, Bytes)> {
    let uri = format!("http://{}{path}", daemon.settings.target);
    let request = Request::get(uri).body(body::empty())?;
    let exchange = async {
        let response = daemon.probe_client.request(request).await?;
        let (parts, incoming) = response.into_parts();
        let bytes = body::read_all(incoming, MAX_REPORT_BYTES).await?;
        Ok((parts.status, parts.headers, bytes))
    };
    tokio::time::timeout(PROBE_TIMEOUT, exchange).await?
}
