//! CPU of a call at the daemon that takes it and at the daemon of its target.

use std::time::{Duration, Instant};

use anyhow::Context;
use serde::{Deserialize, Serialize};

use super::{Result, Spread, load_average};
use crate::client::pool::Pool;
use crate::fleet::Fleet;
use crate::latency::{self, cost::cpu_time};
use crate::table;

/// Calls a second.
const RATES_PER_S: [u32; 4] = [0, 50, 100, 200];

/// Length of one stretch.
const WINDOW: Duration = Duration::from_secs(4);

/// Times that all rates are measured.
const ROUNDS: usize = 2;

/// A daemon at one rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    /// Calls a second that were answered.
    pub rate: f64,
    /// CPU of the daemon that took the calls, in cores.
    pub entry: f64,
    /// CPU of the daemon of the target, in cores.
    pub target: f64,
}

/// Cost of calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Calls {
    /// Load average of the machine, before and after.
    pub load_average: Spread,
    /// What was measured.
    pub points: Vec<Point>,
    /// CPU of a call at the daemon that takes it, in us: slopes of the rounds.
    pub entry_us: Spread,
    /// CPU of a call at the daemon of its target, in us.
    pub target_us: Spread,
}

pub(super) async fn measure() -> Result<Calls> {
    let before = load_average()?;
    let fleet = Fleet::start(latency::deployment()?).await?;
    latency::warm_up(&fleet).await?;
    let mut points = Vec::new();
    for _ in 0..ROUNDS {
        for rate in RATES_PER_S {
            points.push(measure_rate(&fleet, rate).await?);
        }
    }
    fleet.stop();
    let rounds = || points.chunks(RATES_PER_S.len());
    Ok(Calls {
        load_average: Spread::from_values([before, load_average()?]),
        entry_us: Spread::from_values(
            rounds().map(|round| slope(round, |point| point.entry) * 1e6),
        ),
        target_us: Spread::from_values(
            rounds().map(|round| slope(round, |point| point.target) * 1e6),
        ),
        points,
    })
}

/// Calls go to the first daemon for the target of the second one, so that the roles are apart.
async fn measure_rate(fleet: &Fleet, rate: u32) -> Result<Point> {
    let entry = fleet.process_id(0).context("no daemon")?;
    let target = fleet.process_id(1).context("no second daemon")?;
    let service = fleet.members[1].service.clone();
    let pool = Pool::new(fleet.members[0].callers, false);
    let before = (cpu_time(entry)?, cpu_time(target)?);
    let start = Instant::now();
    let mut calls = 0;
    if rate > 0 {
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
        while start.elapsed() < WINDOW {
            ticks.tick().await;
            latency::call(&pool, &service, "").await?;
            calls += 1;
        }
    }
    tokio::time::sleep(WINDOW.saturating_sub(start.elapsed())).await;
    let seconds = start.elapsed().as_secs_f64();
    Ok(Point {
        rate: f64::from(calls) / seconds,
        entry: (cpu_time(entry)? - before.0).as_secs_f64() / seconds,
        target: (cpu_time(target)? - before.1).as_secs_f64() / seconds,
    })
}

/// Slope of the line with the least squares of distances.
fn slope(points: &[Point], metric: fn(&Point) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_rate = points.iter().map(|point| point.rate).sum::<f64>() / count;
    let mean = points.iter().map(metric).sum::<f64>() / count;
    let covariance = points
        .iter()
        .map(|point| (point.rate - mean_rate) * (metric(point) - mean));
    let variance = points.iter().map(|point| (point.rate - mean_rate).powi(2));
    covariance.sum::<f64>() / variance.sum::<f64>()
}

impl Calls {
    /// The table for the screen.
    pub fn table(&self) -> String {
        let rows = self.points.iter().map(|point| {
            vec![
                format!("{:.0}", point.rate),
                format!("{:.2}", point.entry * 100.0),
                format!("{:.2}", point.target * 100.0),
            ]
        });
        let rows: Vec<Vec<String>> = rows.collect();
        let table = table::render(&["calls/s", "entry, % of a core", "target, %"], &rows);
        format!(
            "{table}\nCPU of a call at the entry {} us, at the target {} us; load average {}",
            self.entry_us, self.target_us, self.load_average
        )
    }
}
