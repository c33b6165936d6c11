//! Starts the processes of a fleet with generated settings in a temporary folder.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use basilbay_fakes::client::{request, send};
use basilbay_fakes::platform::list::Entry;
use basilbay_fakes::proxy::{Protocol, Route};
use basilbay_fakes::targets::spec::{Cold, Kind, Target};
use basilbay_model::roster::State;
use hyper::Method;

use super::process::{Process, find_program};
use super::{Fleet, Member, Result, port};
use crate::deployment::{Deployment, Group};

/// Age of the initial entries of the instance list, so that keys have owners from the start.
const INITIAL_LISTED_AGE: Duration = Duration::from_secs(60);

/// Ports for callers, daemons and operators, and for the route through the proxy.
const PORTS_PER_MEMBER: usize = 4;

/// Lets the operating system choose a port on loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts all processes of a fleet; does not wait until the daemons are ready.
pub(super) fn fleet(deployment: Deployment) -> Result<Fleet> {
    let folder = tempfile::Builder::new()
        .prefix("basilbay-load-")
        .tempdir()?;
    let mut members = plan_members(&deployment)?;
    let fakes = find_program("basilbay-fakes")?;
    let targets = start_targets(&fakes, folder.path(), &deployment, &mut members)?;
    let mut servers = vec![targets.0];
    let mut proxy_control = None;
    if deployment.proxied {
        let (process, control) = start_proxy(&fakes, folder.path(), &members)?;
        servers.push(process);
        proxy_control = Some(control);
    } else {
        for member in &mut members {
            member.listed_peer_address = member.peer_address;
        }
    }
    let platform = start_platform(&fakes, folder.path(), &deployment, &members)?;
    servers.push(platform.0);
    let mut fleet = Fleet {
        text: deployment.text.to_string(),
        version: deployment.config.version,
        deployment,
        members,
        platform_address: platform.1,
        targets_control: targets.1,
        events: Vec::new(),
        daemon: find_program("basilbayd")?,
        started: Instant::now(),
        servers,
        proxy_control,
        folder,
    };
    for index in 0..fleet.members.len() {
        fleet.start_daemon(index)?;
    }
    Ok(fleet)
}

fn plan_members(deployment: &Deployment) -> Result<Vec<Member>> {
    let targets: usize = deployment.groups.iter().map(|group| group.targets).sum();
    let mut ports = port::find_free(PORTS_PER_MEMBER * targets)?.into_iter();
    let mut next = || ports.next().context("more members than reserved ports");
    let domains = deployment.domains();
    let mut members = Vec::new();
    for group in &deployment.groups {
        for index in 0..group.targets {
            let id = Arc::<str>::from(format!("{}-{}", group.service, index + 1));
            let domain = &domains[members.len() % domains.len()];
            members.push(Member {
                id: id.clone(),
                target: id,
                service: group.service.clone(),
                domain: domain.clone(),
                caller_address: next()?,
                peer_address: next()?,
                admin_address: next()?,
                listed_peer_address: next()?,
                target_address: ANY_PORT,
                process: None,
                starts: 0,
            });
        }
    }
    Ok(members)
}

fn target_spec(
    deployment: &Deployment,
    group: &Group,
    member: &Member,
    seed: u64,
) -> Result<Target> {
    let service = deployment
        .config
        .service(&group.service)
        .with_context(|| format!("target group of the unknown service '{}'", group.service))?;
    let kinds = group.workloads.iter().filter_map(|workload| {
        let kind = service.kinds.iter().find(|kind| kind.id == workload.kind)?;
        Some(Kind {
            path: kind.path.clone(),
            service_time: workload.service_time,
        })
    });
    let contract = &service.contract;
    let mut target = Target::new(&member.target, &member.service, 1);
    target.slots = contract.slots;
    target.connections = contract.connections;
    target.kinds = kinds.collect();
    target.cold = Cold {
        slots: contract.cold_slots,
        warm_after: if deployment.starts_cold {
            contract.warm_after
        } else {
            0
        },
        ..Cold::default()
    };
    target.probe_cost_us = deployment.probe_cost.as_micros() as u64;
    target.open_delay_us = deployment.open_delay.as_micros() as u64;
    target.entry = Some(member.caller_address);
    target.seed = seed;
    Ok(target)
}

