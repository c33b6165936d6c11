//! Measures how late the timer wakes tasks, compared with tokio's timer, and the CPU time it uses.
//!
//! Run with `cargo run --release -p basilbay_fakes --example timer_precision`.

use std::time::{Duration, Instant};

use basilbay_fakes::timer::Timer;

/// Tasks that sleep concurrently, about as many as there are requests on nine targets.
const TASKS: u64 = 40;

/// Sleeps of each task; fewer if the mean sleep is above 1 ms.
const ROUNDS: u64 = 500;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> anyhow::Result<()> {
    let timer = Timer::start()?;
    for mean_us in [500, 1_000, 5_000, 20_000] {
        let rounds = ROUNDS * 1_000 / mean_us.max(1_000);
        measure(
            "timer",
            mean_us,
            rounds,
            move |at, timer| async move {
                timer.sleep_until(at).await;
            },
            &timer,
        )
        .await?;
    }
    measure(
        "tokio",
        1_000,
        ROUNDS,
        |at: Instant, _| tokio::time::sleep_until(at.into()),
        &timer,
    )
    .await
}

async fn measure<S, F>(
    name: &str,
    mean_us: u64,
    rounds: u64,
    sleep: S,
    timer: &Timer,
) -> anyhow::Result<()>
where
    S: Fn(Instant, Timer) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let cpu_before = cpu_time()?;
    let start = Instant::now();
    let tasks: Vec<_> = (0..TASKS)
        .map(|seed| {
            tokio::spawn(measure_lateness(
                seed,
                mean_us,
                rounds,
                sleep.clone(),
                timer.clone(),
            ))
        })
        .collect();
    let mut late = Vec::new();
    for task in tasks {
        late.extend(task.await?);
    }
    late.sort_unstable();
    let quantile = |q: f64| late[((late.len() - 1) as f64 * q) as usize];
    let cpu_used = cpu_time()? - cpu_before;
    let percent = 100.0 * cpu_used.as_secs_f64() / start.elapsed().as_secs_f64();
    println!(
        "{name}: mean sleep {mean_us} us, {} sleeps, {:.0}/s; late by us: min {} p50 {} p90 {} \
         p99 {} max {}; {percent:.0}% of a core",
        late.len(),
        late.len() as f64 / start.elapsed().as_secs_f64(),
        quantile(0.0),
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        quantile(1.0),
    );
    Ok(())
}

/// Sleeps for random times around the mean; returns how late each wake-up was, in microseconds.
async fn measure_lateness<S, F>(
    seed: u64,
    mean_us: u64,
    rounds: u64,
    sleep: S,
    timer: Timer,
) -> Vec<i64>
where
    S: Fn(Instant, Timer) -> F,
    F: Future<Output = ()>,
{
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut late = Vec::new();
    for _ in 0..rounds {
        let at = Instant::now() + Duration::from_micros(rng.u64(mean_us / 2..mean_us * 3 / 2));
        sleep(at, timer.clone()).await;
        let now = Instant::now();
        let late_us = now.saturating_duration_since(at).as_micros() as i64;
        let early_us = at.saturating_duration_since(now).as_micros() as i64;
        late.push(late_us - early_us);
    }
    late
}

/// CPU time of this process: user and system time from `/proc/self/stat`.
fn cpu_time() -> anyhow::Result<Duration> {
    const TICKS_PER_SECOND: u64 = 100;
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = fields[12].parse::<u64>()? + fields[13].parse::<u64>()?;
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}
