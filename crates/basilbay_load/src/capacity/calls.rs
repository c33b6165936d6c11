//! CPU time of a call at the entry daemon, which receives it, and at the daemon of its target.
//!
//! Calls are sent at several rates; the cost of one call is the slope of CPU against the rate.

use std::time::{Duration, Instant};

use anyhow::Context;
use serde::{Deserialize, Serialize};

use super::{Result, Spread, load_average};
use crate::client::pool::Pool;
use crate::fleet::Fleet;
use crate::latency::{self, cost::cpu_time};
use crate::table;

/// Measured rates in calls per second; zero gives the idle cost.
const RATES_PER_S: [u32; 4] = [0, 50, 100, 200];

/// Length of the measurement at one rate.
const WINDOW: Duration = Duration::from_secs(4);

/// Number of passes over all rates.
const ROUNDS: usize = 2;

/// CPU of both daemons at one rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    /// Answered calls per second.
    pub rate: f64,
    /// CPU of the entry daemon, in cores.
    pub entry: f64,
    /// CPU of the target's daemon, in cores.
    pub target: f64,
}

/// CPU cost of calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Calls {
    /// Load average of the machine before and after the measurement.
    pub load_average: Spread,
    /// Measurements of all rounds, in the order of the rates.
    pub points: Vec<Point>,
    /// CPU time of a call at the entry daemon in us, over the slopes of the rounds.
    pub entry_us: Spread,
    /// CPU time of a call at the target's daemon in us, over the slopes of the rounds.
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

/// Measures one rate. Calls go to the first daemon for the target of the second one, so that each
/// daemon has only one of the two roles.
async fn measure_rate(fleet: &Fleet, rate: u32) -> Result<Point> {
    let entry = fleet
        .process_id(0)
        .context("the first daemon is not running")?;
    let target = fleet
        .process_id(1)
        .context("the second daemon is not running")?;
    let service = fleet.members[1].service.clone();
    let pool = Pool::new(fleet.members[0].caller_address, false);
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

/// Slope of a least-squares line through a metric against the rate.
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
    /// Renders the measurements as a text table.
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
