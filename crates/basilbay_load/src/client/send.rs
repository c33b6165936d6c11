//! Sends one request: its attempts, resends and their outcomes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_fakes::targets::response;
use basilbay_wire::header;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, body::Incoming};
use uuid::Uuid;

use super::Session;
use super::pool::{Call, Failure, Pool};
use super::record::{Attempt, Outcome, Record};
use crate::plan::{Arrival, Stream};

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: usize = 3;

/// Outcome of an attempt with the response body; the body is empty without a response.
struct Reply {
    outcome: Outcome,
    body: Bytes,
    is_replayed: bool,
}

impl Reply {
    fn without_body(outcome: Outcome) -> Self {
        Self {
            outcome,
            body: Bytes::new(),
            is_replayed: false,
        }
    }
}

/// Sends a planned request, and resends it as long as [`should_resend`] holds.
pub(super) async fn request(session: &Session, number: usize, arrival: Arrival) -> Record {
    let stream = &session.streams[arrival.stream];
    let due = session.start + arrival.at;
    let key = arrival
        .has_key
        .then(|| Arc::from(Uuid::now_v7().to_string()));
    let mut record = Record {
        stream: arrival.stream,
        key,
        due_us: session.start_us + arrival.at.as_micros() as u64,
        lag_us: due.elapsed().as_micros() as u64,
        took_us: 0,
        attempts: Vec::new(),
        is_complete: false,
        is_replayed: false,
    };
    let mut entry = arrival.caller as usize % session.pools.len();
    loop {
        let id = attempt_id(session, number, record.attempts.len());
        let reply = attempt(session, stream, &record, &id, &mut entry, due).await;
        let outcome = reply.outcome;
        record.attempts.push(Attempt { id, entry, outcome });
        record.is_replayed = reply.is_replayed;
        record.is_complete = is_expected_body(&record, stream, &reply.body);
        if !should_resend(session, stream, &record, due) {
            break;
        }
        entry = (entry + 1) % session.pools.len();
    }
    record.took_us = due.elapsed().as_micros() as u64;
    record
}

/// Request id of an attempt: the first has the id of the request, later ones add their number.
fn attempt_id(session: &Session, number: usize, attempts: usize) -> Arc<str> {
    let prefix = &session.settings.prefix;
    match attempts {
        0 => Arc::from(format!("{prefix}-{number}")),
        _ => Arc::from(format!("{prefix}-{number}~{attempts}")),
    }
}

/// Whether the body is complete and belongs to an attempt at this request.
fn is_expected_body(record: &Record, stream: &Stream, body: &[u8]) -> bool {
    let mut attempts = record.attempts.iter();
    attempts.any(|attempt| response::is_complete(&attempt.id, stream.body_bytes, body))
}

/// Whether to send again: only after an uncertain outcome, and only idempotent requests or those
/// that a key protects from running twice.
fn should_resend(session: &Session, stream: &Stream, record: &Record, due: Instant) -> bool {
    let Some(last) = record.attempts.last() else {
        return false;
    };
    let is_uncertain = matches!(last.outcome, Outcome::Unknown(_) | Outcome::Broken);
    let is_safe = stream.idempotent || (record.key.is_some() && session.settings.resend);
    is_uncertain
        && is_safe
        && record.attempts.len() < MAX_ATTEMPTS
        && due.elapsed() < stream.timeout
}

/// Sends one attempt, trying one daemon after the other until one accepts the connection; sets
/// `entry` to the index of that daemon.
async fn attempt(
    session: &Session,
    stream: &Stream,
    record: &Record,
    id: &str,
    entry: &mut usize,
    due: Instant,
) -> Reply {
    let give_up_at = due + stream.timeout + session.settings.grace;
    let is_http2 = session.settings.http2;
    let Some(mut call) = build_request(stream, record, id, due, is_http2) else {
        return Reply::without_body(Outcome::Unreachable);
    };
    for _ in 0..session.pools.len() {
        let pool = &session.pools[*entry];
        match tokio::time::timeout_at(give_up_at.into(), exchange(pool, call)).await {
            Ok(Ok(reply)) => return reply,
            Ok(Err(Failure::NotSent(unsent))) => call = *unsent,
            Ok(Err(Failure::Interrupted)) => return Reply::without_body(Outcome::Broken),
            Err(_) => return Reply::without_body(Outcome::Silent),
        }
        *entry = (*entry + 1) % session.pools.len();
    }
    Reply::without_body(Outcome::Unreachable)
}

fn build_request(
    stream: &Stream,
    record: &Record,
    id: &str,
    due: Instant,
    is_http2: bool,
) -> Option<Call> {
    let remaining = (due + stream.timeout).saturating_duration_since(Instant::now());
    let remaining = remaining.max(Duration::from_millis(1));
    let mut builder = Request::builder()
        .method(&*stream.method)
        .header(response::REQUEST_ID, id)
        .header(header::TIMEOUT_MS, remaining.as_millis().to_string());
    builder = if is_http2 {
        builder.uri(format!("http://{}{}", stream.service, stream.path))
    } else {
        builder.uri(&*stream.path).header(HOST, &*stream.service)
    };
    if let Some(key) = &record.key {
        builder = builder.header(header::IDEMPOTENCY_KEY, &**key);
    }
    if stream.body_bytes > 0 {
        builder = builder.header(response::BODY_BYTES, stream.body_bytes.to_string());
    }
    for (name, value) in &stream.headers {
        builder = builder.header(&**name, &**value);
    }
    builder.body(Full::new(Bytes::new())).ok()
}

async fn exchange(pool: &Pool, call: Call) -> Result<Reply, Failure> {
    let (response, lease) = pool.send(call).await?;
    let outcome = outcome(&response);
    let is_replayed = response.headers().contains_key(header::REPLAYED);
    let Ok(body) = response.into_body().collect().await else {
        return Err(Failure::Interrupted);
    };
    pool.release(lease);
    Ok(Reply {
        outcome,
        body: body.to_bytes(),
        is_replayed,
    })
}

/// Outcome from the outcome header; a response without one is that of the target.
fn outcome(response: &Response<Incoming>) -> Outcome {
    let status = response.status().as_u16();
    match outcome_header(response.headers()) {
        Some("not-run") => Outcome::NotRun(status),
        Some(_) => Outcome::Unknown(status),
        None => Outcome::Answer(status),
    }
}

fn outcome_header(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::OUTCOME)?.to_str().ok()
}
