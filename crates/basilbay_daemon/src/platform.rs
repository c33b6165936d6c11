//! The configuration service and the instance list that are read over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use basilbay_membership::reader::{PLATFORM_TIMEOUT, WATCH_TIMEOUT};
use basilbay_model::id::Version;
use basilbay_model::roster::Roster;
use basilbay_wire::frame::MAX_CONTROL_BYTES;

use crate::body::{self, Body};
use crate::source::{News, Pending, Result, Source};
use crate::traffic::Traffic;

/// Connections that are opened with the first request and kept.
pub type Connections = Client<HttpConnector, Body>;

/// Makes the connections.
pub fn connections() -> Connections {
    Client::builder(TokioExecutor::new()).build_http()
}

/// The two services.
#[derive(Debug)]
pub struct Platform {
    connections: Connections,
    config_service: SocketAddr,
    instance_list: SocketAddr,
    traffic: Arc<Traffic>,
}

impl Platform {
    /// The services at two addresses.
    pub fn new(
        config_service: SocketAddr,
        instance_list: SocketAddr,
        traffic: Arc<Traffic>,
    ) -> Self {
        Self {
            connections: connections(),
            config_service,
            instance_list,
            traffic,
        }
    }

    /// Reads a resource; 304 comes without content.
    async fn get(&self, uri: &str, patience: Duration) -> Result<(StatusCode, Vec<u8>)> {
        let request = Request::get(uri).body(body::empty())?;
        let reading = async {
            let response = self.connections.request(request).await?;
            let status = response.status();
            let is_usable = status.is_success() || status == StatusCode::NOT_MODIFIED;
            anyhow::ensure!(is_usable, "{uri}: {status}");
            let bytes = body::read_all(response.into_body(), MAX_CONTROL_BYTES).await?;
            self.traffic.read(bytes.len());
            Ok((status, bytes.to_vec()))
        };
        tokio::time::timeout(patience, reading)
            .await
            .with_context(|| format!("{uri} did not answer in {patience:?}"))?
    }

    async fn read_config(&self, after: Option<Version>) -> Result<News> {
        let address = self.config_service;
        let (uri, patience) = match after {
            Some(after) => {
                let wait_ms = WATCH_TIMEOUT.as_millis();
                let uri = format!("http://{address}/config?after={after}&wait_ms={wait_ms}");
                (uri, WATCH_TIMEOUT + PLATFORM_TIMEOUT)
            }
            None => (format!("http://{address}/config"), PLATFORM_TIMEOUT),
        };
        let (status, bytes) = self.get(&uri, patience).await?;
        if status == StatusCode::NOT_MODIFIED {
            return Ok(News::default());
        }
        Ok(News {
            config: Some(Arc::from(String::from_utf8(bytes)?)),
            roster: None,
        })
    }

    /// Reads the list; a list that knows `have` leaves the instances out while they are unchanged.
    async fn read_roster(&self, have: Version) -> Result<News> {
        let uri = format!("http://{}/instances?have={have}", self.instance_list);
        let (_, bytes) = self.get(&uri, PLATFORM_TIMEOUT).await?;
        let roster: Roster = serde_json::from_slice(&bytes)?;
        Ok(News {
            config: None,
            roster: Some(roster),
        })
    }
}

impl Source for Platform {
    fn watch(&self, after: Version) -> Pending<'_, News> {
        Box::pin(self.read_config(Some(after)))
    }

    fn config(&self) -> Pending<'_, News> {
        Box::pin(self.read_config(None))
    }

    fn roster(&self, have: Version) -> Pending<'_, News> {
        Box::pin(self.read_roster(have))
    }
}
