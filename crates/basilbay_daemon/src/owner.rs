//! Keyed requests: at most one run per idempotency key.
//!
//! One daemon owns each key. The entry daemon forwards a keyed request to the owner, which consults
//! its store of keys: it runs a new request, replays the stored response of a completed one, or waits
//! for a run that is in progress. If the owner cannot determine whether a request with the key ran, it
//! reports the outcome as unknown.

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
use crate::link::Repeat;
use crate::response::{self, Reply};

/// Maximum number of keys that one daemon stores; at about 100 bytes each they take about 20 MB.
const MAX_KEYS: usize = 200_000;

/// Result of a run, as sent to the other requests with the same key that wait for it.
#[derive(Clone, Debug)]
enum Completion {
    Response(Arc<store::Response>),
    Problem(Problem),
}

/// Id of a request that waits for a run.
type WaiterId = u64;

/// The store of keys that this daemon owns, and the requests that wait for a run with their key.
#[derive(Debug, Default)]
pub struct Registry {
    /// The store of keys; empty until the first request whose key this daemon owns.
    store: OnceLock<Shards>,
    waiters: Mutex<Vec<(WaiterId, oneshot::Sender<Completion>)>>,
}

impl Registry {
    /// Returns the store, which is created on first use with the limits configured at that time.
    fn store(&self, limits: &config::Limits) -> &Shards {
        self.store.get_or_init(|| {
            Shards::new(Limits {
                entries: MAX_KEYS,
                response_bytes: usize::try_from(limits.key_memory_bytes).unwrap_or(usize::MAX),
                retention: limits.key_retention,
            })
        })
    }

    /// Number of stored keys.
    pub fn len(&self) -> usize {
        self.store.get().map_or(0, Shards::len)
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Evicts keys whose retention period has passed.
    pub fn evict_expired(&self, now: Instant) {
        if let Some(store) = self.store.get() {
            store.evict_expired(now);
        }
    }

    fn add_waiter(&self, id: WaiterId) -> oneshot::Receiver<Completion> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.push((id, sender));
        receiver
    }

    /// Sends the result of a run to waiting requests and removes them.
    fn complete_waiters(&self, ids: &[WaiterId], completion: &Completion) {
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        for id in ids {
            if let Some(index) = waiters.iter().position(|(waiter, _)| waiter == id) {
                // The send fails if the waiting caller has disconnected.
                let _ = waiters.swap_remove(index).1.send(completion.clone());
            }
        }
    }
}

/// Parses the idempotency key of a request.
pub fn parse(text: &str) -> Result<Key, Problem> {
    Key::parse(text, SystemTime::now()).map_err(|error| {
        let detail = format!("{}: {error}", header::IDEMPOTENCY_KEY);
        Problem::not_run(Cause::BadRequest, detail)
    })
}

/// Entry role: forwards a keyed request to the owner of its key.
pub async fn forward(daemon: &Arc<Daemon>, call: Call, mut payload: Payload, key: Key) -> Reply {
    let view = daemon.view();
    let retention = view.config.limits.key_retention;
    let wall_ms = key::unix_ms(SystemTime::now());
    let service = call.spec.service.clone();
    let lookup = daemon.with_history(&service, |history| {
        owner::find(history, &service, &key, wall_ms, retention)
    });
    let owner = match lookup {
        Some(Lookup::Found(owner)) => owner,
        Some(Lookup::Unknown(reason)) => return unknown(reason.to_string()),
        Some(Lookup::NoOwner) => {
            let detail = "no instance has been in the roster long enough to own a new key";
            return Reply::Problem(Problem::not_run(Cause::ServiceOut, detail));
        }
        None => return unknown("the service has no instances"),
    };
    if owner == daemon.settings.id {
        return handle(daemon, call, payload, key).await;
    }
    let Some(instance) = view.roster.instance(&owner) else {
        return unknown(format!(
            "instance {owner}, which owns the key, left the roster"
        ));
    };
    let Some(body) = payload.take() else {
        return unknown("the request body was already sent and is not buffered");
    };
    let options = Options {
        role: Role::Owner,
        allowance: call.spec.allowance,
        may_wait: true,
        suspect: false,
        aborted: false,
        repeat: false,
    };
    let exchange = hop::send(
        daemon,
        &call,
        &owner,
        instance.peer,
        options,
        body,
        Repeat::Never,
    )
    .await;
    match exchange.reply {
        // This request did not run, but an earlier one with the same key may have.
        Reply::Problem(problem) if problem.cause == Cause::DeadlinePassed => {
            Reply::Problem(problem.into_unknown())
        }
        Reply::Problem(problem) if !exchange.is_reachable => unknown(problem.to_string()),
        reply => reply,
    }
}

