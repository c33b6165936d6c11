//! `capacity`: growth of the control plane's cost with the size of a fleet.
//!
//! Each size is a fleet of real daemons without callers, so that all its CPU and traffic belong to
//! the control plane. The cost of calls is measured in a separate fleet, as the slope of CPU
//! against calls per second, which excludes the idle cost of a daemon. Both together extrapolate to
//! fleets that are too large for one machine.

mod calls;
mod idle;
mod memory;
mod observer;
mod plan;
mod size;
mod spread;

use serde::{Deserialize, Serialize};

use crate::table;
pub use calls::Calls;
pub use idle::Idle;
pub use memory::Memory;
pub use size::{Size, Traffic};
pub use spread::Spread;

/// Result of a measurement.
pub type Result<T> = anyhow::Result<T>;

/// Default fleet sizes in daemons, separated by commas as on the command line.
pub const DEFAULT_SIZES: &str = "25,50,100,200";

/// Result of all capacity measurements.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Measurements by fleet size.
    pub sizes: Vec<Size>,
    /// CPU cost of calls.
    pub calls: Calls,
    /// Memory by number of services in the configuration.
    pub memory: Vec<Memory>,
}

/// Measures fleets of the given sizes one after the other, then calls and memory.
pub async fn run(sizes: &[usize]) -> Result<Report> {
    let mut measured = Vec::new();
    for daemons in sizes {
        eprintln!("capacity: {daemons} daemons");
        let size = size::measure(*daemons).await?;
        eprintln!("{}", render_sizes(std::slice::from_ref(&size)));
        measured.push(size);
    }
    eprintln!("capacity: cost of calls");
    let calls = calls::measure().await?;
    eprintln!("capacity: memory by services");
    let memory = memory::measure().await?;
    Ok(Report {
        sizes: measured,
        calls,
        memory,
    })
}

/// Load average of the machine over the last minute.
fn load_average() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

impl Report {
    /// Renders the result as text tables.
    pub fn table(&self) -> String {
        [
            render_sizes(&self.sizes),
            self.calls.table(),
            memory::table(&self.memory),
        ]
        .join("\n\n")
    }
}

/// Row label of a metric, and how to read it from a measurement.
type Metric = (&'static str, fn(&Size) -> Spread);

/// Metrics in the order of the table's rows.
const METRICS: [Metric; 26] = [
    ("load average", |size| size.load_average),
    ("idle: CPU, % of a core, mean of all", |size| {
        size.idle.mean_cpu_percent
    }),
    ("idle: CPU of others, % of a core", |size| {
        size.idle.cpu_percent
    }),
    ("idle: CPU of readers, % of a core", |size| {
        size.idle.reader_cpu_percent
    }),
    ("idle: VmRSS, MB", |size| size.idle.resident_mb),
    ("others: B/s sent", |size| size.idle.others.bytes_sent),
    ("others: B/s received", |size| {
        size.idle.others.bytes_received
    }),
    ("others: datagrams/s sent", |size| {
        size.idle.others.datagrams_sent
    }),
    ("others: datagrams/s received", |size| {
        size.idle.others.datagrams_received
    }),
    ("others: HTTP exchanges/s", |size| {
        size.idle.others.exchanges
    }),
    ("readers: B/s sent", |size| size.idle.readers.bytes_sent),
    ("readers: B/s received", |size| {
        size.idle.readers.bytes_received
    }),
    ("readers: datagrams/s sent", |size| {
        size.idle.readers.datagrams_sent
    }),
    ("readers: datagrams/s received", |size| {
        size.idle.readers.datagrams_received
    }),
    ("readers: HTTP exchanges/s", |size| {
        size.idle.readers.exchanges
    }),
    ("change: ms until in force on all", |size| size.change_ms),
    ("change: B received by a reader", |size| {
        size.change_bytes.readers
    }),
    ("change: B received by another", |size| {
        size.change_bytes.others
    }),
    ("change: B sent, mean", |size| size.change_bytes.sent),
    ("list change: B received by a reader", |size| {
        size.roster_bytes.readers
    }),
    ("list change: B received by another", |size| {
        size.roster_bytes.others
    }),
    ("list change: B sent, mean", |size| size.roster_bytes.sent),
    ("platform: reads/s steady", |size| size.reads_steady),
    ("platform: reads/s at most, after a restart", |size| {
        size.reads_restart
    }),
    ("platform: reads/s at most, flapping", |size| {
        size.reads_flapping
    }),
    ("restart: ms until all serve", |size| size.restart_ms),
];

/// Renders a table with a column per fleet size; each cell has the lowest, median and highest
/// value.
fn render_sizes(sizes: &[Size]) -> String {
    let mut header = vec!["lowest / median / highest".to_owned()];
    header.extend(sizes.iter().map(|size| size.daemons.to_string()));
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    let rows = METRICS.iter().map(|(name, metric)| {
        let mut row = vec![(*name).to_owned()];
        row.extend(sizes.iter().map(|size| metric(size).to_string()));
        row
    });
    let mut rows: Vec<Vec<String>> = rows.collect();
    let mut readers = vec!["readers".to_owned()];
    readers.extend(sizes.iter().map(|size| size.idle.reader_count.to_string()));
    rows.insert(0, readers);
    table::render(&header, &rows)
}
