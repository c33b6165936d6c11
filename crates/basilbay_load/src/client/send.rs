//! One request of a caller: its attempts and what each one brought.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilbay_fakes::targets::response;
use basilbay_wire::header;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, body::Incoming};
use uuid::Uuid;

use super::Office;
use super::door::{Call, Door, Failure};
use super::record::{Attempt, Record, Told};
use crate::plan::{Arrival, Stream};

/// Attempts of a caller at one request.
const MAX_ATTEMPTS: usize = 3;

/// An answer as far as it came.
struct Reply {
    told: Told,
    body: Bytes,
    is_replayed: bool,
}

impl Reply {
    fn none(told: Told) -> Self {
        Self {
            told,
            body: Bytes::new(),
            is_replayed: false,
        }
    }
}

pub(super) async fn request(office: &Office, number: usize, arrival: Arrival) -> Record {
    let stream = &office.streams[arrival.stream];
    let due = office.start + arrival.at;
    let key = arrival.keyed.then(|| Arc::from(Uuid::now_v7().to_string()));
    let mut record = Record {
        stream: arrival.stream,
        key,
        due_us: office.start_us + arrival.at.as_micros() as u64,
        lag_us: due.elapsed().as_micros() as u64,
        took_us: 0,
        attempts: Vec::new(),
        is_whole: false,
        is_replayed: false,
    };
    let mut entry = arrival.caller as usize % office.doors.len();
    loop {
        let id = attempt_id(office, number, record.attempts.len());
        let reply = attempt(office, stream, &record, &id, &mut entry, due).await;
        let told = reply.told;
        record.attempts.push(Attempt { id, entry, told });
        record.is_replayed = reply.is_replayed;
        record.is_whole = is_own(&record, stream, &reply.body);
        if !may_resend(office, stream, &record, due) {
            break;
        }
        entry = (entry + 1) % office.doors.len();
    }
    record.took_us = due.elapsed().as_micros() as u64;
    record
}

fn attempt_id(office: &Office, number: usize, attempts: usize) -> Arc<str> {
    let name = &office.settings.name;
    match attempts {
        0 => Arc::from(format!("{name}-{number}")),
        _ => Arc::from(format!("{name}-{number}~{attempts}")),
    }
}

/// Whether the answer is whole and belongs to an attempt at this request.
fn is_own(record: &Record, stream: &Stream, body: &[u8]) -> bool {
    let mut attempts = record.attempts.iter();
    attempts.any(|attempt| response::is_complete(&attempt.id, stream.body_bytes, body))
}

/// A caller sends again what does no harm twice, or what a key protects.
fn may_resend(office: &Office, stream: &Stream, record: &Record, due: Instant) -> bool {
    let Some(last) = record.attempts.last() else {
        return false;
    };
    let is_doubtful = matches!(last.told, Told::Unknown(_) | Told::Broken);
    let is_safe = stream.idempotent || (record.key.is_some() && office.settings.resend);
    is_doubtful && is_safe && record.attempts.len() < MAX_ATTEMPTS && due.elapsed() < stream.timeout
}

/// Tries daemons until one takes the connection.
async fn attempt(
    office: &Office,
    stream: &Stream,
    record: &Record,
    id: &str,
    entry: &mut usize,
    due: Instant,
) -> Reply {
    let last_moment = due + stream.timeout + office.settings.grace;
    let is_http2 = office.settings.http2;
    let Some(mut call) = build(stream, record, id, due, is_http2) else {
        return Reply::none(Told::Unreachable);
    };
    for _ in 0..office.doors.len() {
        let door = &office.doors[*entry];
        match tokio::time::timeout_at(last_moment.into(), exchange(door, call)).await {
            Ok(Ok(reply)) => return reply,
            Ok(Err(Failure::NotSent(unsent))) => call = *unsent,
            Ok(Err(Failure::Broken)) => return Reply::none(Told::Broken),
            Err(_) => return Reply::none(Told::Silent),
        }
        *entry = (*entry + 1) % office.doors.len();
    }
    Reply::none(Told::Unreachable)
}

fn build(stream: &Stream, record: &Record, id: &str, due: Instant, is_http2: bool) -> Option<Call> {
    let left = (due + stream.timeout).saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    let mut builder = Request::builder()
        .method(&*stream.method)
        .header(response::REQUEST_ID, id)
        .header(header::TIMEOUT_MS, left.as_millis().to_string());
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

async fn exchange(door: &Door, call: Call) -> Result<Reply, Failure> {
    let (response, lease) = door.send(call).await?;
    let told = told(&response);
    let is_replayed = response.headers().contains_key(header::REPLAYED);
    let Ok(body) = response.into_body().collect().await else {
        return Err(Failure::Broken);
    };
    door.give_back(lease);
    Ok(Reply {
        told,
        body: body.to_bytes(),
        is_replayed,
    })
}

fn told(response: &Response<Incoming>) -> Told {
    let status = response.status().as_u16();
    match outcome(response.headers()) {
        Some("not-run") => Told::NotRun(status),
        Some(_) => Told::Unknown(status),
        None => Told::Answer(status),
    }
}

fn outcome(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::OUTCOME)?.to_str().ok()
}
