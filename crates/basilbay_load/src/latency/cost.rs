//! Memory and CPU of a daemon, read from `/proc`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use serde::{Deserialize, Serialize};

use super::{Result, call, service_id};
use crate::client::pool::Pool;
use crate::fleet::Fleet;
use crate::table;

/// Length of one measurement window.
const WINDOW: Duration = Duration::from_secs(3);

/// Time between two calls at the moderate rate of 100 calls/s.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Concurrent calls at the highest rate.
const CONCURRENCY: usize = 64;

/// Cost of one daemon over one measurement window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cost {
    /// Description of the load.
    pub load: String,
    /// Completed calls per second.
    pub rate: f64,
    /// CPU time divided by wall time; 1 is a whole core.
    pub cores: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
}

/// Renders the costs as a text table.
pub fn table(costs: &[Cost]) -> String {
    let rows = costs.iter().map(|cost| {
        vec![
            cost.load.clone(),
            format!("{:.0}", cost.rate),
            format!("{:.2}%", cost.cores * 100.0),
            format!("{:.1}", cost.resident_mb),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    table::render(
        &["one daemon", "calls/s", "% of a core", "resident MB"],
        &rows,
    )
}

/// Measures the first daemon: idle, at 100 calls/s, and at its highest rate.
pub async fn measure(fleet: &mut Fleet) -> Result<Vec<Cost>> {
    let process = fleet
        .process_id(0)
        .context("the first daemon is not running")?;
    let entry = fleet.members[0].caller_address;
    let mut costs = Vec::new();
    eprintln!("  one daemon: idle");
    costs.push(measure_window("idle", process, async { Ok(0) }).await?);
    eprintln!("  one daemon: 100 calls/s");
    let pool = Arc::new(Pool::new(entry, false));
    costs.push(measure_window("100 calls/s", process, call_at_interval(&pool)).await?);
    eprintln!("  one daemon: highest rate");
    costs.push(
        measure_window(
            "highest rate, 64 in flight",
            process,
            call_concurrently(&pool),
        )
        .await?,
    );
    Ok(costs)
}

/// Runs `calls` within one window and reads the CPU time before and after.
async fn measure_window(
    load: &str,
    process: u32,
    calls: impl Future<Output = Result<u64>>,
) -> Result<Cost> {
    let start = Instant::now();
    let before = cpu_time(process)?;
    let calls = calls.await?;
    tokio::time::sleep(WINDOW.saturating_sub(start.elapsed())).await;
    let wall = start.elapsed().as_secs_f64();
    Ok(Cost {
        load: load.to_owned(),
        rate: calls as f64 / wall,
        cores: (cpu_time(process)? - before).as_secs_f64() / wall,
        resident_mb: read_resident_mb(process)?,
    })
}

async fn call_at_interval(pool: &Pool) -> Result<u64> {
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    let deadline = Instant::now() + WINDOW;
    let mut calls = 0;
    while Instant::now() < deadline {
        ticks.tick().await;
        call(pool, &service_id(0), "").await?;
        calls += 1;
    }
    Ok(calls)
}

async fn call_concurrently(pool: &Arc<Pool>) -> Result<u64> {
    let calls = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENCY {
        let (pool, calls, stop) = (pool.clone(), calls.clone(), stop.clone());
        tasks.push(tokio::spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                // Calls refused at the limit are not counted.
                if call(&pool, &service_id(0), "").await.is_ok() {
                    calls.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    tokio::time::sleep(WINDOW).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await?;
    }
    Ok(calls.load(Ordering::Relaxed))
}

/// CPU time of a process, ended threads included.
pub fn cpu_time(process: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The program name is in parentheses and may contain spaces.
    let (_, rest) = text
        .rsplit_once(')')
        .with_context(|| format!("/proc/{process}/stat has no program name"))?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields
        .get(11)
        .with_context(|| format!("/proc/{process}/stat has no user time"))?
        .parse()?;
    let system: u64 = fields
        .get(12)
        .with_context(|| format!("/proc/{process}/stat has no system time"))?
        .parse()?;
    let ticks = rustix::param::clock_ticks_per_second().max(1);
    Ok(Duration::from_secs_f64(
        (user + system) as f64 / ticks as f64,
    ))
}

/// Resident memory of a process in MB.
pub fn read_resident_mb(process: u32) -> Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: f64 = value
        .with_context(|| format!("/proc/{process}/status has no VmRSS"))?
        .parse()?;
    Ok(kilobytes / 1024.0)
}
