//! Parses and classifies a request of a caller.
//!
//! From the request head and the configuration this module derives the service, the kind, the
//! timeouts and the retry allowance, and refuses invalid requests before any resource is spent on
//! them.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName};

use basilbay_model::config::Config;
use basilbay_model::domain::State;
use basilbay_model::id::{KindId, ServiceId};
use basilbay_model::route::Route;
use basilbay_wire::dialect::Dialect;
use basilbay_wire::header;
use basilbay_wire::problem::{Cause, Problem};

/// Result of parsing a request.
pub type Result<T> = std::result::Result<T, Problem>;

/// Upper limit on the timeout that a caller may state.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// What the daemons need to know of a request to route and admit it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Host that the request names, in lower case and without port.
    pub host: Arc<str>,
    /// Service that the request is routed to.
    pub service: ServiceId,
    /// Request kind, or the route id if a route matched.
    pub kind: KindId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Importance of the request: under overload, the queue sheds requests of the lowest weight first.
    pub weight: u32,
    /// Time from receipt to the deadline.
    pub timeout: Duration,
    /// Time from receipt after which a response is less useful; at most the timeout.
    pub goal: Duration,
    /// Idempotency key; `None` if the caller sent none.
    pub key: Option<Arc<str>>,
    /// Number of calls above this one in its call tree; 0 if it was not caused by another call.
    pub depth: u8,
    /// Retry allowance: number of extra runs that the request may cause downstream.
    pub allowance: u8,
}

/// Settings that the configuration gives to a request.
struct Policy {
    service: ServiceId,
    kind: KindId,
    idempotent: bool,
    weight: u32,
    /// Timeout if the caller states none.
    timeout: Duration,
    /// Time after which a response is less useful; `None` if that is the deadline.
    goal: Option<Duration>,
    /// Upper limit on the timeout that the caller states.
    max_timeout: Duration,
    /// Retry allowance: number of extra runs that the request may cause downstream.
    allowance: u32,
}

/// Parses a request of a caller; `draw` is the random number that picks one of the weighted services
/// of a route.
pub fn parse(parts: &Parts, config: &Config, dialect: &Dialect, draw: u64) -> Result<Spec> {
    check_size(&parts.headers)?;
    let host = host(parts)?;
    let policy = match config.route(&host, parts.uri.path()) {
        Some(route) => route_policy(route, config, draw)?,
        None => kind_policy(parts, &host, config)?,
    };
    let service = config.service(&policy.service).ok_or_else(|| {
        let detail = format!("no service '{}'", policy.service);
        refusal(Cause::UnknownService, detail)
    })?;
    let depth = number(&parts.headers, header::DEPTH)?.unwrap_or(0);
    if depth >= u64::from(header::MAX_DEPTH) {
        let detail = format!(
            "call depth {depth} exceeds the maximum of {}",
            header::MAX_DEPTH - 1
        );
        return Err(refusal(Cause::TooDeep, detail));
    }
    let allowance = number(&parts.headers, header::ALLOWANCE)?;
    let allowance = allowance.unwrap_or_else(|| u64::from(policy.allowance));
    let allowance = allowance.min(u64::from(policy.allowance));
    let mut spec = Spec {
        host,
        service: policy.service,
        kind: policy.kind,
        idempotent: policy.idempotent,
        weight: policy.weight,
        timeout: policy.timeout,
        goal: policy.timeout,
        key: text(&parts.headers, header::IDEMPOTENCY_KEY)?.map(Arc::from),
        depth: depth as u8,
        allowance: u8::try_from(allowance).unwrap_or(u8::MAX),
    };
    let timeout = timeout(&parts.headers, &dialect.timeout_ms, policy.timeout);
    let timeout = timeout.map_err(|problem| spec.early_refusal(problem))?;
    spec.timeout = timeout.min(policy.max_timeout);
    spec.goal = policy.goal.unwrap_or(spec.timeout).min(spec.timeout);
    // A keyed request is still forwarded to the owner of its key, which may have stored a response.
    if service.state == State::Out && !spec.needs_owner() {
        let detail = format!("service '{}' is out", spec.service);
        return Err(refusal(Cause::ServiceOut, detail));
    }
    Ok(spec)
}

impl Spec {
    /// Whether the owner of the key, not the entry daemon, decides if the request runs.
    pub fn needs_owner(&self) -> bool {
        self.key.is_some() && !self.idempotent
    }