/// Decides, as owner of the key, whether the request runs, and runs it.
pub async fn handle(daemon: &Arc<Daemon>, call: Call, payload: Payload, key: Key) -> Reply {
    let now = Instant::now();
    let view = daemon.view();
    let limits = &view.config.limits;
    let store = daemon.registry.store(limits);
    let waiter = daemon.next_call_id();
    let content = content_hash(&call, &payload);
    let service = call.spec.service.clone();
    let wall_ms = key::unix_ms(SystemTime::now());
    let receiver = daemon.registry.add_waiter(waiter);
    let decision = decision::decide(store, &key, content, waiter, now, || {
        let local_id = &daemon.settings.id;
        let retention = limits.key_retention;
        daemon
            .with_history(&service, |history| {
                owner::may_run(history, local_id, &service, &key, wall_ms, retention)
            })
            .unwrap_or(owner::Permission::HistoryIncomplete)
    });
    if decision == Decision::Claim(Claim::Join) {
        return await_run(daemon, &call, &key, waiter, receiver).await;
    }
    daemon
        .registry
        .complete_waiters(&[waiter], &Completion::Problem(response_not_stored()));
    match decision {
        Decision::Claim(Claim::Run) => {
            // A separate task, so that a run whose caller disconnects still completes and its outcome is
            // stored.
            let running = tokio::spawn(run(daemon.clone(), call, payload, key));
            match running.await {
                Ok(reply) => reply,
                Err(error) => unknown(format!("the task that ran the request failed: {error}")),
            }
        }
        Decision::Claim(Claim::Replay(stored)) => Reply::Response(replay(&stored)),
        Decision::Claim(Claim::Reused) => {
            let detail = "the key was used with another request";
            Reply::Problem(Problem::not_run(Cause::KeyReused, detail))
        }
        Decision::Claim(Claim::Full) => {
            let detail = "the store of idempotency keys is full";
            Reply::Problem(Problem::not_run(Cause::NoCapacity, detail))
        }
        Decision::Claim(Claim::Completed) => {
            unknown("the request ran, but its response is not stored")
        }
        Decision::Claim(Claim::Interrupted | Claim::Join) => {
            unknown("an earlier run with this key was interrupted")
        }
        Decision::Denied(permission) => refusal(&permission),
    }
}

async fn run(daemon: Arc<Daemon>, call: Call, payload: Payload, key: Key) -> Reply {
    let reply = entry::route(&daemon, &call, payload).await;
    match reply {
        Reply::Response(response) if response::is_bufferable(&response) => {
            store_response(&daemon, &key, response).await
        }
        Reply::Response(response) => {
            let completion = Completion::Problem(response_not_stored());
            finish(&daemon, &key, Finish::TooLarge, &completion);
            Reply::Response(response)
        }
        Reply::Problem(problem) => {
            let outcome = match problem.outcome {
                Outcome::NotRun => Finish::NotRun,
                Outcome::Unknown => Finish::Unknown,
            };
            finish(
                &daemon,
                &key,
                outcome,
                &Completion::Problem(problem.clone()),
            );
            Reply::Problem(problem)
        }
    }
}

