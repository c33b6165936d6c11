//! `latency`: latency that basilbay adds to a call, and memory and CPU of a daemon.
//!
//! Calls alternate between a direct path and a path through basilbay, over keep-alive connections
//! to targets that respond immediately, so that the difference is the added latency. The direct
//! path uses separate targets that call each other without daemons.

pub mod cost;
mod direct;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::targets::response;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};

use crate::audit::row::{Latency, histogram};
use crate::client::pool::Pool;
use crate::deployment::{Deployment, Spec};
use crate::fleet::Fleet;
use crate::table;

/// Result of a measurement.
pub type Result<T> = anyhow::Result<T>;

/// Number of services with one target each; as many as the longest chain, so that no chain uses a
/// target twice.
const SERVICES: usize = 12;

/// Time between two pairs of calls.
const PAIR_INTERVAL: Duration = Duration::from_millis(4);

/// Calls to each service before the measurement; enough for its target to count as warm.
const WARM_UP_CALLS: usize = 50;

/// Number of pairs of calls that are discarded at the start of a measurement, while connections,
/// pools and load reports settle.
const DISCARDED_PAIRS: usize = 3 * SERVICES;

/// Measured chain lengths.
pub const DEPTHS: [usize; 3] = [1, 4, 12];

/// First part of the configuration; the services follow.
const CONFIG_HEADER: &str = "[basilbay]
version = 1

[domain d1]

[domain d2]
";

/// Latencies of one chain length over both paths.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pair {
    /// Number of calls in a chain.
    pub depth: usize,
    /// Number of measured chains per path.
    pub calls: u64,
    /// Latency without basilbay.
    #[serde(rename = "straight")]
    pub direct: Latency,
    /// Latency through basilbay.
    #[serde(rename = "through")]
    pub via_basilbay: Latency,
}

impl Pair {
    /// Increase of the median through basilbay, in ms.
    pub fn added_p50(&self) -> f64 {
        self.via_basilbay.p50 - self.direct.p50
    }

    /// Increase of the 99th percentile through basilbay, in ms.
    pub fn added_p99(&self) -> f64 {
        self.via_basilbay.p99 - self.direct.p99
    }
}

/// Result of the measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Latencies by chain length.
    pub pairs: Vec<Pair>,
    /// Memory and CPU of one daemon at each load; empty if not measured.
    pub costs: Vec<cost::Cost>,
}

impl Report {
    /// Renders the result as text tables.
    pub fn table(&self) -> String {
        let header = [
            "chain",
            "calls",
            "straight p50",
            "p99",
            "through p50",
            "p99",
            "added p50 ms",
            "added p99 ms",
        ];
        let rows: Vec<Vec<String>> = self.pairs.iter().map(row).collect();
        let mut text = table::render(&header, &rows);
        if !self.costs.is_empty() {
            text.push_str("\n\n");
            text.push_str(&cost::table(&self.costs));
        }
        text
    }
}

fn row(pair: &Pair) -> Vec<String> {
    let format_ms = |value: f64| format!("{value:.3}");
    vec![
        pair.depth.to_string(),
        pair.calls.to_string(),
        format_ms(pair.direct.p50),
        format_ms(pair.direct.p99),
        format_ms(pair.via_basilbay.p50),
        format_ms(pair.via_basilbay.p99),
        format_ms(pair.added_p50()),
        format_ms(pair.added_p99()),
    ]
}

/// Id of a service.
fn service_id(index: usize) -> String {
    format!("s{:02}", index + 1)
}

/// Deployment of targets that respond immediately, with as many services as the longest chain.
pub fn deployment() -> Result<Deployment> {
    let mut text = CONFIG_HEADER.to_owned();
    let names: Vec<String> = (0..SERVICES).map(service_id).collect();
    for name in &names {
        text.push_str(&format!(
            "\n[service {name}]\nconnections = 200\nwarm_after = 20\n\n\
             [kind {name}/call]\npath = /\nidempotent = yes\n"
        ));
    }
    let kinds = [("call", 1.0, 0)];
    let specs: Vec<Spec<'_>> = names.iter().map(|name| (&**name, 1, &kinds[..])).collect();
    Deployment::new("latency", &text, &specs)
}

