//! Reads what a caller asks for, before anything is done about it.

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

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Problem>;

/// Longest time that a request may have.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The host that it names, in lower case and without port.
    pub host: Arc<str>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// The kind that the request belongs to.
    pub kind: KindId,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// How much it counts.
    pub weight: u32,
    /// Time that it has from now on.
    pub timeout: Duration,
    /// Time from now on after which an answer is of less use.
    pub goal: Duration,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// Calls above it.
    pub depth: u8,
    /// Extra runs that it may cause.
    pub allowance: u8,
}

/// What the configuration says of a request.
struct Rules {
    service: ServiceId,
    kind: KindId,
    idempotent: bool,
    weight: u32,
    /// Time that a request has which states none.
    timeout: Duration,
    /// Time after which an answer is of less use; `None` if it is not before the deadline.
    goal: Option<Duration>,
    /// Most time that a request has, whatever it states.
    most: Duration,
    /// Extra runs that it may cause.
    allowance: u32,
}

/// Reads a request of a caller; `draw` chooses among the services of a route.
pub fn parse(parts: &Parts, config: &Config, dialect: &Dialect, draw: u64) -> Result<Spec> {
    check_size(&parts.headers)?;
    let host = host(parts)?;
    let rules = match config.route(&host, parts.uri.path()) {
        Some(route) => of_route(route, config, draw)?,
        None => of_kind(parts, &host, config)?,
    };
    let service = config.service(&rules.service).ok_or_else(|| {
        let detail = format!("no service '{}'", rules.service);
        refuse(Cause::UnknownService, detail)
    })?;
    let depth = number(&parts.headers, header::DEPTH)?.unwrap_or(0);
    if depth >= u64::from(header::MAX_DEPTH) {
        let detail = format!("{depth} calls above; at most {}", header::MAX_DEPTH - 1);
        return Err(refuse(Cause::TooDeep, detail));
    }
    let allowance = number(&parts.headers, header::ALLOWANCE)?;
    let allowance = allowance.unwrap_or_else(|| u64::from(rules.allowance));
    let allowance = allowance.min(u64::from(rules.allowance));
    let mut spec = Spec {
        host,
        service: rules.service,
        kind: rules.kind,
        idempotent: rules.idempotent,
        weight: rules.weight,
        timeout: rules.timeout,
        goal: rules.timeout,
        key: text(&parts.headers, header::IDEMPOTENCY_KEY)?.map(Arc::from),
        depth: depth as u8,
        allowance: u8::try_from(allowance).unwrap_or(u8::MAX),
    };
    let timeout = timeout(&parts.headers, &dialect.timeout_ms, rules.timeout);
    let timeout = timeout.map_err(|problem| spec.of_this_send(problem))?;
    spec.timeout = timeout.min(rules.most);
    spec.goal = rules.goal.unwrap_or(spec.timeout).min(spec.timeout);
    // The home of a key is asked all the same: it may remember an answer.
    if service.state == State::Out && !spec.has_home() {
        let detail = format!("service '{}' is out", spec.service);
        return Err(refuse(Cause::ServiceOut, detail));
    }
    Ok(spec)
}

impl Spec {
    /// Whether the home of its key decides about the request.
    pub fn has_home(&self) -> bool {
        self.key.is_some() && !self.idempotent
    }

    /// Words a refusal that another send of the same request need not have met: only the home of
    /// a key knows whether an earlier send ran.
    pub fn of_this_send(&self, problem: Problem) -> Problem {
        if self.has_home() && problem.cause != Cause::BadRequest {
            return problem.into_unknown();
        }
        problem
    }
}

fn of_route(route: &Route, config: &Config, draw: u64) -> Result<Rules> {
    let service = route.choose(draw).ok_or_else(|| {
        let detail = format!("route '{}' leads to no service", route.id);
        refuse(Cause::UnknownService, detail)
    })?;
    Ok(Rules {
        service: service.clone(),
        kind: route.id.clone(),
        idempotent: route.idempotent,
        weight: route.weight(),
        timeout: route.timeout,
        goal: Some(route.goal),
        most: route.timeout,
        allowance: config
            .limits
            .allowance
            .min(route.attempts.saturating_sub(1)),
    })
}

fn of_kind(parts: &Parts, host: &str, config: &Config) -> Result<Rules> {
    let service = config
        .service(host)
        .ok_or_else(|| refuse(Cause::UnknownService, format!("no service '{host}'")))?;
    let path = parts.uri.path();
    let kind = service.kind(parts.method.as_str(), path).ok_or_else(|| {
        let method = &parts.method;
        let detail = format!("service '{host}' has no kind for {method} {path}");
        refuse(Cause::UnknownService, detail)
    })?;
    Ok(Rules {
        service: service.id.clone(),
        kind: kind.id.clone(),
        idempotent: kind.idempotent,
        weight: kind.weight,
        timeout: kind.timeout,
        goal: None,
        most: MAX_TIMEOUT,
        allowance: config.limits.allowance,
    })
}

fn refuse(cause: Cause, detail: impl Into<Arc<str>>) -> Problem {
    Problem::not_run(cause, detail)
}

fn check_size(headers: &HeaderMap) -> Result<()> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > header::MAX_SECTION_BYTES {
        let limit = header::MAX_SECTION_BYTES;
        let detail = format!("{bytes} bytes of headers; at most {limit}");
        return Err(refuse(Cause::HeadersTooLarge, detail));
    }
    if headers.len() > header::MAX_COUNT {
        let detail = format!("{} headers; at most {}", headers.len(), header::MAX_COUNT);
        return Err(refuse(Cause::HeadersTooLarge, detail));
    }
    Ok(())
}

/// The host that a request names, in lower case and without port.
fn host(parts: &Parts) -> Result<Arc<str>> {
    let named = match parts.uri.host() {
        Some(host) => host,
        None => text(&parts.headers, "host")?
            .ok_or_else(|| refuse(Cause::BadRequest, "no host that names the service"))?,
    };
    let name = named.split(':').next().unwrap_or(named);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Ok(Arc::from(name.to_ascii_lowercase()));
    }
    Ok(Arc::from(name))
}

fn timeout(headers: &HeaderMap, name: &HeaderName, default: Duration) -> Result<Duration> {
    let Some(stated) = text(headers, name.as_str())? else {
        return Ok(default);
    };
    let milliseconds: i64 = stated.trim().parse().map_err(|_| {
        let detail = format!("{name}: '{stated}' is not a number of ms");
        refuse(Cause::BadRequest, detail)
    })?;
    let Some(milliseconds) = u64::try_from(milliseconds).ok().filter(|left| *left > 0) else {
        let detail = "the deadline had passed on arrival";
        return Err(refuse(Cause::DeadlinePassed, detail));
    };
    Ok(Duration::from_millis(milliseconds).min(MAX_TIMEOUT))
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>> {
    let Some(stated) = text(headers, name)? else {
        return Ok(None);
    };
    match stated.trim().parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => {
            let detail = format!("{name}: '{stated}' is not a whole number");
            Err(refuse(Cause::BadRequest, detail))
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(refuse(Cause::BadRequest, format!("{name} is stated twice")));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(refuse(Cause::BadRequest, format!("{name} is not text"))),
    }
}
