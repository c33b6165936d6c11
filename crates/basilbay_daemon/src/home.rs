//! Keyed requests: each runs at most once, through the home daemon of its key.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Instant, SystemTime};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use basilbay_keys::decision::{self, Decision};
use basilbay_keys::key::{self, Key};
use basilbay_keys::owner::{self, Lookup};
use basilbay_keys::store::{self, Claim, Finish, Limits, Shards};
use basilbay_keys::suspect;
use basilbay_model::config;
use basilbay_wire::header;
use basilbay_wire::hop::Role;
use basilbay_wire::problem::{Cause, Outcome, Problem};

use crate::body::{self, Body, Payload};
use crate::call::{Call, Options};
use crate::daemon::Daemon;
use crate::entry;
use crate::hop;
use crate::response::{self, Reply};

/// Keys that one daemon remembers; at about 100 bytes each they take some 20 MB.
const MAX_FACTS: usize = 200_000;

/// What those learn who waited for the run of another request with the same key.
#[derive(Clone, Debug)]
enum Ended {
    Answer(Arc<store::Response>),
    Problem(Problem),
}

/// Number of a request that waits.
type WaiterId = u64;

/// The memory of keys, and the requests that wait for a running one.
#[derive(Debug, Default)]
pub struct Registry {
    shards: OnceLock<Shards>,
    waiting: Mutex<Vec<(WaiterId, oneshot::Sender<Ended>)>>,
}

impl Registry {
    /// The memory, made with the limits that are in force when it is first used.
    fn shards(&self, limits: &config::Limits) -> &Shards {
        self.shards.get_or_init(|| {
            Shards::new(Limits {
                entries: MAX_FACTS,
                response_bytes: usize::try_from(limits.key_memory_bytes).unwrap_or(usize::MAX),
                retention: limits.key_retention,
            })
        })
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.shards.get().map_or(0, Shards::len)
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets keys whose retention is over.
    pub fn forget(&self, now: Instant) {
        if let Some(shards) = self.shards.get() {
            shards.evict_expired(now);
        }
    }

    fn wait(&self, id: WaiterId) -> oneshot::Receiver<Ended> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.push((id, sender));
        receiver
    }

    fn wake(&self, ids: &[WaiterId], ended: &Ended) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        for id in ids {
            if let Some(index) = waiting.iter().position(|(waiter, _)| waiter == id) {
                // A caller that went away meanwhile needs no answer.
                let _ = waiting.swap_remove(index).1.send(ended.clone());
            }
        }
    }
}

/// Reads the key of a request.
pub fn parse(text: &str) -> Result<Key, Problem> {
    Key::parse(text, SystemTime::now()).map_err(|error| {
        let detail = format!("{}: {error}", header::IDEMPOTENCY_KEY);
        Problem::not_run(Cause::BadRequest, detail)
    })
}

/// Entry role: sends a keyed request to the home of its key.
pub async fn route(daemon: &Arc<Daemon>, call: Call, mut body: Payload, key: Key) -> Reply {
    let view = daemon.view();
    let retention = view.config.limits.key_retention;
    let wall = key::unix_ms(SystemTime::now());
    let service = call.spec.service.clone();
    let verdict = daemon.with_history(&service, |history| {
        owner::find(history, &service, &key, wall, retention)
    });
    let home = match verdict {
        Some(Lookup::Found(home)) => home,
        Some(Lookup::Unknown(reason)) => return unknown(reason.to_string()),
        Some(Lookup::NoOwner) => {
            let detail = "no instance has been listed for long enough to own a new key";
            return Reply::Problem(Problem::not_run(Cause::ServiceOut, detail));
        }
        None => return unknown("the service has no instances"),
    };
    if home == daemon.settings.id {
        return handle(daemon, call, body, key).await;
    }
    let Some(instance) = view.roster.instance(&home) else {
        return unknown(format!("{home}, which owns the key, is gone"));
    };
    let Some(taken) = body.take() else {
        return unknown("the request's body is gone");
    };
    let options = Options {
        role: Role::Owner,
        allowance: call.spec.allowance,
        may_wait: true,
        suspect: false,
    };
    let exchange = hop::send(daemon, &call, &home, instance.peer, options, taken).await;
    match exchange.reply {
        // This send has not run, but an earlier one with the same key may have.
        Reply::Problem(problem) if problem.cause == Cause::DeadlinePassed => {
            Reply::Problem(problem.into_unknown())
        }
        Reply::Problem(problem) if !exchange.is_reachable => unknown(problem.to_string()),
        reply => reply,
    }
}

