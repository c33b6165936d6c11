//! Listener and connections of one target, which close and reopen with each crash.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};

use super::request;
use super::worker::{Connection, Worker};
use crate::web;

/// Accepts connections until the process stops; after each crash, connections are refused until the
/// restart.
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
                tracing::error!(
                    target = %worker.spec.id,
                    %error,
                    "cannot reopen the port after a crash"
                );
                return;
            }
        }
    }
}

/// Accepts connections until the target crashes.
async fn accept(worker: &Arc<Worker>, listener: &TcpListener) {
    let crashed = worker.crash_token();
    loop {
        let stream = tokio::select! {
            () = crashed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else {
            // For example when file descriptors run out: retry once other connections have closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(connection) = worker.connect() else {
            continue;
        };
        tokio::spawn(serve_connection(worker.clone(), stream, connection));
    }
}

/// Binds the port at once but does not listen until the restart time is over, so that connections
/// are refused and no other process takes the port.
async fn reopen(worker: &Arc<Worker>) -> anyhow::Result<TcpListener> {
    let socket = web::bind(worker.address)?;
    while let Some(restart_at) = worker.restart_at() {
        tokio::select! {
            () = worker.timer.sleep_until(restart_at) => {}
            () = worker.stop.cancelled() => break,
        }
    }
    web::listen_on(socket)
}

/// Serves a connection until it closes or the target crashes.
async fn serve_connection(worker: Arc<Worker>, stream: TcpStream, connection: Connection) {
    let ready_at = Instant::now() + Duration::from_micros(worker.spec.open_delay_us);
    let crashed = connection.crash_token.clone();
    let serve = async {
        worker.timer.sleep_until(ready_at).await;
        let handler = |incoming| request::handle(worker.clone(), incoming);
        web::connection(stream, handler).await;
    };
    tokio::select! {
        () = crashed.cancelled() => {}
        () = serve => {}
    }
}
