//! An open load of callers and the account of what became of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

pub(crate) use basilbay_fakes::targets::audit::{Outcome as Ran, Run};
use basilbay_fakes::targets::response;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Bytes that each answer carries beyond the target's own words.
const BODY_BYTES: usize = 300;

/// Longest wait of a caller; above every deadline.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer to its own request.
    Answered,
    /// The word that the request has not run, with the problem document.
    NotRun(String),
    /// The word that nobody knows whether it ran.
    Unknown,
    /// A status without such a word, or an answer that is not its own.
    Wrong(String),
    /// No answer.
    Lost(String),
}

/// One request and its end.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Id of the request; `fit` or `pay` is its beginning.
    pub(crate) id: String,
    /// The daemon that was called.
    pub(crate) entry: SocketAddr,
    /// When it was sent, in microseconds since the Unix epoch.
    pub(crate) sent_us: u64,
    /// What the caller got.
    pub(crate) outcome: Outcome,
}

static IDS: AtomicU64 = AtomicU64::new(0);

/// A request id that no other load uses; it begins with the service.
pub(crate) fn next_id(service: &str) -> String {
    format!("{service}-{}", IDS.fetch_add(1, Ordering::Relaxed))
}

/// Microseconds since the Unix epoch, as the targets' account has them.
pub(crate) fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.expect("after 1970").as_micros()).expect("fits")
}

/// Callers with kept connections.
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
    /// Sends one request to a service through a daemon.
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
            Err(_) => Outcome::Lost("no answer in 10 s".to_owned()),
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
        let word = parts.headers.get("basilbay-outcome");
        Ok(match word.and_then(|word| word.to_str().ok()) {
            Some("not-run") => Outcome::NotRun(String::from_utf8_lossy(&body).into_owned()),
            Some("unknown") => Outcome::Unknown,
            _ if parts.status.is_success() && response::is_complete(id, BODY_BYTES, &body) => {
                Outcome::Answered
            }
            _ => Outcome::Wrong(format!(
                "{}: {}",
                parts.status,
                String::from_utf8_lossy(&body)
            )),
        })
    }
}

/// A steady open load; it goes on until [`Load::stop`].
pub(crate) struct Load {
    stop: CancellationToken,
    task: tokio::task::JoinHandle<Vec<Record>>,
}

impl Load {
    /// Sends a request each `gap`, in turn through the entries and to the services.
    pub(crate) fn start(
        entries: Vec<SocketAddr>,
        services: Vec<&'static str>,
        gap: Duration,
    ) -> Self {
        let stop = CancellationToken::new();
        let task = tokio::spawn(drive(entries, services, gap, stop.clone()));
        Self { stop, task }
    }

    /// Ends the load, waits for the answers and gives all records.
    pub(crate) async fn stop(self) -> Vec<Record> {
        self.stop.cancel();
        self.task.await.expect("the load ends")
    }
}

async fn drive(
    entries: Vec<SocketAddr>,
    services: Vec<&'static str>,
    gap: Duration,
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
        next += gap;
        tokio::time::sleep_until(next.into()).await;
    }
    calls.join_all().await
}

/// What became of a load, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Requests.
    pub(crate) sent: usize,
    /// Whole answers.
    pub(crate) answered: usize,
    /// Truthful refusals.
    pub(crate) not_run: usize,
    /// Unknown outcomes.
    pub(crate) unknown: usize,
    /// Requests without an answer.
    pub(crate) lost: usize,
}

/// Prints the refusals.
pub(crate) fn print_refusals(records: &[Record]) {
    for record in records {
        if let Outcome::NotRun(problem) = &record.outcome {
            println!("{} at {}: {problem}", record.id, record.entry);
        }
    }
}

/// Runs that were cut off.
///
/// A hedged read is cancelled at the target that was late once the other one has answered. That
/// run has a completed sibling that ran beside it; any other run that did not complete was cut
/// off, and so was every write, which is never hedged.
pub(crate) fn cut_off(runs: &[Run]) -> Vec<&Run> {
    let completed = |run: &Run| {
        let mut siblings = runs.iter().filter(|other| other.request == run.request);
        siblings.any(|other| other.outcome == Ran::Done && other.start_us < run.end_us)
    };
    runs.iter()
        .filter(|run| run.outcome != Ran::Done)
        .inspect(|run| println!("did not complete: {run:?}"))
        .filter(|run| run.request.starts_with("pay") || !completed(run))
        .collect()
}

/// Holds what callers were told against what the targets ran.
///
/// Asserts what holds under every failure: an answer is whole and of a request that ran, a refusal
/// as not-run is of a request that did not, and `pay` runs at most once.
pub(crate) fn check(records: &[Record], runs: &[Run]) -> Tally {
    let mut runs: Vec<&Run> = runs.iter().collect();
    runs.sort_by(|left, right| left.request.cmp(&right.request));
    let mut tally = Tally::default();
    for record in records {
        let first = runs.partition_point(|run| *run.request < *record.id);
        let own = runs[first..]
            .iter()
            .take_while(|run| *run.request == *record.id);
        let own: Vec<_> = own.collect();
        let done = own.iter().filter(|run| run.outcome == Ran::Done).count();
        tally.sent += 1;
        match &record.outcome {
            Outcome::Answered => {
                assert!(done > 0, "answered but never completed: {record:?}");
                tally.answered += 1;
            }
            Outcome::NotRun(_) => {
                assert!(own.is_empty(), "told not-run but ran: {record:?} {own:?}");
                tally.not_run += 1;
            }
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Wrong(_) => panic!("a wrong answer: {record:?}"),
            Outcome::Lost(_) => tally.lost += 1,
        }
        if record.id.starts_with("pay") {
            assert!(own.len() <= 1, "ran twice: {record:?} {own:?}");
        }
    }
    tally
}
