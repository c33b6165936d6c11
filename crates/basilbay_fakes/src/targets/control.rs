//! HTTP handlers of the control listener: changes, status and audit records of the targets.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Method, Request, StatusCode};

use super::fault::{Change, Status};
use super::worker::Worker;
use super::{audit, find};
use crate::web::{self, Response, Result};

/// Maximum number of runs in one chunk of the stream, about 100 KB of text.
const RUNS_PER_CHUNK: usize = 512;

pub(super) async fn handle(
    workers: Arc<[Arc<Worker>]>,
    request: Request<Incoming>,
) -> Result<Response> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if let Some(id) = path.strip_prefix("/fake/targets/") {
        return Ok(target(&workers, id, request).await);
    }
    Ok(match (&method, path.as_str()) {
        (&Method::PUT, "/fake/state") => match web::read_json(request.into_body()).await {
            Ok(change) => change_all(&workers, &change),
            Err(error) => web::text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
        },
        (&Method::GET, "/fake/targets") => {
            let status: Vec<Status> = workers.iter().map(|worker| worker.status()).collect();
            web::json(StatusCode::OK, &status)
        }
        (&Method::GET, "/fake/violations") => {
            let violations = workers.iter().map(|worker| worker.violation());
            let violations: Vec<audit::Violation> = violations.collect();
            web::json(StatusCode::OK, &violations)
        }
        (&Method::GET, "/fake/runs") => Response::new(RunStream::new(workers).boxed()),
        (&Method::DELETE, "/fake/runs") => {
            workers.iter().for_each(|worker| worker.clear());
            web::empty(StatusCode::NO_CONTENT)
        }
        _ => web::empty(StatusCode::NOT_FOUND),
    })
}

/// Handles `/fake/targets/ID`.
async fn target(workers: &[Arc<Worker>], id: &str, request: Request<Incoming>) -> Response {
    let Some(worker) = find(workers, id) else {
        return web::text(StatusCode::NOT_FOUND, format!("unknown target {id}\n"));
    };
    match *request.method() {
        Method::GET => web::json(StatusCode::OK, &worker.status()),
        Method::PUT => {
            let change = web::read_json::<Change>(request.into_body()).await;
            web::no_content(change.map(|change| worker.change(&change)))
        }
        _ => web::empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn change_all(workers: &[Arc<Worker>], change: &Change) -> Response {
    for worker in workers {
        worker.change(change);
    }
    web::empty(StatusCode::NO_CONTENT)
}

/// Response body with one line of JSON per run, read from the ring buffers chunk by chunk.
struct RunStream {
    workers: Arc<[Arc<Worker>]>,
    /// Index of the worker that is being read.
    index: usize,
    /// Sequence number of the next run to read from that worker.
    next: u64,
}

impl RunStream {
    fn new(workers: Arc<[Arc<Worker>]>) -> Self {
        Self {
            workers,
            index: 0,
            next: 0,
        }
    }

    fn next_chunk(&mut self) -> Option<Bytes> {
        loop {
            let worker = self.workers.get(self.index)?;
            let (next, runs) = worker.runs(self.next, RUNS_PER_CHUNK);
            if runs.is_empty() {
                self.index += 1;
                self.next = 0;
                continue;
            }
            self.next = next;
            return Some(to_json_lines(&runs));
        }
    }
}

fn to_json_lines(runs: &[audit::Run]) -> Bytes {
    let mut text = Vec::new();
    for run in runs {
        // Serialising a run into memory does not fail.
        let _ = serde_json::to_writer(&mut text, run);
        text.push(b'\n');
    }
    Bytes::from(text)
}

impl Body for RunStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_chunk().map(|bytes| Ok(Frame::data(bytes))))
    }
}
