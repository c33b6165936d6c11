//! Publishes a configuration to a running fake of the configuration service.

use std::net::SocketAddr;

use anyhow::ensure;
use hyper::Method;

use crate::client;

/// Publishes a configuration text and returns its version as reported by the service.
pub async fn publish(address: SocketAddr, text: String) -> anyhow::Result<String> {
    let request = client::request(Method::PUT, "/fake/config", text);
    let response = client::send(address, request).await?;
    let body = String::from_utf8_lossy(response.body()).trim().to_owned();
    let status = response.status();
    ensure!(
        status.is_success(),
        "{address} rejected the configuration with {status}: {body}"
    );
    Ok(body)
}
