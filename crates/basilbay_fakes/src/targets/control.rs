//! The control listener of a process: changes, status and accounts of its targets.

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

/// Runs in one chunk of the stream; about 100 KB of text.
const CHUNK: usize = 512;

/// Handles one request.
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
        (&Method::GET, "/fake/runs") => Response::new(Lines::new(workers).boxed()),
        (&Method::DELETE, "/fake/runs") => {
            workers.iter().for_each(|worker| worker.clear());
            web::empty(StatusCode::NO_CONTENT)
        }
        _ => web::empty(StatusCode::NOT_FOUND),
    })
}

async fn target(workers: &[Arc<Worker>], id: &str, request: Request<Incoming>) -> Response {
    let Some(worker) = find(workers, id) else {
        return web::text(StatusCode::NOT_FOUND, format!("unknown target {id}\n"));
    };
    match *request.method() {
        Method::GET => web::json(StatusCode::OK, &worker.status()),
        Method::PUT => {
            let change = web::read_json::<Change>(request.into_body()).await;
            web::done(change.map(|change| worker.change(&change)))
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

/// Body with one line of JSON a run, read from the rings chunk by chunk.
struct Lines {
    workers: Arc<[Arc<Worker>]>,
    index: usize,
    next: u64,
}

impl Lines {
    fn new(workers: Arc<[Arc<Worker>]>) -> Self {
        Self {
            workers,
            index: 0,
            next: 0,
        }
    }

    fn chunk(&mut self) -> Option<Bytes> {
        loop {
            let worker = self.workers.get(self.index)?;
            let (next, runs) = worker.runs(self.next, CHUNK);
            if runs.is_empty() {
                self.index += 1;
                self.next = 0;
                continue;
            }
            self.next = next;
            return Some(lines(&runs));
        }
    }
}

fn lines(runs: &[audit::Run]) -> Bytes {
    let mut text = Vec::new();
    for run in runs {
        // Writing plain data into memory does not fail.
        let _ = serde_json::to_writer(&mut text, run);
        text.push(b'\n');
    }
    Bytes::from(text)
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.chunk().map(|bytes| Ok(Frame::data(bytes))))
    }
}
