//! Source that reads the configuration service and the instance list over HTTP.
//!
//! The configuration is an INI text, whose changes are awaited by long polling; the roster is JSON. A
//! read that names the version that the daemon has transfers the content only if it changed.

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
use crate::source::{ReadFuture, Result, Source, Update};
use crate::traffic::Traffic;

/// HTTP client that opens connections on demand and keeps them alive.
pub type HttpClient = Client<HttpConnector, Body>;

/// Creates a client.
pub fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Client of the configuration service and the instance list.
#[derive(Debug)]
pub struct Platform {
    client: HttpClient,
    config_service: SocketAddr,
    instance_list: SocketAddr,
    traffic: Arc<Traffic>,
}

impl Platform {
    /// Creates a client of the services at these addresses, which counts its reads in `traffic`.
    pub fn new(
        config_service: SocketAddr,
        instance_list: SocketAddr,
        traffic: Arc<Traffic>,
    ) -> Self {
        Self {
            client: http_client(),
            config_service,
            instance_list,
            traffic,
        }
    }

    /// Reads a resource; a response with status 304 has no content.
    async fn get(&self, uri: &str, timeout: Duration) -> Result<(StatusCode, Vec<u8>)> {
        let request = Request::get(uri).body(body::empty())?;
        let request = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let is_accepted = status.is_success() || status == StatusCode::NOT_MODIFIED;
            anyhow::ensure!(is_accepted, "{uri}: unexpected status {status}");
            let bytes = body::read_all(response.into_body(), MAX_CONTROL_BYTES).await?;
            self.traffic.record_platform_read(bytes.len());
            Ok((status, bytes.to_vec()))
        };
        tokio::time::timeout(timeout, request)
            .await
            .with_context(|| format!("{uri}: no response within {timeout:?}"))?
    }

    async fn read_config(&self, after: Option<Version>) -> Result<Update> {
        let address = self.config_service;
        let (uri, timeout) = match after {
            Some(after) => {
                let wait_ms = WATCH_TIMEOUT.as_millis();
                let uri = format!("http://{address}/config?after={after}&wait_ms={wait_ms}");
                (uri, WATCH_TIMEOUT + PLATFORM_TIMEOUT)
            }
            None => (format!("http://{address}/config"), PLATFORM_TIMEOUT),
        };
        let (status, bytes) = self.get(&uri, timeout).await?;
        if status == StatusCode::NOT_MODIFIED {
            return Ok(Update::default());
        }
        Ok(Update {
            config: Some(Arc::from(String::from_utf8(bytes)?)),
            roster: None,
        })
    }

    /// Reads the instance list; the service omits the instances if its version is still `have`.
    async fn read_roster(&self, have: Version) -> Result<Update> {
        let uri = format!("http://{}/instances?have={have}", self.instance_list);
        let (_, bytes) = self.get(&uri, PLATFORM_TIMEOUT).await?;
        let roster: Roster = serde_json::from_slice(&bytes)?;
        Ok(Update {
            config: None,
            roster: Some(roster),
        })
    }
}

impl Source for Platform {
    fn watch(&self, after: Version) -> ReadFuture<'_, Update> {
        Box::pin(self.read_config(Some(after)))
    }

    fn config(&self) -> ReadFuture<'_, Update> {
        Box::pin(self.read_config(None))
    }

    fn roster(&self, have: Version) -> ReadFuture<'_, Update> {
        Box::pin(self.read_roster(have))
    }
}