    /// Adjusts the problem of a request that is refused before the owner of its key was consulted.
    ///
    /// For a keyed request the outcome becomes unknown: an earlier request with the same key may have
    /// run, and only the owner of the key knows. An invalid request stays "not run".
    pub fn early_refusal(&self, problem: Problem) -> Problem {
        if self.needs_owner() && problem.cause != Cause::BadRequest {
            return problem.into_unknown();
        }
        problem
    }
}

fn route_policy(route: &Route, config: &Config, draw: u64) -> Result<Policy> {
    let service = route.choose(draw).ok_or_else(|| {
        let detail = format!("route '{}' has no service", route.id);
        refusal(Cause::UnknownService, detail)
    })?;
    Ok(Policy {
        service: service.clone(),
        kind: route.id.clone(),
        idempotent: route.idempotent,
        weight: route.weight(),
        timeout: route.timeout,
        goal: Some(route.goal),
        max_timeout: route.timeout,
        allowance: config
            .limits
            .allowance
            .min(route.attempts.saturating_sub(1)),
    })
}

fn kind_policy(parts: &Parts, host: &str, config: &Config) -> Result<Policy> {
    let service = config
        .service(host)
        .ok_or_else(|| refusal(Cause::UnknownService, format!("no service '{host}'")))?;
    let path = parts.uri.path();
    let kind = service.kind(parts.method.as_str(), path).ok_or_else(|| {
        let method = &parts.method;
        let detail = format!("service '{host}' has no kind for {method} {path}");
        refusal(Cause::UnknownService, detail)
    })?;
    Ok(Policy {
        service: service.id.clone(),
        kind: kind.id.clone(),
        idempotent: kind.idempotent,
        weight: kind.weight,
        timeout: kind.timeout,
        goal: None,
        max_timeout: MAX_TIMEOUT,
        allowance: config.limits.allowance,
    })
}

fn refusal(cause: Cause, detail: impl Into<Arc<str>>) -> Problem {
    Problem::not_run(cause, detail)
}

fn check_size(headers: &HeaderMap) -> Result<()> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > header::MAX_SECTION_BYTES {
        let limit = header::MAX_SECTION_BYTES;
        let detail = format!("request headers take {bytes} bytes; the limit is {limit}");
        return Err(refusal(Cause::HeadersTooLarge, detail));
    }
    if headers.len() > header::MAX_COUNT {
        let detail = format!(
            "request has {} headers; the limit is {}",
            headers.len(),
            header::MAX_COUNT
        );
        return Err(refusal(Cause::HeadersTooLarge, detail));
    }
    Ok(())
}

/// Returns the host that a request names, in lower case and without port.
fn host(parts: &Parts) -> Result<Arc<str>> {
    let named = match parts.uri.host() {
        Some(host) => host,
        None => text(&parts.headers, "host")?
            .ok_or_else(|| refusal(Cause::BadRequest, "the request names no host"))?,
    };
    let name = named.split(':').next().unwrap_or(named);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Ok(Arc::from(name.to_ascii_lowercase()));
    }
    Ok(Arc::from(name))
}

/// Returns the timeout that the caller states in a header, or else the default.
fn timeout(headers: &HeaderMap, name: &HeaderName, default: Duration) -> Result<Duration> {
    let Some(value) = text(headers, name.as_str())? else {
        return Ok(default);
    };
    let milliseconds: i64 = value.trim().parse().map_err(|_| {
        let detail = format!("header '{name}': '{value}' is not a number of milliseconds");
        refusal(Cause::BadRequest, detail)
    })?;
    let Some(milliseconds) = u64::try_from(milliseconds).ok().filter(|value| *value > 0) else {
        let detail = "the deadline had passed on arrival";
        return Err(refusal(Cause::DeadlinePassed, detail));
    };
    Ok(Duration::from_millis(milliseconds).min(MAX_TIMEOUT))
}

/// Returns the value of a header that holds a non-negative integer; `None` if it is absent.
fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    match value.trim().parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => {
            let detail = format!("header '{name}': '{value}' is not a non-negative integer");
            Err(refusal(Cause::BadRequest, detail))
        }
    }
}

/// Returns the value of a header that may occur only once; `None` if it is absent.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(refusal(
            Cause::BadRequest,
            format!("header '{name}' occurs more than once"),
        ));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(refusal(
            Cause::BadRequest,
            format!("header '{name}' contains characters other than visible ASCII"),
        )),
    }
}
