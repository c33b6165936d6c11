//! Queries of daemons over their admin interface.
//!
//! One daemon is queried for its peers, then all peers concurrently, each over a separate connection.
//! Daemons that do not respond by the deadline are reported next to the statuses of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context as _, anyhow, bail};
use basilbay_admin::{AdminClient, Explanation, Peer, Status};
use basilbay_model::id::InstanceId;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout_at;

use crate::run::Result;

/// Maximum number of daemons queried concurrently: below the usual limit of 1024 open files, and
/// above the 630 daemons of the largest fleet, so that unresponsive daemons do not delay queries of
/// the others.
const MAX_CONCURRENT_CALLS: usize = 900;

/// A daemon that did not respond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreachable {
    /// Roster entry of the daemon, as listed by the daemon queried first.
    pub peer: Peer,
    /// Why there is no response.
    pub reason: Arc<str>,
}

/// Statuses of the daemons of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Admin address of the daemon that listed the peers.
    pub queried: SocketAddr,
    /// Statuses of the daemons that responded, sorted by instance.
    pub statuses: Vec<Status>,
    /// Daemons that did not respond, sorted by instance.
    pub unreachable: Vec<Unreachable>,
}

/// Request whose routing is to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Service, as in the `Host` header.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path of the URL.
    pub path: String,
}

/// Queries one daemon for its peers, and then all peers except the ones in `skip`, which must be
/// sorted.
///
/// # Errors
///
/// Fails if the given daemon does not respond before the deadline.
pub async fn query(daemon: SocketAddr, deadline: Instant, skip: &[InstanceId]) -> Result<Report> {
    let first = status(daemon, deadline, Detail::Full)
        .await
        .with_context(|| format!("cannot query the daemon at {daemon}"))?;
    let peers: Vec<Peer> = first
        .peers
        .iter()
        .filter(|peer| peer.instance != first.instance)
        .filter(|peer| skip.binary_search(&peer.instance).is_err())
        .cloned()
        .collect();
    let mut report = Report {
        queried: daemon,
        statuses: vec![first],
        unreachable: Vec::new(),
    };
    query_peers(peers, deadline, &mut report).await?;
    report
        .statuses
        .sort_by(|left, right| left.instance.cmp(&right.instance));
    report
        .unreachable
        .sort_by(|left, right| left.peer.instance.cmp(&right.peer.instance));
    Ok(report)
}

async fn query_peers(peers: Vec<Peer>, deadline: Instant, report: &mut Report) -> Result<()> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut tasks = JoinSet::new();
    for peer in peers {
        let permits = permits.clone();
        tasks.spawn(async move {
            let result = query_peer(&peer, &permits, deadline).await;
            (peer, result)
        });
    }
    while let Some(joined) = tasks.join_next().await {
        let (peer, result) = joined?;
        match result {
            Ok(status) => report.statuses.push(status),
            Err(error) => report.unreachable.push(Unreachable {
                peer,
                reason: Arc::from(format!("{error:#}")),
            }),
        }
    }
    Ok(())
}

async fn query_peer(peer: &Peer, permits: &Semaphore, deadline: Instant) -> Result<Status> {
    let _permit = timeout_at(deadline.into(), permits.acquire())
        .await
        .map_err(|_| anyhow!("not queried: {MAX_CONCURRENT_CALLS} others did not respond"))??;
    let status = status(peer.admin, deadline, Detail::Brief).await?;
    if status.instance != peer.instance {
        bail!("the address belongs to {} now", status.instance);
    }
    Ok(status)
}

/// Queries one daemon for how it would route a request.
///
/// # Errors
///
/// Fails if the daemon does not respond before the deadline.
pub async fn explain(
    daemon: SocketAddr,
    deadline: Instant,
    request: &Request,
) -> Result<Explanation> {
    let call = async {
        let client = connect(daemon).await?;
        let Request {
            service,
            method,
            path,
        } = request.clone();
        let explanation = client
            .explain(context_until(deadline), service, method, path)
            .await?;
        Ok(explanation)
    };
    with_deadline(deadline, call)
        .await
        .with_context(|| format!("cannot query the daemon at {daemon}"))
}

/// Level of detail of a queried status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Detail {
    /// With the peers.
    Full,
    /// Without the peers.
    Brief,
}

async fn status(daemon: SocketAddr, deadline: Instant, detail: Detail) -> Result<Status> {
    let call = async {
        let client = connect(daemon).await?;
        let context = context_until(deadline);
        let status = match detail {
            Detail::Full => client.status(context).await?,
            Detail::Brief => client.brief(context).await?,
        };
        Ok(status)
    };
    with_deadline(deadline, call).await
}

async fn connect(daemon: SocketAddr) -> Result<AdminClient> {
    let transport = tcp::connect(daemon, Json::default).await?;
    Ok(AdminClient::new(client::Config::default(), transport).spawn())
}

fn context_until(deadline: Instant) -> context::Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}

async fn with_deadline<T>(deadline: Instant, call: impl Future<Output = Result<T>>) -> Result<T> {
    timeout_at(deadline.into(), call)
        .await
        .map_err(|_| deadline_exceeded())?
}

fn deadline_exceeded() -> anyhow::Error {
    anyhow!("no response before the deadline")
}
