//! Reads what a caller asks for, before anything is done about it.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::HOST;
use http::request::Parts;

use basilbay_model::config::Config;
use basilbay_model::domain::State;
use basilbay_model::id::{KindId, ServiceId};
use basilbay_wire::header;
use basilbay_wire::problem::{Cause, Problem};

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Problem>;

/// Longest time that a request may have.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intake {
    /// The service that it names.
    pub service: ServiceId,
    /// The kind that the request belongs to.
    pub kind: KindId,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// How much it counts.
    pub weight: u32,
    /// Time that it has from now on.
    pub timeout: Duration,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// Calls above it.
    pub depth: u8,
    /// Extra runs that it may cause.
    pub allowance: u8,
}

/// Reads a request of a caller.
pub fn read(parts: &Parts, config: &Config) -> Result<Intake> {
    check_size(&parts.headers)?;
    let name = service_name(parts)?;
    let service = config
        .service(name)
        .ok_or_else(|| refuse(Cause::UnknownService, format!("no service '{name}'")))?;
    let path = parts.uri.path();
    let kind = service.kind(parts.method.as_str(), path).ok_or_else(|| {
        let method = &parts.method;
        let detail = format!("service '{name}' has no kind for {method} {path}");
        refuse(Cause::UnknownService, detail)
    })?;
    let depth = number(&parts.headers, header::DEPTH)?.unwrap_or(0);
    if depth >= u64::from(header::MAX_DEPTH) {
        let detail = format!("{depth} calls above; at most {}", header::MAX_DEPTH - 1);
        return Err(refuse(Cause::TooDeep, detail));
    }
    let allowance = number(&parts.headers, header::ALLOWANCE)?;
    let allowance = allowance.unwrap_or_else(|| u64::from(config.limits.allowance));
    let allowance = allowance.min(u64::from(config.limits.allowance));
    let mut intake = Intake {
        service: service.id.clone(),
        kind: kind.id.clone(),
        idempotent: kind.idempotent,
        weight: kind.weight,
        timeout: kind.timeout,
        key: text(&parts.headers, header::IDEMPOTENCY_KEY)?.map(Arc::from),
        depth: depth as u8,
        allowance: u8::try_from(allowance).unwrap_or(u8::MAX),
    };
    let timeout = timeout(&parts.headers, kind.timeout);
    intake.timeout = timeout.map_err(|problem| intake.of_this_send(problem))?;
    // The home of a key is asked all the same: it may remember an answer.
    if service.state == State::Out && !intake.has_home() {
        let detail = format!("service '{name}' is out");
        return Err(refuse(Cause::ServiceOut, detail));
    }
    Ok(intake)
}

impl Intake {
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

fn service_name(parts: &Parts) -> Result<&str> {
    if let Some(host) = parts.uri.host() {
        return Ok(host);
    }
    let host = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| refuse(Cause::BadRequest, "no host that names the service"))?;
    Ok(host.split(':').next().unwrap_or(host))
}

fn timeout(headers: &HeaderMap, default: Duration) -> Result<Duration> {
    let Some(stated) = text(headers, header::TIMEOUT_MS)? else {
        return Ok(default);
    };
    let milliseconds: i64 = stated.trim().parse().map_err(|_| {
        let detail = format!("{}: '{stated}' is not a number of ms", header::TIMEOUT_MS);
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

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>> {
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
