//! Measures the control plane of a fleet of one size: idle, during changes and after faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::platform::fault::{Config, Faults, List};
use serde::{Deserialize, Serialize};

use super::observer::Observer;
use super::plan::{self, SERVICES};
use super::{Idle, Result, Spread, idle, load_average};
use crate::fleet::{Fleet, platform_calls};

/// Wait after a start or a fault until control traffic is back at the idle level.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Number of configuration changes.
const CONFIG_CHANGES: u32 = 5;

/// Number of roster changes, of full restarts and of flapping phases.
const ROUNDS: usize = 2;

/// Time after a change over which its bytes are counted.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);

/// Time over which the baseline traffic is counted.
const BASELINE_WINDOW: Duration = Duration::from_secs(3);

/// Seconds for which platform reads are counted after a restart and during flapping.
const OBSERVED_SECONDS: usize = 4;

/// Measurements of one fleet size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Size {
    /// Number of daemons.
    pub daemons: usize,
    /// Load average of the machine before and after the measurement.
    pub load_average: Spread,
    /// Cost without calls and changes.
    pub idle: Idle,
    /// Time in ms from publishing a configuration until it is active on all daemons.
    pub change_ms: Spread,
    /// Control traffic of a configuration change above the baseline.
    pub change_bytes: Traffic,
    /// Control traffic of an instance list change above the baseline.
    pub roster_bytes: Traffic,
    /// Platform reads per second of the whole fleet without changes.
    pub reads_steady: Spread,
    /// Peak platform reads per second after a restart of all daemons.
    pub reads_restart: Spread,
    /// Peak platform reads per second while the platform is up and down in alternate seconds.
    pub reads_flapping: Spread,
    /// Time in ms from the start of all daemons until all are ready.
    pub restart_ms: Spread,
}

pub(super) async fn measure(daemons: usize) -> Result<Size> {
    let before = load_average()?;
    let mut fleet = Fleet::start(plan::deployment(daemons, SERVICES)?).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let observer = Observer::connect(&fleet).await?;
    let idle = idle::measure(&fleet, &observer).await?;
    let reads_steady = Spread::from_values(platform_reads_per_s(fleet.platform_address).await?);
    let meter = Meter::start(&observer, &idle.is_reader).await?;
    let (change_ms, change_bytes) = measure_config_changes(&mut fleet, &observer, &meter).await?;
    let (restart_ms, reads_restart) = measure_restarts(&mut fleet).await?;
    let reads_flapping = measure_flapping(&mut fleet).await?;
    let observer = Observer::connect(&fleet).await?;
    let roster_bytes = measure_roster_changes(&mut fleet, &observer, &meter).await?;
    fleet.stop();
    Ok(Size {
        daemons,
        load_average: Spread::from_values([before, load_average()?]),
        idle,
        change_ms,
        change_bytes,
        roster_bytes,
        reads_steady,
        reads_restart,
        reads_flapping,
        restart_ms,
    })
}

/// Control bytes received by readers and by other daemons, and sent by all daemons.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    readers: f64,
    others: f64,
    sent: f64,
}

/// Counts control bytes above the baseline.
struct Meter {
    is_reader: Vec<bool>,
    /// Bytes per second without changes.
    baseline: Sample,
}

impl Meter {
    async fn start(observer: &Observer, is_reader: &[bool]) -> Result<Self> {
        let mut meter = Self {
            is_reader: is_reader.to_vec(),
            baseline: Sample::default(),
        };
        let start = Instant::now();
        let before = meter.count(observer).await?;
        tokio::time::sleep(BASELINE_WINDOW).await;
        let after = meter.count(observer).await?;
        let seconds = start.elapsed().as_secs_f64();
        meter.baseline = Sample {
            readers: (after.readers - before.readers) / seconds,
            others: (after.others - before.others) / seconds,
            sent: (after.sent - before.sent) / seconds,
        };
        Ok(meter)
    }

    /// Bytes since the start of the daemons.
    async fn count(&self, observer: &Observer) -> Result<Sample> {
        let mut sample = Sample::default();
        for (control, is_reader) in observer.counters().await?.iter().zip(&self.is_reader) {
            let received = control.bytes_received as f64;
            if *is_reader {
                sample.readers += received;
            } else {
                sample.others += received;
            }
            sample.sent += control.bytes_sent as f64;
        }
        Ok(sample)
    }

