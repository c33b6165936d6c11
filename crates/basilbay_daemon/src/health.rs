//! Watches the own target: whether it accepts connections, and what its load endpoint says.

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

use crate::body;
use crate::daemon::Daemon;

/// Time between two looks at the kept connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time in which a running target accepts a connection on its own instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time that the warnings of a crash get to reach the siblings before a request that was on the
/// target is answered, and so may be sent to one of them.
const WARNING_LEAD: Duration = Duration::from_millis(25);

/// Time until a target that seems to have survived a broken connection is looked at again.
const SECOND_LOOK: Duration = Duration::from_millis(10);

/// Time between two looks at the measuring budget.
const BUDGET_INTERVAL: Duration = Duration::from_millis(250);

/// Time that the load endpoint has to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a target has to answer a look on behalf of a request, which waits for it.
const LOOK_TIMEOUT: Duration = Duration::from_millis(40);

/// Looks in any second on behalf of requests. At 6 ms, the dearest that is known, they take half of
/// one slot; that many are needed only while requests wait for the end of a spell.
const MAX_LOOKS: usize = 80;

/// Largest answer of a load endpoint.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Longest cold start that a target is believed to have.
const MAX_COLD_SECONDS: f64 = 3600.0;

/// Result of a probe.
pub type Result<T> = anyhow::Result<T>;

/// What is known of the target's process.
#[derive(Debug, Default)]
pub struct Health {
    is_down: AtomicBool,
    judging: tokio::sync::Mutex<()>,
}

impl Health {
    /// Looks whether the target crashed after a connection to it broke.
    ///
    /// All requests of a crashed target break at about the same time. The first one here takes
    /// down which requests were on the target and warns the siblings; the others wait for that,
    /// so that no caller can resend before the siblings are warned.
    pub async fn check_after_disconnect(&self, daemon: &Arc<Daemon>) {
        let in_flight = daemon.admission.running();
        let _first = self.judging.lock().await;
        if self.is_down.load(Ordering::Acquire) {
            return;
        }
        if answers(daemon).await {
            // A process that dies closes its connections and its port one after the other.
            tokio::time::sleep(SECOND_LOOK).await;
            if answers(daemon).await {
                return;
            }
        }
        self.note_crash(daemon, &in_flight).await;
    }

    /// Notes whether connections to the target could be opened.
    ///
    /// This may be noticed before the first broken request is; the requests that are on the target
    /// are taken down here as well, since those that break later find the crash noted already.
    async fn note(&self, daemon: &Arc<Daemon>, is_up: bool) {
        let _first = self.judging.lock().await;
        if is_up {
            self.set_down(daemon, false);
            return;
        }
        let in_flight = daemon.admission.running();
        if self.is_down.load(Ordering::Acquire) || accepts(daemon).await {
            return;
        }
        self.note_crash(daemon, &in_flight).await;
    }

    async fn note_crash(&self, daemon: &Arc<Daemon>, in_flight: &[u64]) {
        self.set_down(daemon, true);
        daemon
            .suspects
            .record_crash(daemon, in_flight, Instant::now());
        if !in_flight.is_empty() {
            tokio::time::sleep(WARNING_LEAD).await;
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
        daemon.update_own_load();
        daemon.publish_load();
    }
}

async fn answers(daemon: &Daemon) -> bool {
    accepts(daemon).await && daemon.pool.open_count() > 0
}

async fn accepts(daemon: &Daemon) -> bool {
    let connecting = TcpStream::connect(daemon.settings.target);
    matches!(
        tokio::time::timeout(CONNECT_TIMEOUT, connecting).await,
        Ok(Ok(_))
    )
}

/// Finds out how the target is when the daemon starts.
///
/// A target that already accepts connections may run work that an earlier daemon handed to it.
pub async fn detect_start(target: SocketAddr) -> Startup {
    let connecting = TcpStream::connect(target);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => Startup::Restart,
        _ => Startup::Fresh,
    }
}

