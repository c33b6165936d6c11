//! A fleet of real processes on loopback: the fake platform, the fake targets and the daemons.
//!
//! [`Fleet`] starts them, changes configuration and instance list, injects faults, and logs each
//! change as an [`Event`]. Dropping it kills every process that it started, by process id.

pub mod event;
pub mod port;
pub mod process;
mod start;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use basilbay_fakes::client::{request, send};
use basilbay_fakes::clock;
use basilbay_fakes::platform::count::Report;
use basilbay_fakes::platform::fault::Faults;
use basilbay_fakes::proxy;
use basilbay_fakes::targets::audit::{Run, Violation};
use basilbay_fakes::targets::fault::Change;
use basilbay_model::config::Config;
use basilbay_model::id::{DomainId, InstanceId, ServiceId, Version};
use bytes::Bytes;
use hyper::Method;
use tempfile::TempDir;

use crate::deployment::{self, Deployment};
use event::{Event, Kind};
use process::Process;

/// Result of an operation on a fleet.
pub type Result<T> = anyhow::Result<T>;

/// Time limit for all daemons to become ready; debug builds on a busy machine take seconds.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for daemons to finish running requests when the fleet stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Age at which a daemon may own keys: the ownership grace of the design plus a margin.
const MIN_KEY_OWNER_AGE: Duration = Duration::from_millis(4_500);

/// A daemon and its target.
#[derive(Debug)]
pub struct Member {
    /// Id of the current daemon; changes with each restart.
    pub id: InstanceId,
    /// Id of the target in the fake targets process; stays the same when the daemon restarts.
    pub target: InstanceId,
    /// Service of the target.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Daemon's address for callers.
    pub caller_address: SocketAddr,
    /// Daemon's address for other daemons.
    pub peer_address: SocketAddr,
    /// Daemon's address for operators.
    pub admin_address: SocketAddr,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Address for other daemons in the instance list; that of the fault-injecting proxy if there
    /// is one, `peer_address` otherwise.
    pub listed_peer_address: SocketAddr,
    /// Process of the daemon; `None` after it was killed.
    process: Option<Process>,
    /// Number of restarts; 0 for the daemon that the fleet started with.
    starts: u32,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Description that the fleet was started from.
    pub deployment: Deployment,
    /// Daemons with their targets, sorted by service.
    pub members: Vec<Member>,
    /// Address of the fake platform.
    pub platform_address: SocketAddr,
    /// Control address of the fake targets.
    pub targets_control: SocketAddr,
    /// Events since the start or the last call of [`Fleet::clear_runs`].
    pub events: Vec<Event>,
    /// Text and version of the configuration that was published last.
    text: String,
    version: Version,
    /// Path of the daemon's executable.
    daemon: PathBuf,
    /// Control address of the fault-injecting proxy; `None` if the deployment has no proxy.
    proxy_control: Option<SocketAddr>,
    started: Instant,
    /// Fake platform, fake targets and proxy; declared before `folder`, so that they are killed
    /// before the folder with their settings is removed.
    servers: Vec<Process>,
    folder: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready.
    pub async fn start(deployment: Deployment) -> Result<Self> {
        let mut fleet = start::fleet(deployment)?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Caller addresses of all daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.members
            .iter()
            .map(|member| member.caller_address)
            .collect()
    }

    /// Process ids of all running processes of the fleet.
    pub fn process_ids(&self) -> Vec<u32> {
        let daemons = self
            .members
            .iter()
            .filter_map(|member| member.process.as_ref());
        daemons.chain(&self.servers).map(Process::id).collect()
    }