    /// Bytes per daemon since `before` was counted at the instant `from`, without the baseline
    /// traffic.
    async fn excess(&self, observer: &Observer, before: Sample, from: Instant) -> Result<Sample> {
        let after = self.count(observer).await?;
        let seconds = from.elapsed().as_secs_f64();
        let daemons = self.is_reader.len() as f64;
        let readers = self.is_reader.iter().filter(|reader| **reader).count() as f64;
        let above_baseline =
            |after: f64, before: f64, baseline: f64| after - before - baseline * seconds;
        let baseline = self.baseline;
        Ok(Sample {
            readers: above_baseline(after.readers, before.readers, baseline.readers)
                / readers.max(1.0),
            others: above_baseline(after.others, before.others, baseline.others)
                / (daemons - readers).max(1.0),
            sent: above_baseline(after.sent, before.sent, baseline.sent) / daemons,
        })
    }
}

/// Control bytes of a change per daemon, above the baseline.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Received by a reader.
    pub readers: Spread,
    /// Received by a daemon that is not a reader.
    pub others: Spread,
    /// Sent; mean over all daemons.
    pub sent: Spread,
}

impl Traffic {
    fn from_samples(samples: &[Sample]) -> Self {
        Self {
            readers: Spread::from_values(samples.iter().map(|sample| sample.readers)),
            others: Spread::from_values(samples.iter().map(|sample| sample.others)),
            sent: Spread::from_values(samples.iter().map(|sample| sample.sent)),
        }
    }
}

async fn measure_config_changes(
    fleet: &mut Fleet,
    observer: &Observer,
    meter: &Meter,
) -> Result<(Spread, Traffic)> {
    let mut times = Vec::new();
    let mut samples = Vec::new();
    let section = format!("service {}", plan::service_id(SERVICES - 1));
    for change in 1..=CONFIG_CHANGES {
        let from = Instant::now();
        let before = meter.count(observer).await?;
        let queue = (18 + change).to_string();
        let start = Instant::now();
        let version = fleet.update_config(&[(&section, "queue", &queue)]).await?;
        observer.wait_for_version(version).await?;
        times.push(start.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(CHANGE_WINDOW).await;
        samples.push(meter.excess(observer, before, from).await?);
    }
    Ok((Spread::from_values(times), Traffic::from_samples(&samples)))
}

async fn measure_roster_changes(
    fleet: &mut Fleet,
    observer: &Observer,
    meter: &Meter,
) -> Result<Traffic> {
    let mut samples = Vec::new();
    for index in 0..ROUNDS {
        tokio::time::sleep(SETTLE_TIME).await;
        let from = Instant::now();
        let before = meter.count(observer).await?;
        fleet.mark_leaving(index).await?;
        tokio::time::sleep(2 * CHANGE_WINDOW).await;
        samples.push(meter.excess(observer, before, from).await?);
    }
    Ok(Traffic::from_samples(&samples))
}

async fn measure_restarts(fleet: &mut Fleet) -> Result<(Spread, Spread)> {
    let mut times = Vec::new();
    let mut peaks = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        fleet.restart_all()?;
        let reads = tokio::spawn(platform_reads_per_s(fleet.platform_address));
        fleet.wait_until_ready().await?;
        times.push(start.elapsed().as_secs_f64() * 1e3);
        peaks.push(Spread::from_values(reads.await??).high);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok((Spread::from_values(times), Spread::from_values(peaks)))
}

async fn measure_flapping(fleet: &mut Fleet) -> Result<Spread> {
    let mut peaks = Vec::new();
    for _ in 0..ROUNDS {
        let reads = tokio::spawn(platform_reads_per_s(fleet.platform_address));
        for second in 0..OBSERVED_SECONDS {
            let down = second % 2 == 0;
            fleet.set_platform_faults(&outage(down)).await?;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        fleet.set_platform_faults(&outage(false)).await?;
        peaks.push(Spread::from_values(reads.await??).high);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(Spread::from_values(peaks))
}

fn outage(down: bool) -> Faults {
    Faults {
        config: Config {
            down,
            ..Config::default()
        },
        instances: List {
            down,
            ..List::default()
        },
    }
}

/// Platform reads per second over [`OBSERVED_SECONDS`], failed reads included.
async fn platform_reads_per_s(platform: SocketAddr) -> Result<Vec<f64>> {
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    let mut rates = Vec::new();
    let mut last = None;
    while rates.len() < OBSERVED_SECONDS {
        ticks.tick().await;
        let calls = platform_calls(platform).await?.total.calls;
        let now = Instant::now();
        if let Some((before, at)) = last.replace((calls, now)) {
            let seconds = now.duration_since(at).as_secs_f64();
            rates.push((calls - before) as f64 / seconds);
        }
    }
    Ok(rates)
}
