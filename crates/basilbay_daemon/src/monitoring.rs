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

/// Result of starting to serve an endpoint.
pub type Result<T> = anyhow::Result<T>;

/// An endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// 200 while new work is taken, else 503; whatever the path.
    Readiness,
    /// Counters, gauges and histograms in the text format of Prometheus.
    Metrics,
}

/// Binds an address and serves an endpoint there for as long as the process runs: a daemon that is
/// stopping must still say that it is not ready.
pub async fn serve(daemon: Arc<Daemon>, address: SocketAddr, endpoint: Endpoint) -> Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(daemon, listener, endpoint));
    Ok(())
}

async fn accept(daemon: Arc<Daemon>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, page = ?endpoint, "accept failed");
                tokio::time::sleep(crate::server::ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let daemon = daemon.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = answer(&daemon, endpoint);
            async move { Ok::<_, Infallible>(response) }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = serving.await {
                tracing::debug!(%error, page = ?endpoint, "connection ended");
            }
        });
    }
}

fn answer(daemon: &Daemon, endpoint: Endpoint) -> Response<Body> {
    let (status, text) = match endpoint {
        Endpoint::Readiness if daemon.is_ready() => (StatusCode::OK, String::from("ready\n")),
        Endpoint::Readiness => (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n")),
        Endpoint::Metrics => (StatusCode::OK, daemon.metrics.render()),
    };
    let mut response = Response::new(body::full(text.into()));
    *response.status_mut() = status;
    response
}