fn start_targets(
    fakes: &Path,
    folder: &Path,
    deployment: &Deployment,
    members: &mut [Member],
) -> Result<(Process, SocketAddr)> {
    let mut targets = Vec::new();
    for (index, member) in members.iter().enumerate() {
        let group = deployment
            .group(&member.service)
            .with_context(|| format!("no target group for member {}", member.id))?;
        targets.push(target_spec(deployment, group, member, index as u64 + 1)?);
    }
    let spec = folder.join("targets.json");
    std::fs::write(&spec, serde_json::to_vec_pretty(&targets)?)?;
    let arguments = ["targets", "--spec", &spec.display().to_string()];
    let mut process = Process::start(fakes, &arguments, &folder.join("targets.log"))?;
    let lines = process.lines(1 + members.len())?;
    let mut control = None;
    for line in &lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["control", address] => control = Some(address.parse()?),
            ["target", id, address] => {
                let member = members.iter_mut().find(|member| &*member.target == id);
                member
                    .with_context(|| {
                        format!("the targets process printed the unknown target {id}")
                    })?
                    .target_address = address.parse()?;
            }
            _ => anyhow::bail!("unexpected output of the targets process: {line}"),
        }
    }
    Ok((
        process,
        control.context("the targets process printed no control address")?,
    ))
}

fn start_proxy(fakes: &Path, folder: &Path, members: &[Member]) -> Result<(Process, SocketAddr)> {
    let routes = members.iter().map(|member| Route {
        name: member.target.clone(),
        listen: member.listed_peer_address,
        to: member.peer_address,
        protocol: Protocol::Both,
    });
    let routes: Vec<Route> = routes.collect();
    let file = folder.join("routes.json");
    std::fs::write(&file, serde_json::to_vec_pretty(&routes)?)?;
    let arguments = ["proxy", "--routes", &file.display().to_string()];
    let mut process = Process::start(fakes, &arguments, &folder.join("proxy.log"))?;
    let lines = process.lines(1 + members.len())?;
    let control = lines.first().and_then(|line| line.strip_prefix("control "));
    Ok((
        process,
        control
            .context("the proxy process printed no control address")?
            .parse()?,
    ))
}

fn roster_entries(members: &[Member]) -> Vec<Entry> {
    let entries = members.iter().map(|member| Entry {
        id: member.id.clone(),
        service: member.service.clone(),
        domain: member.domain.clone(),
        region: Arc::from(""),
        peer: member.listed_peer_address,
        admin: member.admin_address,
        listen: member.caller_address,
        state: State::Live,
        listed_ago_ms: if member.starts == 0 {
            INITIAL_LISTED_AGE.as_millis() as u64
        } else {
            0
        },
    });
    entries.collect()
}

fn start_platform(
    fakes: &Path,
    folder: &Path,
    deployment: &Deployment,
    members: &[Member],
) -> Result<(Process, SocketAddr)> {
    let config = folder.join("config.ini");
    std::fs::write(&config, &*deployment.text)?;
    let list = folder.join("instances.json");
    std::fs::write(&list, serde_json::to_vec_pretty(&roster_entries(members))?)?;
    let config = config.display().to_string();
    let list = list.display().to_string();
    let arguments = [
        "platform",
        "--listen",
        "127.0.0.1:0",
        "--config",
        &config,
        "--instances",
        &list,
    ];
    let mut process = Process::start(fakes, &arguments, &folder.join("platform.log"))?;
    let lines = process.lines(1)?;
    let line = lines
        .first()
        .context("the platform process printed nothing")?;
    let address = line
        .strip_prefix("platform ")
        .context("the platform process printed no address")?;
    Ok((process, address.parse()?))
}

impl Fleet {
    /// Starts the daemon of a member.
    pub(super) fn start_daemon(&mut self, index: usize) -> Result<()> {
        let file = self.folder.path().join(format!("daemon-{index}.ini"));
        std::fs::write(&file, self.settings(index))?;
        let file = file.display().to_string();
        let log = self.log_file(index);
        let process = Process::start_logged(&self.daemon, &["--settings", &file], &log)?;
        self.members[index].process = Some(process);
        Ok(())
    }

    /// Text of a daemon's settings file.
    fn settings(&self, index: usize) -> String {
        let member = &self.members[index];
        format!(
            "[instance]\nid = {}\nservice = {}\ndomain = {}\ntarget = {}\n\n\
             [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\n\
             [platform]\nconfig = {}\ninstances = {}\n\n\
             [log]\nfilter = warn\n",
            member.id,
            member.service,
            member.domain,
            member.target_address,
            member.caller_address,
            member.peer_address,
            member.admin_address,
            self.platform_address,
            self.platform_address,
        )
    }

    /// Publishes the instance list with all members.
    pub(super) async fn publish_instances(&self) -> Result<()> {
        let entries = roster_entries(&self.members);
        let body = serde_json::to_vec(&entries)?;
        let response = send(
            self.platform_address,
            request(Method::PUT, "/fake/instances", body),
        )
        .await?;
        anyhow::ensure!(
            response.status().is_success(),
            "PUT /fake/instances to {} failed with status {}",
            self.platform_address,
            response.status()
        );
        Ok(())
    }
}
