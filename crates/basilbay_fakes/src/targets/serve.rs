//! Connections of one target, through its crashes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};

use super::request;
use super::worker::{Connection, Worker};
use crate::web;

/// Accepts connections until the process stops; a crash closes the port for a while.
pub(super) async fn run(worker: Arc<Worker>, mut listener: TcpListener) {
    loop {
        accept(&worker, &listener).await;
        drop(listener);
        if worker.stop.is_cancelled() {
            return;
        }
        match reopen(&worker).await {
            Ok(reopened) => listener = reopened,
            Err(error) => {
                tracing::error!(target = %worker.spec.id, %error, "cannot listen again");
                return;
            }
        }
    }
}

/// Accepts until the target crashes.
async fn accept(worker: &Arc<Worker>, listener: &TcpListener) {
    let alive = worker.alive();
    loop {
        let stream = tokio::select! {
            () = alive.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else {
            // Out of file descriptors, for example: accept again once others have closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(connection) = worker.connect() else {
            continue;
        };
        tokio::spawn(hold(worker.clone(), stream, connection));
    }
}

/// Keeps the port without listening, so that connections are refused and nobody else takes it.
async fn reopen(worker: &Arc<Worker>) -> anyhow::Result<TcpListener> {
    let socket = web::reserve(worker.address)?;
    while let Some(until) = worker.refuses_until() {
        tokio::select! {
            () = worker.timer.sleep_until(until) => {}
            () = worker.stop.cancelled() => break,
        }
    }
    web::open(socket)
}

async fn hold(worker: Arc<Worker>, stream: TcpStream, connection: Connection) {
    let opened = Instant::now() + Duration::from_micros(worker.spec.open_delay_us);
    let alive = connection.alive.clone();
    let served = async {
        worker.timer.sleep_until(opened).await;
        let handler = |incoming| request::handle(worker.clone(), incoming);
        web::connection(stream, handler).await;
    };
    tokio::select! {
        () = alive.cancelled() => {}
        () = served => {}
    }
}
