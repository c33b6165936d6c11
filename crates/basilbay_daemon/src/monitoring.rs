//! HTTP endpoints for monitoring: the readiness of the daemon, and its metrics in the text format of
//! Prometheus.

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
use crate::server::ACCEPT_RETRY_DELAY;

/// Result of binding an endpoint.
pub type Result<T> = anyhow::Result<T>;

/// A monitoring endpoint; each has an address of its own and ignores the request path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Status 200 while the daemon accepts new requests, else 503.
    Readiness,
    /// Counters, gauges and histograms in the text format of Prometheus.
    Metrics,
}

/// Binds an address and serves an endpoint there until the process ends: a daemon that is shutting
/// down must still report that it is not ready.
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
                tracing::warn!(
                    %error,
                    page = ?endpoint,
                    "failed to accept a monitoring connection; retrying in {ACCEPT_RETRY_DELAY:?}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let daemon = daemon.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = respond(&daemon, endpoint);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, page = ?endpoint, "monitoring connection failed");
            }
        });
    }
}

fn respond(daemon: &Daemon, endpoint: Endpoint) -> Response<Body> {
    let (status, text) = match endpoint {
        Endpoint::Readiness if daemon.is_ready() => (StatusCode::OK, String::from("ready\n")),
        Endpoint::Readiness => (StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n")),
        Endpoint::Metrics => (StatusCode::OK, daemon.metrics.render()),
    };
    let mut response = Response::new(body::full(text.into()));
    *response.status_mut() = status;
    response
}