    /// Process id of a daemon; `None` after it was killed.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.members.get(index)?.process.as_ref().map(Process::id)
    }

    /// Waits until every daemon is ready; fails if one has ended.
    pub async fn wait_until_ready(&mut self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for index in 0..self.members.len() {
            while !self.is_ready(index).await {
                self.check_alive(index)?;
                let id = &self.members[index].id;
                ensure!(
                    Instant::now() < deadline,
                    "daemon {id} was not ready within {START_TIMEOUT:?}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until the daemons are old enough to own keys.
    pub async fn wait_for_key_ownership(&self) {
        tokio::time::sleep_until((self.started + MIN_KEY_OWNER_AGE).into()).await;
    }

    fn check_alive(&mut self, index: usize) -> Result<()> {
        let log = self.log_file(index);
        let member = &mut self.members[index];
        let is_running = member.process.as_mut().is_some_and(Process::is_running);
        ensure!(
            is_running,
            "daemon {} ended before it was ready: {}",
            member.id,
            std::fs::read_to_string(log)?
        );
        Ok(())
    }

    /// Whether a daemon is ready: it rejects a call of excessive depth with 508 once it has a
    /// configuration.
    async fn is_ready(&self, index: usize) -> bool {
        let member = &self.members[index];
        let Some(service) = self.deployment.config.service(&member.service) else {
            return false;
        };
        let Some(kind) = service.kinds.first() else {
            return false;
        };
        let method = kind.methods.first().and_then(|method| method.parse().ok());
        let mut probe = request(method.unwrap_or(Method::POST), &kind.path, "");
        for (name, value) in [("host", &*member.service), ("basilbay-depth", "12")] {
            probe = basilbay_fakes::client::with_header(probe, name, value);
        }
        let response =
            tokio::time::timeout(Duration::from_secs(1), send(member.caller_address, probe)).await;
        matches!(response, Ok(Ok(response)) if response.status().as_u16() == 508)
    }

    /// Path of a daemon's log file.
    pub fn log_file(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("daemon-{index}.log"))
    }

    /// Kills a daemon (SIGKILL).
    pub fn kill(&mut self, index: usize) {
        self.record_event(Kind::Killed(self.members[index].id.clone()));
        if let Some(mut process) = self.members[index].process.take() {
            process.kill();
        }
    }

    /// Asks a daemon to stop (SIGTERM) without waiting for it.
    pub fn terminate(&mut self, index: usize) {
        self.record_event(Kind::Leaving(self.members[index].target.clone()));
        if let Some(process) = &mut self.members[index].process {
            process.terminate();
        }
    }

    /// Pauses a daemon (SIGSTOP).
    pub fn pause(&mut self, index: usize) {
        self.record_event(Kind::Paused(self.members[index].id.clone()));
        if let Some(process) = &mut self.members[index].process {
            process.pause();
        }
    }

    /// Resumes a daemon (SIGCONT).
    pub fn resume(&mut self, index: usize) {
        self.record_event(Kind::Resumed(self.members[index].id.clone()));
        if let Some(process) = &mut self.members[index].process {
            process.resume();
        }
    }

    /// Kills a daemon and starts a new one with a new id on the same ports.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        if let Some(mut process) = self.members[index].process.take() {
            process.kill();
        }
        let old = self.members[index].id.clone();
        self.members[index].starts += 1;
        let member = &mut self.members[index];
        member.id = Arc::from(format!("{}-{}", member.target, member.starts));
        let (new, target) = (member.id.clone(), member.target.clone());
        // Recorded first, because the new daemon may start runs before the instance list names it.
        self.record_event(Kind::Restarted { old, new, target });
        self.start_daemon(index)?;
        self.publish_instances().await
    }

    /// Kills all daemons and starts them again with the same ids, as after a power failure.
    pub fn restart_all(&mut self) -> Result<()> {
        for member in &mut self.members {
            if let Some(mut process) = member.process.take() {
                process.kill();
            }
        }
        for index in 0..self.members.len() {
            self.start_daemon(index)?;
        }
        Ok(())
    }

    /// Publishes a configuration text and returns its version.
    pub async fn publish(&mut self, text: &str) -> Result<Version> {
        let body = self
            .put(self.platform_address, "/fake/config", text.to_owned())
            .await?;
        text.clone_into(&mut self.text);
        self.version = std::str::from_utf8(&body)?.trim().parse()?;
        Ok(self.version)
    }

    /// Sets keys (section, key, value) of the current configuration and publishes the next version.
    pub async fn update_config(&mut self, changes: &[(&str, &str, &str)]) -> Result<Version> {
        let next = (self.version + 1).to_string();
        let mut text = deployment::set_key(&self.text, "basilbay", "version", &next);
        for (section, key, value) in changes {
            text = deployment::set_key(&text, section, key, value);
        }
        Config::parse("changed", &text)?;
        self.publish(&text).await
    }

    /// Takes a failure domain out by publishing a configuration.
    pub async fn take_domain_out(&mut self, domain: &DomainId) -> Result<()> {
        let section = format!("domain {domain}");
        self.update_config(&[(&section, "state", "out")]).await?;
        self.record_event(Kind::DomainOut(domain.clone()));
        Ok(())
    }

    /// Brings a failure domain back by publishing a configuration.
    pub async fn bring_domain_back(&mut self, domain: &DomainId) -> Result<()> {
        let section = format!("domain {domain}");
        self.record_event(Kind::DomainIn(domain.clone()));
        self.update_config(&[(&section, "state", "in")]).await?;
        Ok(())
    }

    /// Sets the faults of the platform.
    pub async fn set_platform_faults(&mut self, faults: &Faults) -> Result<()> {
        let body = serde_json::to_vec(faults)?;
        self.put(self.platform_address, "/fake/faults", body)
            .await?;
        Ok(())
    }

    /// Changes the behaviour of one target.
    pub async fn change_target(&mut self, index: usize, change: &Change) -> Result<()> {
        let target = self.members[index].target.clone();
        if change.drain == Some(true) {
            self.record_event(Kind::Leaving(target.clone()));
        }
        let body = serde_json::to_vec(change)?;
        self.put(
            self.targets_control,
            &format!("/fake/targets/{target}"),
            body,
        )
        .await?;
        Ok(())
    }

    /// Changes the behaviour of all targets.
    pub async fn change_targets(&self, change: &Change) -> Result<()> {
        let body = serde_json::to_vec(change)?;
        self.put(self.targets_control, "/fake/state", body).await?;
        Ok(())
    }

    /// Sets the faults of the network path to a daemon from all other daemons.
    pub async fn set_path_faults(
        &mut self,
        index: usize,
        faults: proxy::fault::Faults,
    ) -> Result<()> {
        let control = self.proxy_control.context("the deployment has no proxy")?;
        let command = proxy::fault::Command {
            route: Some(self.members[index].target.to_string()),
            faults: Some(faults),
            cut: false,
        };
        self.put(control, "/fake/proxy", serde_json::to_vec(&command)?)
            .await?;
        Ok(())
    }

    /// Marks an instance as leaving in the instance list.
    pub async fn mark_leaving(&mut self, index: usize) -> Result<()> {
        let id = self.members[index].id.clone();
        self.record_event(Kind::Leaving(self.members[index].target.clone()));
        let path = format!("/fake/instances/{id}/leaving");
        let call = request(Method::POST, &path, "");
        let response = send(self.platform_address, call).await?;
        ensure!(
            response.status().is_success(),
            "POST {path} to {} failed with status {}",
            self.platform_address,
            response.status()
        );
        Ok(())
    }

    /// Run log of the targets since the last call of [`Fleet::clear_runs`].
    pub async fn runs(&self) -> Result<Vec<Run>> {
        let response = send(self.targets_control, request(Method::GET, "/fake/runs", "")).await?;
        let text = std::str::from_utf8(response.body())?;
        let runs = text.lines().map(serde_json::from_str);
        runs.collect::<serde_json::Result<_>>()
            .context("cannot parse the run log of the targets")
    }

    /// Exceeded limits, as counted by each target since the last call of [`Fleet::clear_runs`].
    pub async fn violations(&self) -> Result<Vec<Violation>> {
        let response = send(
            self.targets_control,
            request(Method::GET, "/fake/violations", ""),
        )
        .await?;
        serde_json::from_slice(response.body())
            .context("cannot parse the violations of the targets")
    }

    /// Clears the logs of runs, violations and events.
    pub async fn clear_runs(&mut self) -> Result<()> {
        send(
            self.targets_control,
            request(Method::DELETE, "/fake/runs", ""),
        )
        .await?;
        self.events.clear();
        Ok(())
    }

    /// Stops all processes gracefully; returns the daemons that had to be killed.
    pub fn stop(mut self) -> Vec<InstanceId> {
        let mut killed = Vec::new();
        for member in &mut self.members {
            if let Some(process) = &mut member.process {
                process.resume();
                process.terminate();
            }
        }
        for member in &mut self.members {
            let process = member.process.take();
            if process.is_some_and(|mut process| !process.wait_or_kill(STOP_TIMEOUT)) {
                killed.push(member.id.clone());
            }
        }
        for process in &mut self.servers {
            process.stop(STOP_TIMEOUT);
        }
        killed
    }

    fn record_event(&mut self, kind: Kind) {
        self.events.push(Event {
            at_us: clock::unix_us(),
            kind,
        });
    }

    async fn put(&self, to: SocketAddr, path: &str, body: impl Into<Bytes>) -> Result<Bytes> {
        let response = send(to, request(Method::PUT, path, body)).await?;
        let text = String::from_utf8_lossy(response.body());
        ensure!(
            response.status().is_success(),
            "PUT {path} to {to} failed with status {}: {text}",
            response.status()
        );
        Ok(response.into_body())
    }
}

/// Counts of the requests to a platform since its start.
pub async fn platform_calls(platform: SocketAddr) -> Result<Report> {
    let response = send(platform, request(Method::GET, "/fake/counts", "")).await?;
    serde_json::from_slice(response.body())
        .context("cannot parse the request counts of the platform")
}
