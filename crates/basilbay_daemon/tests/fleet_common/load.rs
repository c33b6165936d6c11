//! Generates open-loop load and compares the outcome of each request with the runs on the targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

pub(crate) use basilbay_fakes::targets::audit::{Outcome as RunOutcome, Run};
use basilbay_fakes::targets::response;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Size of the filler that each response carries after its JSON line.
const BODY_BYTES: usize = 300;

/// Time-out of a caller; above every deadline.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcome of a request as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete response to this request.
    Answered,
    /// A response that says that the request has not run, with its problem document.
    NotRun(String),
    /// A response that says that it is unknown whether the request ran.
    Unknown,
    /// An error status without an outcome header, or a response to another request.
    Invalid(String),
    /// No response; holds the error.
    Lost(String),
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Id of the request; it begins with the name of the service.
    pub(crate) id: String,
    /// Caller address of the daemon to which the request was sent.
    pub(crate) entry: SocketAddr,
    /// Send time in microseconds since the Unix epoch.
    pub(crate) sent_us: u64,
    pub(crate) outcome: Outcome,
}

static IDS: AtomicU64 = AtomicU64::new(0);

/// Returns a request id that is unique in this process; it begins with the service.
pub(crate) fn next_id(service: &str) -> String {
    format!("{service}-{}", IDS.fetch_add(1, Ordering::Relaxed))
}

/// Current time in microseconds since the Unix epoch, the unit in which targets record runs.
pub(crate) fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.expect("the clock is after 1970").as_micros()).expect("fits in 64 bits")
}

/// A client that reuses its connections.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl Caller {
    /// Sends one request to a service through a daemon; with an empty `key` it has no idempotency
    /// key.
    pub(crate) async fn call(
        &self,
        entry: SocketAddr,
        service: &str,
        id: &str,
        key: &str,
    ) -> Record {
        let sent_us = now_us();
        let exchange = self.exchange(entry, service, id, key);
        let outcome = match tokio::time::timeout(CALLER_TIMEOUT, exchange).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => Outcome::Lost(format!("{error:#}")),
            Err(_) => Outcome::Lost("no response in 10 s".to_owned()),
        };
        Record {
            id: id.to_owned(),
            entry,
            sent_us,
            outcome,
        }
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        service: &str,
        id: &str,
        key: &str,
    ) -> anyhow::Result<Outcome> {
        let method = if service == "fit" {
            Method::GET
        } else {
            Method::POST
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}/{service}"))
            .header("host", service)
            .header(response::REQUEST_ID, id)
            .header(response::BODY_BYTES, BODY_BYTES);
        if !key.is_empty() {
            request = request.header("idempotency-key", key);
        }
        let response = self.client.request(request.body(Full::default())?).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        let outcome = parts.headers.get("basilbay-outcome");
        Ok(match outcome.and_then(|outcome| outcome.to_str().ok()) {
            Some("not-run") => Outcome::NotRun(String::from_utf8_lossy(&body).into_owned()),
            Some("unknown") => Outcome::Unknown,
            _ if parts.status.is_success() && response::is_complete(id, BODY_BYTES, &body) => {
                Outcome::Answered
            }
            _ => Outcome::Invalid(format!(
                "{}: {}",
                parts.status,
                String::from_utf8_lossy(&body)
            )),
        })
    }
}

/// Open-loop load at a constant rate; it runs until [`Load::stop`].
pub(crate) struct Load {
    stop: CancellationToken,
    task: tokio::task::JoinHandle<Vec<Record>>,
}

impl Load {
    /// Sends a request every `interval`, rotating through the entry daemons and the services.
    pub(crate) fn start(
        entries: Vec<SocketAddr>,
        services: Vec<&'static str>,
        interval: Duration,
    ) -> Self {
        let stop = CancellationToken::new();
        let task = tokio::spawn(send_requests(entries, services, interval, stop.clone()));
        Self { stop, task }
    }