/// Keeps connections ready and notices when the target goes away or comes back.
pub async fn monitor(daemon: Arc<Daemon>) {
    loop {
        // A target that ends closes its idle connections too; while they are counted as kept, no
        // connection is opened and nothing shows that the target is gone.
        if daemon.pool.open_count() == 0 {
            daemon.pool.clear();
        }
        let is_up = daemon.pool.fill().await.is_ok();
        daemon.health.note(&daemon, is_up).await;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// What a load endpoint answers; fields that are absent say nothing.
#[derive(Debug, Deserialize)]
struct Reported {
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
}

/// Asks the load endpoint whenever the measuring budget allows it.
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
        let asked = match &service.contract.health_path {
            Some(path) => ask_health(&daemon, path).await,
            None => ask_load(&daemon).await,
        };
        match asked {
            Ok(report) => daemon.admission.observe(report),
            Err(error) => tracing::debug!(%error, "probe failed"),
        }
    }
}

/// Looks at the target whenever the gate asks for it, for as long as the daemon runs.
pub async fn probe_on_demand(daemon: Arc<Daemon>) {
    let mut looks = Window::new(Duration::from_secs(1));
    loop {
        daemon.admission.probe_requested().await;
        let saw = looks.try_record(MAX_LOOKS, Instant::now()) && look_once(&daemon).await;
        daemon.admission.probe_finished(saw);
    }
}

/// False when the target could not be looked at.
async fn look_once(daemon: &Daemon) -> bool {
    let view = daemon.view();
    let service = view.config.service(&daemon.settings.service);
    let Some(path) = service.and_then(|service| service.contract.health_path.clone()) else {
        return false;
    };
    match tokio::time::timeout(LOOK_TIMEOUT, ask_health(daemon, &path)).await {
        Ok(Ok(report)) => {
            daemon.admission.observe(report);
            true
        }
        Ok(Err(error)) => {
            tracing::debug!(%error, "look failed");
            false
        }
        Err(_) => {
            tracing::debug!("the target did not answer a look in {LOOK_TIMEOUT:?}");
            false
        }
    }
}

/// Asks the load endpoint.
async fn ask_load(daemon: &Daemon) -> Result<Report> {
    let (_, _, bytes) = probe(daemon, "/load").await?;
    let reported: Reported = serde_json::from_slice(&bytes)?;
    Ok(Report {
        in_flight: reported.in_flight,
        capacity: reported.slots,
        ready: !matches!(
            &*reported.state,
            "draining" | "leaving" | "shedding" | "down"
        ),
    })
}

/// Asks the health path, which states load and cold start in headers.
async fn ask_health(daemon: &Daemon, path: &str) -> Result<Report> {
    let (status, headers, _) = probe(daemon, path).await?;
    let dialect = &daemon.dialect;
    let own = daemon.local_target();
    let answering = headers.get(&dialect.responding_run);
    if let (Some(run), Some(answering)) = (&own.run, answering) {
        anyhow::ensure!(
            answering.as_bytes() == run.as_bytes(),
            "{run} was asked and {answering:?} answered"
        );
    }
    if status.is_success() {
        let left = headers
            .get(&dialect.cold_ms)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.trim().parse::<f64>().ok())
            .filter(|left| left.is_finite() && *left > 0.0)
            .unwrap_or(0.0);
        daemon.admission.observe_cold_start(Duration::from_secs_f64(
            (left / 1000.0).min(MAX_COLD_SECONDS),
        ));
    }
    let reading = dialect.load_sample(&headers);
    if let Some(reading) = reading {
        daemon.admission.observe_slowdown(reading.slowdown_percent);
    }
    let reading = reading.unwrap_or_default();
    Ok(Report {
        in_flight: reading.running,
        capacity: reading.slots,
        ready: status.is_success(),
    })
}

async fn probe(daemon: &Daemon, path: &str) -> Result<(StatusCode, HeaderMap, Bytes)> {
    let uri = format!("http://{}{path}", daemon.settings.target);
    let request = Request::get(uri).body(body::empty())?;
    let asking = async {
        let response = daemon.probe_client.request(request).await?;
        let (parts, incoming) = response.into_parts();
        let bytes = body::read_all(incoming, MAX_REPORT_BYTES).await?;
        Ok((parts.status, parts.headers, bytes))
    };
    tokio::time::timeout(PROBE_TIMEOUT, asking).await?
}