/// Measures the added latency for `seconds` per chain length, and optionally the cost of a daemon.
pub async fn run(seconds: f64, depths: &[usize], with_cost: bool) -> Result<Report> {
    let mut fleet = Fleet::start(deployment()?).await?;
    let direct_chain = direct::Chain::start(SERVICES, fleet.deployment.open_delay)?;
    warm_up(&fleet).await?;
    let mut pairs = Vec::new();
    for depth in depths {
        eprintln!("  chains of {depth}: {seconds} s");
        pairs.push(measure_pair(&fleet, &direct_chain, *depth, seconds).await?);
    }
    let costs = if with_cost {
        cost::measure(&mut fleet).await?
    } else {
        Vec::new()
    };
    fleet.stop();
    Ok(Report { pairs, costs })
}

/// Sends enough calls through each daemon that its target counts as warm.
pub(crate) async fn warm_up(fleet: &Fleet) -> Result<()> {
    for (index, pool) in connect_pools(&fleet.caller_addresses())
        .await?
        .iter()
        .enumerate()
    {
        for _ in 0..WARM_UP_CALLS {
            call(pool, &service_id(index), "").await?;
        }
    }
    Ok(())
}

/// Measures one chain length, alternating between both paths over one connection per address.
async fn measure_pair(
    fleet: &Fleet,
    direct_chain: &direct::Chain,
    depth: usize,
    seconds: f64,
) -> Result<Pair> {
    let via_basilbay = connect_pools(&fleet.caller_addresses()).await?;
    let direct = connect_pools(&direct_chain.addresses).await?;
    let rest: Vec<String> = (1..depth).map(service_id).collect();
    let chain = rest.join(",");
    let first = service_id(0);
    let mut histograms = [histogram(), histogram()];
    let deadline = Instant::now() + Duration::from_secs_f64(seconds);
    let mut number = 0;
    while Instant::now() < deadline {
        // Entry daemons take turns, because callers may use any of them.
        let paths = [&direct[0], &via_basilbay[number % SERVICES]];
        for turn in 0..2 {
            // The order alternates, so that neither path always runs second with warm caches.
            let path = (turn + number / SERVICES) % 2;
            let elapsed = call(paths[path], &first, &chain).await?;
            let counted = histograms[path]
                .as_mut()
                .filter(|_| number >= DISCARDED_PAIRS);
            if let Some(histogram) = counted {
                histogram.saturating_record(elapsed.as_micros() as u64);
            }
        }
        number += 1;
        tokio::time::sleep(PAIR_INTERVAL).await;
    }
    let latency = |histogram: &Option<Histogram<u64>>| {
        histogram
            .as_ref()
            .map(Latency::from_histogram)
            .unwrap_or_default()
    };
    Ok(Pair {
        depth,
        calls: histograms[0].as_ref().map_or(0, Histogram::len),
        direct: latency(&histograms[0]),
        via_basilbay: latency(&histograms[1]),
    })
}

async fn connect_pools(addresses: &[SocketAddr]) -> Result<Vec<Pool>> {
    let mut pools = Vec::new();
    for address in addresses {
        let pool = Pool::new(*address, false);
        pool.preconnect(1).await?;
        pools.push(pool);
    }
    Ok(pools)
}

/// Sends one call and returns the time until the last byte of the response.
pub(crate) async fn call(pool: &Pool, service: &str, chain: &str) -> Result<Duration> {
    let mut builder = Request::builder()
        .method("GET")
        .uri("/")
        .header(HOST, service)
        .header(response::REQUEST_ID, "latency");
    if !chain.is_empty() {
        builder = builder.header(response::CHAIN, chain);
    }
    let request = builder.body(Full::new(Bytes::new()))?;
    let start = Instant::now();
    let sent = pool.send(request).await;
    let (response, lease) =
        sent.map_err(|failure| anyhow::anyhow!("no response from {}: {failure:?}", pool.address))?;
    let status = response.status();
    let body = response.into_body().collect().await?;
    let elapsed = start.elapsed();
    pool.release(lease);
    let text = body.to_bytes();
    anyhow::ensure!(
        status == 200,
        "call to {} failed with status {status}: {}",
        pool.address,
        String::from_utf8_lossy(&text)
    );
    Ok(elapsed)
}
