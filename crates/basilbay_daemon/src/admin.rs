//! RPC interface for operators (tarpc over TCP, JSON).
//!
//! Reports the daemon's status, and explains for a given request which targets the daemon could pick
//! and why.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use futures::StreamExt;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;

use basilbay_admin::{Admin, Candidate, Explanation, Peer, Status};
use basilbay_model::domain::State;
use basilbay_model::id::InstanceId;
use basilbay_routing::router;

use crate::daemon::{Daemon, View};

/// Result of binding the operators' port.
pub type Result<T> = anyhow::Result<T>;

/// Maximum number of concurrent connections of operators.
const MAX_CONNECTIONS: usize = 64;

/// Largest message from an operator; the calls have short arguments.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Serves operators until the daemon stops.
pub async fn serve(daemon: Arc<Daemon>) -> Result<()> {
    let mut listener = tcp::listen(daemon.settings.admin, Json::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    listener
        .filter_map(|accepted| std::future::ready(accepted.ok()))
        .map(BaseChannel::with_defaults)
        .map(|channel| {
            let server = Server {
                daemon: daemon.clone(),
            };
            channel.execute(server.serve()).for_each(|response| async {
                tokio::spawn(response);
            })
        })
        .buffer_unordered(MAX_CONNECTIONS)
        .for_each(|()| std::future::ready(()))
        .await;
    Ok(())
}

#[derive(Clone)]
struct Server {
    daemon: Arc<Daemon>,
}

impl Admin for Server {
    async fn status(self, _: context::Context) -> Status {
        let view = self.daemon.view();
        let peers = view.roster.instances.iter().map(|instance| Peer {
            instance: instance.id.clone(),
            admin: instance.admin,
            service: instance.service.clone(),
            domain: instance.domain.clone(),
        });
        Status {
            peers: peers.collect(),
            ..brief(&self.daemon, &view)
        }
    }

    async fn brief(self, _: context::Context) -> Status {
        let view = self.daemon.view();
        brief(&self.daemon, &view)
    }

    async fn explain(
        self,
        _: context::Context,
        service: String,
        method: String,
        path: String,
    ) -> Explanation {
        explain(&self.daemon, &service, &method, &path)
    }
}

/// Returns the status without the list of peers.
fn brief(daemon: &Daemon, view: &View) -> Status {
    let load = daemon.admission.load();
    let counts = daemon.admission.counts();
    let age = daemon
        .control
        .node()
        .roster_age(SystemTime::now())
        .unwrap_or(Duration::ZERO);
    let settings = &daemon.settings;
    Status {
        instance: settings.id.clone(),
        service: settings.service.clone(),
        domain: settings.domain.clone(),
        build: Arc::from(env!("CARGO_PKG_VERSION")),
        config_version: view.config.version,
        roster_version: view.roster.version,
        roster_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        state: Arc::from(format!("{:?}", load.state).to_lowercase()),
        in_flight: load.in_flight,
        limit: load.limit,
        queued: load.queued,
        latency_us: load.latency_us,
        completed: counts.completed,
        refused: counts.refused,
        keys: daemon.registry.len() as u64,
        control: Some(daemon.control.traffic.totals()),
        peers: Vec::new(),
    }
}

fn explain(daemon: &Daemon, service: &str, method: &str, path: &str) -> Explanation {
    let view = daemon.view();
    let configured = view.config.service(service);
    let kind = configured.and_then(|service| service.kind(method, path));
    let candidates = match daemon.shard(service) {
        Some(shard) => shard.router().statuses(daemon.next_seed(), Instant::now()),
        None => Vec::new(),
    };
    let candidates: Vec<Candidate> = candidates
        .iter()
        .map(|status| candidate(&view, status))
        .collect();
    let refusal = match configured {
        None => Some(format!("no service '{service}' in the configuration")),
        Some(service) if service.state == State::Out => Some("the service is out".to_owned()),
        Some(_) if kind.is_none() => Some(format!("no kind for {method} {path}")),
        Some(_) if candidates.iter().all(|candidate| !candidate.eligible) => {
            Some("no target takes work".to_owned())
        }
        Some(_) => None,
    };
    Explanation {
        instance: daemon.settings.id.clone(),
        service: Arc::from(service),
        kind: kind.map(|kind| kind.id.clone()),
        policy: Arc::from(configured.map_or(String::new(), |service| service.policy.to_string())),
        refusal: refusal.map(Arc::from),
        candidates,
    }
}

fn candidate(view: &View, status: &router::Status) -> Candidate {
    let domain_state = view
        .config
        .domain(&status.domain)
        .map_or(State::Out, |domain| domain.state);
    let reason = reason(view, domain_state, status);
    Candidate {
        instance: status.id.clone(),
        domain: status.domain.clone(),
        domain_state,
        eligible: status.accepts_requests,
        reason: Arc::from(reason),
        in_flight: status.load.in_flight,
        limit: status.load.limit,
        age_ms: status
            .report_age
            .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        share_permille: status.share_permille,
    }
}

/// Returns the reason, in words for operators, why a candidate is or is not eligible.
fn reason(view: &View, domain_state: State, status: &router::Status) -> String {
    let id: &InstanceId = &status.id;
    if domain_state == State::Out {
        return format!("failure domain {} is out", status.domain);
    }
    let listed = view.roster.instance(id).map(|instance| instance.state);
    if status.is_leaving || listed == Some(basilbay_model::roster::State::Leaving) {
        return "leaving".to_owned();
    }
    if !status.accepts_requests {
        return format!("its daemon says {:?}", status.load.state).to_lowercase();
    }
    if status.is_ejected {
        return "avoided as a straggler; tried again gently".to_owned();
    }
    let locality = if status.is_local {
        "own failure domain"
    } else {
        "another failure domain"
    };
    format!("{locality}, {:?}", status.load.state).to_lowercase()
}
