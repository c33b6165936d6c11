//! The platform's own act of publishing a file to a running stand-in.

use std::net::SocketAddr;

use anyhow::ensure;
use hyper::Method;

use crate::client;

/// Publishes a text; returns the service's answer, which is the version.
pub async fn publish(to: SocketAddr, text: String) -> anyhow::Result<String> {
    let request = client::request(Method::PUT, "/fake/config", text);
    let response = client::send(to, request).await?;
    let answer = String::from_utf8_lossy(response.body()).trim().to_owned();
    let status = response.status();
    ensure!(status.is_success(), "{to} answered {status}: {answer}");
    Ok(answer)
}
