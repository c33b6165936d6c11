//! `latency`: what basilbay adds to a call, and what a daemon costs.
//!
//! The same calls go straight to targets and through basilbay in turn, over kept connections and
//! to targets that answer at once, so that the difference is the added latency. Straight chains
//! use targets of their own that call each other without a daemon between.

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
use crate::deployment::{Deployment, Row};
use crate::fleet::Fleet;
use crate::table;

/// Result of a measurement.
pub type Result<T> = anyhow::Result<T>;

/// Services, each with one target, so that no chain needs a target twice.
const SERVICES: usize = 12;

/// Time from one pair of calls to the next.
const PAIR_INTERVAL: Duration = Duration::from_millis(4);

/// Calls to each service before the measurement: enough that its target counts as warm.
const WARM_UP_CALLS: usize = 50;

/// Pairs of calls before the first one that counts.
const DISCARDED_PAIRS: usize = 3 * SERVICES;

/// Depths of the measured chains.
pub const DEPTHS: [usize; 3] = [1, 4, 12];

/// Head of the configuration; the services follow.
const CONFIG_HEADER: &str = "[basilbay]
version = 1

[domain d1]

[domain d2]
";

/// Latencies of one depth, in ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pair {
    /// Calls in a chain.
    pub depth: usize,
    /// Measured calls each way.
    pub calls: u64,
    /// Without basilbay.
    #[serde(rename = "straight")]
    pub direct: Latency,
    /// Through basilbay.
    #[serde(rename = "through")]
    pub via_basilbay: Latency,
}

impl Pair {
    /// Added to the median, in ms.
    pub fn added_p50(&self) -> f64 {
        self.via_basilbay.p50 - self.direct.p50
    }

    /// Added to the 99th percentile, in ms.
    pub fn added_p99(&self) -> f64 {
        self.via_basilbay.p99 - self.direct.p99
    }
}

/// The whole measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// By depth.
    pub pairs: Vec<Pair>,
    /// Cost of one daemon.
    pub costs: Vec<cost::Cost>,
}

impl Report {
    /// The tables for the screen.
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

/// A deployment of targets that answer at once, in as many services as the longest chain.
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
    let rows: Vec<Row<'_>> = names.iter().map(|name| (&**name, 1, &kinds[..])).collect();
    Deployment::new("latency", &text, &rows)
}

/// Measures added latency for some seconds a depth, and the cost of a daemon if asked for.
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

/// Takes all daemons' ramps to the top.
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

/// Alternates between the two ways, over one connection to each daemon and target.
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
        // The daemon of the target and the others in turn: callers use any.
        let ways = [&direct[0], &via_basilbay[number % SERVICES]];
        for turn in 0..2 {
            // The order changes, so that neither way always finds the caches warm.
            let way = (turn + number / SERVICES) % 2;
            let took = call(ways[way], &first, &chain).await?;
            // Connections, pools and load figures settle during the first calls.
            let counted = histograms[way]
                .as_mut()
                .filter(|_| number >= DISCARDED_PAIRS);
            if let Some(histogram) = counted {
                histogram.saturating_record(took.as_micros() as u64);
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

/// One call; the time ends with the last byte of the answer.
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
    let (response, lease) = sent.map_err(|failure| anyhow::anyhow!("no answer: {failure:?}"))?;
    let status = response.status();
    let body = response.into_body().collect().await?;
    let took = start.elapsed();
    pool.release(lease);
    let text = body.to_bytes();
    anyhow::ensure!(
        status == 200,
        "{status}: {}",
        String::from_utf8_lossy(&text)
    );
    Ok(took)
}
