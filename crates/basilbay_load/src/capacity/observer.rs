//! Queries the daemons of a fleet through the admin service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use basilbay_admin::{AdminClient, Control, Status};
use basilbay_model::id::Version;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context};
use tokio::task::JoinSet;

use super::Result;
use crate::fleet::Fleet;

/// Time between two queries of a daemon that lacks the awaited version.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time limit of a query, and of waiting until a version is active on all daemons.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Number of concurrent pollers; few, because their CPU use would distort the measurement.
const POLLERS: usize = 8;

/// Connections to the admin services of a fleet's daemons.
pub(super) struct Observer {
    clients: Vec<AdminClient>,
}

impl Observer {
    pub(super) async fn connect(fleet: &Fleet) -> Result<Self> {
        let mut clients = Vec::new();
        for member in &fleet.members {
            clients.push(connect(member.admin_address).await?);
        }
        Ok(Self { clients })
    }

    /// Control-plane counters of all daemons, in the order of the fleet's members.
    pub(super) async fn counters(&self) -> Result<Vec<Control>> {
        let mut counters = Vec::new();
        for client in &self.clients {
            let status = brief_status(client).await?;
            counters.push(
                status
                    .control
                    .context("daemon status lacks control counters")?,
            );
        }
        Ok(counters)
    }

    /// Waits until a configuration version is active on all daemons.
    ///
    /// Each poller waits for one daemon after the other, so the total time is that of the slowest
    /// daemon plus at most one query of each remaining daemon.
    pub(super) async fn wait_for_version(&self, version: Version) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        let mut pollers = JoinSet::new();
        let clients_per_poller = self.clients.len().div_ceil(POLLERS).max(1);
        for clients in self.clients.chunks(clients_per_poller) {
            let clients = clients.to_vec();
            pollers.spawn(async move {
                for client in &clients {
                    while brief_status(client).await?.config_version < version {
                        ensure!(
                            Instant::now() < deadline,
                            "version {version} is not active on all daemons within {TIMEOUT:?}"
                        );
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                }
                Ok(())
            });
        }
        while let Some(polled) = pollers.join_next().await {
            polled??;
        }
        Ok(())
    }
}

async fn connect(address: SocketAddr) -> Result<AdminClient> {
    let transport = tcp::connect(address, Json::default)
        .await
        .with_context(|| format!("cannot connect to admin service at {address}"))?;
    Ok(AdminClient::new(client::Config::default(), transport).spawn())
}

async fn brief_status(client: &AdminClient) -> Result<Status> {
    let mut context = context::current();
    context.deadline = Instant::now() + TIMEOUT;
    Ok(client.brief(context).await?)
}
