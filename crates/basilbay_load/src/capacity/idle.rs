//! Idle cost of daemons: CPU, memory and control traffic without calls and without changes.

use std::time::{Duration, Instant};

use anyhow::Context;
use basilbay_admin::Control;
use serde::{Deserialize, Serialize};

use super::observer::Observer;
use super::{Result, Spread};
use crate::fleet::Fleet;
use crate::latency::cost::{cpu_time, read_resident_mb};

/// Length of one measurement window.
const WINDOW: Duration = Duration::from_secs(8);

/// Number of windows; every value is measured in each of them.
const WINDOWS: usize = 2;

/// Minimum platform reads per second of a daemon that counts as a reader; readers poll the instance
/// list every 500 ms.
const MIN_READER_READS_PER_S: f64 = 1.0;

/// Control traffic of a daemon per second; spreads over the windows of the means over daemons.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Rate {
    /// Datagrams sent.
    pub datagrams_sent: Spread,
    /// Datagrams received.
    pub datagrams_received: Spread,
    /// Bytes sent.
    pub bytes_sent: Spread,
    /// Bytes received.
    pub bytes_received: Spread,
    /// HTTP requests with their responses; the byte counts exclude their headers.
    pub exchanges: Spread,
}

/// Idle cost of a daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Idle {
    /// Number of daemons that read the platform.
    pub reader_count: usize,
    /// Whether each daemon reads the platform, in the order of the fleet's members.
    #[serde(skip)]
    pub is_reader: Vec<bool>,
    /// Mean CPU over all daemons, in percent of a core; spread over the windows.
    pub mean_cpu_percent: Spread,
    /// CPU of daemons that are not readers, in percent of a core; spread over daemons and windows.
    pub cpu_percent: Spread,
    /// CPU of readers, in percent of a core; spread over daemons and windows.
    pub reader_cpu_percent: Spread,
    /// Resident memory in MB; spread over all daemons.
    pub resident_mb: Spread,
    /// Traffic of daemons that are not readers.
    pub others: Rate,
    /// Traffic of readers.
    pub readers: Rate,
}

/// Increase of the counters and mean CPU of all daemons over one window.
struct Window {
    seconds: f64,
    counters: Vec<Control>,
    cores: Vec<f64>,
}

impl Window {
    fn is_reader(&self, index: usize) -> bool {
        self.counters[index].platform_reads as f64 / self.seconds >= MIN_READER_READS_PER_S
    }

    fn mean_percent(&self) -> f64 {
        self.cores.iter().sum::<f64>() * 100.0 / self.cores.len() as f64
    }

    /// Mean increase of a counter per second, over the readers or over the other daemons; `None` if
    /// there is no such daemon.
    fn mean(&self, readers: bool, counter: fn(&Control) -> u64) -> Option<f64> {
        let chosen = (0..self.counters.len()).filter(|index| self.is_reader(*index) == readers);
        let values: Vec<u64> = chosen.map(|index| counter(&self.counters[index])).collect();
        let sum: u64 = values.iter().sum();
        (!values.is_empty()).then(|| sum as f64 / values.len() as f64 / self.seconds)
    }
}

pub(super) async fn measure(fleet: &Fleet, observer: &Observer) -> Result<Idle> {
    let mut windows = Vec::new();
    for _ in 0..WINDOWS {
        windows.push(measure_window(fleet, observer).await?);
    }
    let last = windows.last().context("no measurement window")?;
    let is_reader = (0..last.counters.len()).map(|index| last.is_reader(index));
    let is_reader: Vec<bool> = is_reader.collect();
    Ok(Idle {
        reader_count: is_reader.iter().filter(|reader| **reader).count(),
        is_reader,
        mean_cpu_percent: Spread::from_values(windows.iter().map(Window::mean_percent)),
        cpu_percent: cpu_percent(&windows, false),
        reader_cpu_percent: cpu_percent(&windows, true),
        resident_mb: resident_mb(fleet)?,
        others: traffic(&windows, false),
        readers: traffic(&windows, true),
    })
}

async fn measure_window(fleet: &Fleet, observer: &Observer) -> Result<Window> {
    let start = Instant::now();
    let before = observer.counters().await?;
    let cpu_before = all_cpu_seconds(fleet)?;
    let cpu_start = Instant::now();
    tokio::time::sleep(WINDOW).await;
    let cpu_after = all_cpu_seconds(fleet)?;
    let cpu_seconds = cpu_start.elapsed().as_secs_f64();
    let seconds = start.elapsed().as_secs_f64();
    let after = observer.counters().await?;
    let counters = before.iter().zip(&after);
    let cores = cpu_before.iter().zip(&cpu_after);
    Ok(Window {
        seconds,
        counters: counters
            .map(|(before, after)| difference(before, after))
            .collect(),
        cores: cores
            .map(|(before, after)| (after - before) / cpu_seconds)
            .collect(),
    })
}

fn difference(before: &Control, after: &Control) -> Control {
    Control {
        datagrams_sent: after.datagrams_sent - before.datagrams_sent,
        datagrams_received: after.datagrams_received - before.datagrams_received,
        bytes_sent: after.bytes_sent - before.bytes_sent,
        bytes_received: after.bytes_received - before.bytes_received,
        exchanges: after.exchanges - before.exchanges,
        platform_reads: after.platform_reads - before.platform_reads,
    }
}

fn all_cpu_seconds(fleet: &Fleet) -> Result<Vec<f64>> {
    let daemons = (0..fleet.members.len()).map(|index| {
        let process = fleet
            .process_id(index)
            .with_context(|| format!("daemon {index} is not running"))?;
        Ok(cpu_time(process)?.as_secs_f64())
    });
    daemons.collect()
}

/// Resident memory in MB; spread over all daemons of a fleet.
pub(super) fn resident_mb(fleet: &Fleet) -> Result<Spread> {
    let daemons = (0..fleet.members.len()).map(|index| {
        let process = fleet
            .process_id(index)
            .with_context(|| format!("daemon {index} is not running"))?;
        read_resident_mb(process)
    });
    Ok(Spread::from_values(daemons.collect::<Result<Vec<f64>>>()?))
}

fn cpu_percent(windows: &[Window], readers: bool) -> Spread {
    let all = windows.iter().flat_map(|window| {
        let cores = window.cores.iter().enumerate();
        let chosen = cores.filter(move |(index, _)| window.is_reader(*index) == readers);
        chosen.map(|(_, cores)| cores * 100.0)
    });
    Spread::from_values(all)
}

fn traffic(windows: &[Window], readers: bool) -> Rate {
    let spread = |counter: fn(&Control) -> u64| {
        Spread::from_values(
            windows
                .iter()
                .filter_map(|window| window.mean(readers, counter)),
        )
    };
    Rate {
        datagrams_sent: spread(|counters| counters.datagrams_sent),
        datagrams_received: spread(|counters| counters.datagrams_received),
        bytes_sent: spread(|counters| counters.bytes_sent),
        bytes_received: spread(|counters| counters.bytes_received),
        exchanges: spread(|counters| counters.exchanges),
    }
}