async fn store_response(daemon: &Daemon, key: &Key, response: Response<Body>) -> Reply {
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        let completion = Completion::Problem(response_not_stored());
        finish(daemon, key, Finish::Unknown, &completion);
        return Reply::Problem(response_not_stored());
    };
    let bytes = collected.to_bytes();
    let headers = parts.headers.iter().map(|(name, value)| {
        let name = Arc::from(name.as_str());
        (name, Arc::from(value.as_bytes()))
    });
    let stored = Arc::new(store::Response {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: Arc::from(&*bytes),
    });
    let completion = Completion::Response(stored.clone());
    finish(daemon, key, Finish::Response(stored), &completion);
    Reply::Response(Response::from_parts(parts, body::full(bytes)))
}

fn finish(daemon: &Daemon, key: &Key, outcome: Finish, completion: &Completion) {
    if let Some(store) = daemon.registry.store.get() {
        let waiters = store.finish(key, outcome, Instant::now());
        daemon.registry.complete_waiters(&waiters, completion);
    }
}

async fn await_run(
    daemon: &Daemon,
    call: &Call,
    key: &Key,
    waiter: WaiterId,
    receiver: oneshot::Receiver<Completion>,
) -> Reply {
    match tokio::time::timeout_at(call.deadline.into(), receiver).await {
        Ok(Ok(Completion::Response(stored))) => Reply::Response(replay(&stored)),
        Ok(Ok(Completion::Problem(problem))) => Reply::Problem(problem),
        Ok(Err(_)) => unknown("the run with this key ended without a result"),
        Err(_) => {
            if let Some(store) = daemon.registry.store.get() {
                store.remove_waiter(key, waiter);
            }
            let detail = "an earlier request with this key was still running at the deadline";
            Reply::Problem(Problem::unknown(Cause::DeadlinePassed, detail))
        }
    }
}

/// Returns the hash of the request content, which detects a key that is reused for another request.
///
/// A body that is too large to buffer is hashed only up to [`body::MAX_BUFFERED_BYTES`], the part that
/// every daemon reads before it streams the rest.
fn content_hash(call: &Call, payload: &Payload) -> u64 {
    let prefix = payload.prefix();
    let hashed = &prefix[..prefix.len().min(body::MAX_BUFFERED_BYTES)];
    suspect::fingerprint(
        &call.spec.service,
        call.method.as_str(),
        call.path.as_str(),
        None,
        &Sha256::digest(hashed),
    )
}

fn replay(stored: &store::Response) -> Response<Body> {
    let mut response = Response::new(body::full(Bytes::copy_from_slice(&stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in &stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response::insert_header(response.headers_mut(), header::REPLAYED, "true");
    response
}

fn refusal(permission: &owner::Permission) -> Reply {
    let detail = match permission {
        owner::Permission::NotOwner(Some(owner)) => format!("instance {owner} owns the key"),
        owner::Permission::StaleRoster => {
            "the roster has not been confirmed recently enough to decide on the key".to_owned()
        }
        owner::Permission::Expired => "the key is older than the retention period".to_owned(),
        owner::Permission::NotOwner(None) | owner::Permission::HistoryIncomplete => {
            "this daemon has no roster history back to the time when the key was issued".to_owned()
        }
        owner::Permission::Granted => "granted".to_owned(),
    };
    match permission.outcome() {
        Some(Outcome::NotRun) => Reply::Problem(Problem::not_run(Cause::Unconfirmed, detail)),
        _ => unknown(detail),
    }
}

fn response_not_stored() -> Problem {
    Problem::unknown(Cause::KeyUnknown, "the response of the run is not stored")
}

fn unknown(detail: impl Into<Arc<str>>) -> Reply {
    Reply::Problem(Problem::unknown(Cause::KeyUnknown, detail))
}