    /// Stops the load, waits for all outstanding responses and returns all records.
    pub(crate) async fn stop(self) -> Vec<Record> {
        self.stop.cancel();
        self.task.await.expect("the load task does not panic")
    }
}

async fn send_requests(
    entries: Vec<SocketAddr>,
    services: Vec<&'static str>,
    interval: Duration,
    stop: CancellationToken,
) -> Vec<Record> {
    let caller = Caller::default();
    let entries: Arc<[SocketAddr]> = Arc::from(entries);
    let mut calls = JoinSet::new();
    let mut next = Instant::now();
    let mut count = 0;
    while !stop.is_cancelled() {
        let service = services[count % services.len()];
        let entry = entries[(count / services.len()) % entries.len()];
        let id = next_id(service);
        let caller = caller.clone();
        calls.spawn(async move { caller.call(entry, service, &id, "").await });
        count += 1;
        next += interval;
        tokio::time::sleep_until(next.into()).await;
    }
    calls.join_all().await
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) sent: usize,
    /// Requests with a complete response.
    pub(crate) answered: usize,
    /// Requests that were reported as not run.
    pub(crate) not_run: usize,
    /// Requests with an unknown outcome.
    pub(crate) unknown: usize,
    /// Requests without a response.
    pub(crate) lost: usize,
}

/// Prints the requests that were reported as not run.
pub(crate) fn print_refusals(records: &[Record]) {
    for record in records {
        if let Outcome::NotRun(problem) = &record.outcome {
            println!("{} at {}: {problem}", record.id, record.entry);
        }
    }
}

/// Runs that were aborted.
///
/// A hedged read is cancelled on the slower target once the faster one has responded, which is not
/// an abort: such a run overlaps with a completed run of the same request. Any other run that did
/// not complete was aborted, including every incomplete write, since writes are never hedged.
pub(crate) fn aborted_runs(runs: &[Run]) -> Vec<&Run> {
    let completed = |run: &Run| {
        let mut siblings = runs.iter().filter(|other| other.request == run.request);
        siblings.any(|other| other.outcome == RunOutcome::Done && other.start_us < run.end_us)
    };
    runs.iter()
        .filter(|run| run.outcome != RunOutcome::Done)
        .inspect(|run| println!("did not complete: {run:?}"))
        .filter(|run| run.request.starts_with("pay") || !completed(run))
        .collect()
}

/// Compares the outcomes that callers saw with the runs on the targets.
///
/// Asserts the invariants that hold under every failure: a request with a response has completed on
/// a target, a request that was reported as not run did not start on any target, and a request to
/// `pay` runs at most once.
pub(crate) fn verify(records: &[Record], runs: &[Run]) -> Tally {
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by(|left, right| left.request.cmp(&right.request));
    let mut tally = Tally::default();
    for record in records {
        let first = runs.partition_point(|run| *run.request < *record.id);
        let request_runs = runs[first..]
            .iter()
            .take_while(|run| *run.request == *record.id);
        let request_runs: Vec<_> = request_runs.collect();
        let done = request_runs
            .iter()
            .filter(|run| run.outcome == RunOutcome::Done)
            .count();
        tally.sent += 1;
        match &record.outcome {
            Outcome::Answered => {
                assert!(done > 0, "got a response but never completed: {record:?}");
                tally.answered += 1;
            }
            Outcome::NotRun(_) => {
                assert!(
                    request_runs.is_empty(),
                    "reported as not run but ran: {record:?} {request_runs:?}"
                );
                tally.not_run += 1;
            }
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Invalid(_) => panic!("invalid response: {record:?}"),
            Outcome::Lost(_) => tally.lost += 1,
        }
        if record.id.starts_with("pay") {
            assert!(
                request_runs.len() <= 1,
                "ran twice: {record:?} {request_runs:?}"
            );
        }
    }
    tally
}
