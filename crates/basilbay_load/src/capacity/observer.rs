//! Asks the daemons of a fleet over the operators' interface.

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

/// Time between two questions to a daemon that lacks a version.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time after which a version that is not in force everywhere fails the measurement.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Sweeps over the daemons at the same time: few, so that asking costs little CPU.
const POLLERS: usize = 8;

/// Open connections to all daemons of a fleet.
pub(super) struct Observer {
    clients: Vec<AdminClient>,
}

impl Observer {
    pub(super) async fn connect(fleet: &Fleet) -> Result<Self> {
        let mut clients = Vec::new();
        for member in &fleet.members {
            clients.push(connect(member.admin).await?);
        }
        Ok(Self { clients })
    }

    /// Control counters of all daemons, in the order of the fleet's members.
    pub(super) async fn counters(&self) -> Result<Vec<Control>> {
        let mut counters = Vec::new();
        for client in &self.clients {
            let status = brief_status(client).await?;
            counters.push(
                status
                    .control
                    .context("a daemon without control counters")?,
            );
        }
        Ok(counters)
    }

    /// Waits until a configuration is in force on all daemons.
    ///
    /// Each sweep stays at a daemon until it has the version, so the time at the end is that of the
    /// slowest daemon plus at most one round of questions.
    pub(super) async fn wait_for_version(&self, version: Version) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        let mut pollers = JoinSet::new();
        let clients_per_poller = self.clients.len().div_ceil(POLLERS).max(1);
        for clients in self.clients.chunks(clients_per_poller) {
            let clients = clients.to_vec();
            pollers.spawn(async move {
                for client in &clients {
                    while brief_status(client).await?.config_version < version {
                        ensure!(Instant::now() < deadline, "version {version} not in force");
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
        .with_context(|| format!("operators' port {address}"))?;
    Ok(AdminClient::new(client::Config::default(), transport).spawn())
}

async fn brief_status(client: &AdminClient) -> Result<Status> {
    let mut context = context::current();
    context.deadline = Instant::now() + TIMEOUT;
    Ok(client.brief(context).await?)
}
