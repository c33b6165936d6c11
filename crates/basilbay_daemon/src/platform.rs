//! Reads over HTTP from the configuration service and the instance list.

use std::time::Duration;

use anyhow::Context;
use http::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use basilbay_wire::frame::MAX_CONTROL_BYTES;

use crate::body::{self, Body};
use crate::daemon::Daemon;

/// Result of a read.
pub type Result<T> = anyhow::Result<T>;

/// The connections to the platform.
pub type Connections = Client<HttpConnector, Body>;

/// Makes the connections; they are opened with the first read and kept.
pub fn connections() -> Connections {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Reads a resource; 304 comes without content.
pub async fn get(daemon: &Daemon, uri: &str, patience: Duration) -> Result<(StatusCode, Vec<u8>)> {
    let request = Request::get(uri).body(body::empty())?;
    let reading = async {
        let response = daemon.platform.request(request).await?;
        let status = response.status();
        let is_usable = status.is_success() || status == StatusCode::NOT_MODIFIED;
        anyhow::ensure!(is_usable, "{uri}: {status}");
        let bytes = body::read_all(response.into_body(), MAX_CONTROL_BYTES).await?;
        daemon.control.traffic.read(bytes.len());
        Ok((status, bytes.to_vec()))
    };
    tokio::time::timeout(patience, reading)
        .await
        .with_context(|| format!("{uri} did not answer in {patience:?}"))?
}
