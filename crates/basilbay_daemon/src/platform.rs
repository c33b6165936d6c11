//! Reads the platform: the configuration service and the instance list.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use basilbay_events::catalogue;
use basilbay_events::emit;
use basilbay_model::config::Config;
use basilbay_model::roster::Roster;
use basilbay_wire::frame::MAX_CONTROL_BYTES;

use crate::body;
use crate::daemon::{Daemon, View};

/// Result of a read.
pub type Result<T> = anyhow::Result<T>;

/// Time between two reads.
const INTERVAL: Duration = Duration::from_millis(500);

/// Reads the platform again and again.
pub async fn poll(daemon: Arc<Daemon>) {
    loop {
        if let Err(error) = read(&daemon).await {
            emit!(
                catalogue::PLATFORM_UNREACHABLE,
                error = format!("{error:#}")
            );
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read(daemon: &Daemon) -> Result<()> {
    let config = get(&format!("http://{}/config", daemon.settings.config_service)).await?;
    let text = String::from_utf8(config).context("configuration is not UTF-8")?;
    let config = Config::parse("published", &text)?;
    let list = get(&format!(
        "http://{}/instances",
        daemon.settings.instance_list
    ))
    .await?;
    let mut roster: Roster = serde_json::from_slice(&list)?;
    roster.sort();
    let view = daemon.view();
    if config.version > view.config.version || roster.version > view.roster.version {
        daemon.set_view(View {
            config: Arc::new(config),
            roster: Arc::new(roster),
        });
    }
    Ok(())
}

async fn get(uri: &str) -> Result<Vec<u8>> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(uri).body(body::empty())?;
    let response = client.request(request).await?;
    anyhow::ensure!(
        response.status().is_success(),
        "{uri}: {}",
        response.status()
    );
    let limited = Limited::new(response.into_body(), MAX_CONTROL_BYTES);
    let collected = limited
        .collect()
        .await
        .map_err(|error| anyhow::anyhow!("{uri}: {error}"))?;
    Ok(collected.to_bytes().to_vec())
}