/// Target role: decides, as home of the key, whether the request runs, and runs it.
pub async fn handle(daemon: &Arc<Daemon>, call: Call, body: Payload, key: Key) -> Reply {
    let now = Instant::now();
    let view = daemon.view();
    let limits = &view.config.limits;
    let shards = daemon.registry.shards(limits);
    let waiter = daemon.next_call_id();
    let content = content_of(&call, &body);
    let service = call.spec.service.clone();
    let wall = key::unix_ms(SystemTime::now());
    let receiver = daemon.registry.wait(waiter);
    let decision = decision::decide(shards, &key, content, waiter, now, || {
        let me = &daemon.settings.id;
        let retention = limits.key_retention;
        daemon
            .with_history(&service, |history| {
                owner::may_run(history, me, &service, &key, wall, retention)
            })
            .unwrap_or(owner::Permission::HistoryIncomplete)
    });
    if decision == Decision::Claim(Claim::Join) {
        return join(daemon, &call, &key, waiter, receiver).await;
    }
    daemon
        .registry
        .wake(&[waiter], &Ended::Problem(forgotten()));
    match decision {
        Decision::Claim(Claim::Run) => {
            // The run outlives a caller that goes away: its outcome must be remembered.
            let running = tokio::spawn(run(daemon.clone(), call, body, key));
            match running.await {
                Ok(reply) => reply,
                Err(error) => unknown(format!("the run failed: {error}")),
            }
        }
        Decision::Claim(Claim::Replay(answer)) => Reply::Response(replay(&answer)),
        Decision::Claim(Claim::Reused) => {
            let detail = "the key was used with another request";
            Reply::Problem(Problem::not_run(Cause::KeyReused, detail))
        }
        Decision::Claim(Claim::Full) => {
            let detail = "no room for another key";
            Reply::Problem(Problem::not_run(Cause::NoCapacity, detail))
        }
        Decision::Claim(Claim::Completed) => unknown("the key ran; its answer is not stored"),
        Decision::Claim(Claim::Interrupted | Claim::Join) => unknown("an earlier run broke off"),
        Decision::Denied(permission) => denied(&permission),
    }
}

async fn run(daemon: Arc<Daemon>, call: Call, body: Payload, key: Key) -> Reply {
    let reply = entry::route(&daemon, &call, body).await;
    match reply {
        Reply::Response(response) if response::is_bufferable(&response) => {
            keep(&daemon, &key, response).await
        }
        Reply::Response(response) => {
            let ended = Ended::Problem(forgotten());
            finish(&daemon, &key, Finish::TooLarge, &ended);
            Reply::Response(response)
        }
        Reply::Problem(problem) => {
            let outcome = match problem.outcome {
                Outcome::NotRun => Finish::NotRun,
                Outcome::Unknown => Finish::Unknown,
            };
            finish(&daemon, &key, outcome, &Ended::Problem(problem.clone()));
            Reply::Problem(problem)
        }
    }
}

async fn keep(daemon: &Daemon, key: &Key, response: Response<Body>) -> Reply {
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        let ended = Ended::Problem(forgotten());
        finish(daemon, key, Finish::Unknown, &ended);
        return Reply::Problem(forgotten());
    };
    let bytes = collected.to_bytes();
    let headers = parts.headers.iter().map(|(name, value)| {
        let name = Arc::from(name.as_str());
        (name, Arc::from(value.as_bytes()))
    });
    let answer = Arc::new(store::Response {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Arc::from(&*bytes),
    });
    let ended = Ended::Answer(answer.clone());
    finish(daemon, key, Finish::Response(answer), &ended);
    Reply::Response(Response::from_parts(parts, body::full(bytes)))
}

fn finish(daemon: &Daemon, key: &Key, outcome: Finish, ended: &Ended) {
    if let Some(shards) = daemon.registry.shards.get() {
        let waiters = shards.finish(key, outcome, Instant::now());
        daemon.registry.wake(&waiters, ended);
    }
}

async fn join(
    daemon: &Daemon,
    call: &Call,
    key: &Key,
    waiter: WaiterId,
    receiver: oneshot::Receiver<Ended>,
) -> Reply {
    match tokio::time::timeout_at(call.deadline.into(), receiver).await {
        Ok(Ok(Ended::Answer(answer))) => Reply::Response(replay(&answer)),
        Ok(Ok(Ended::Problem(problem))) => Reply::Problem(problem),
        Ok(Err(_)) => unknown("the run of the key was lost"),
        Err(_) => {
            if let Some(shards) = daemon.registry.shards.get() {
                shards.remove_waiter(key, waiter);
            }
            let detail = "the key was still running at the deadline";
            Reply::Problem(Problem::unknown(Cause::DeadlinePassed, detail))
        }
    }
}

/// Hash of the request itself, to tell another request with the same key. Of a body that is too
/// large to keep, the part counts that every daemon reads before it streams the rest.
fn content_of(call: &Call, body: &Payload) -> u64 {
    let prefix = body.prefix();
    let known = &prefix[..prefix.len().min(body::MAX_BUFFERED_BYTES)];
    suspect::fingerprint(
        &call.spec.service,
        call.method.as_str(),
        call.path.as_str(),
        None,
        &Sha256::digest(known),
    )
}

fn replay(answer: &store::Response) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::copy_from_slice(&answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response::insert_header(response.headers_mut(), header::REPLAYED, "true");
    response
}

fn denied(permission: &owner::Permission) -> Reply {
    let detail = match permission {
        owner::Permission::NotOwner(Some(home)) => format!("{home} owns the key"),
        owner::Permission::StaleRoster => "the instance list was not confirmed lately".to_owned(),
        owner::Permission::Expired => "the key is older than the retention".to_owned(),
        owner::Permission::NotOwner(None) | owner::Permission::HistoryIncomplete => {
            "this daemon's memory does not reach back to the key's issue".to_owned()
        }
        owner::Permission::Granted => "granted".to_owned(),
    };
    match permission.outcome() {
        Some(Outcome::NotRun) => Reply::Problem(Problem::not_run(Cause::Unconfirmed, detail)),
        _ => unknown(detail),
    }
}

fn forgotten() -> Problem {
    Problem::unknown(Cause::KeyUnknown, "the answer of the run is not stored")
}

fn unknown(detail: impl Into<Arc<str>>) -> Reply {
    Reply::Problem(Problem::unknown(Cause::KeyUnknown, detail))
}
