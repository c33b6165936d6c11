//! Small pages for the machines around the daemon: readiness, and metrics as text.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::body::{self, Body};
use crate::daemon::Daemon;

/// Result of starting to serve a page.
pub type Result<T> = anyhow::Result<T>;

/// A page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    /// 200 while new work is taken, else 503; whatever the path.
    Readiness,
    /// Counters, gauges and histograms in the text format of Prometheus.
    Metrics,
}

/// Binds an address and serves a page there for as long as the process runs: a daemon that is
/// stopping must still say that it is not ready.
pub async fn serve(daemon: Arc<Daemon>, address: SocketAddr, page: Page) -> Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(daemon, listener, page));
    Ok(())
}

async fn accept(daemon: Arc<Daemon>, listener: TcpListener, page: Page) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, ?page, "accept failed");
                tokio::time::sleep(crate::server::ACCEPT_PAUSE).await;
                continue;
            }
        };
        let daemon = daemon.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = answer(&daemon, page);
            async move { Ok::<_, Infallible>(response) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = serving.await {
                tracing::debug!(%error, ?page, "connection ended");
            }
        });
    }
}

fn answer(daemon: &Daemon, page: Page) -> Response<Body> {
    let (status, text) = match page {
        Page::Readiness if daemon.is_ready() => (StatusCode::OK, String::from("ready\n")),
        Page::Readiness => (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n")),
        Page::Metrics => (StatusCode::OK, daemon.metrics.text()),
    };
    let mut response = Response::new(body::full(text.into()));
    *response.status_mut() = status;
    response
}
