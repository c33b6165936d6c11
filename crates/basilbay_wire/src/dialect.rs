//! Names under which callers and targets state what basilbay needs to know.
//!
//! A deployment whose callers and targets have header names of their own is served with another
//! [`Dialect`]; what the headers mean stays the same.

use http::{HeaderMap, HeaderName, StatusCode};

use crate::header;
use crate::problem::{Cause, Outcome, Problem};

/// Which status an answer of basilbay's own has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mapping {
    /// That of the cause; the outcome stands in a header.
    Cause,
    /// 503 for every request that has not run and may come again, 502 or 504 for the others:
    /// callers tell the outcome by the status.
    Outcome,
}

/// Names of the headers between callers, basilbay and targets.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Milliseconds that the caller, or the daemon before the target, gives the request.
    pub timeout_ms: HeaderName,
    /// Id of one send of a request, which a target repeats in its answer.
    pub request_id: HeaderName,
    /// Service of the caller, as basilbay states it to targets.
    pub caller_service: HeaderName,
    /// Run of the target that a request is meant for.
    pub expected_run: HeaderName,
    /// Run of the target that answers.
    pub responding_run: HeaderName,
    /// What a target adds to every whole answer of its own; `None` if targets add nothing.
    pub seal: Option<HeaderName>,
    /// Says that the target has not run the request.
    pub not_run: HeaderName,
    /// Load of the target: running, waiting, slots and speed, separated by commas.
    pub load: HeaderName,
    /// Milliseconds for which the target stays cold.
    pub cold_ms: HeaderName,
    /// Whether targets hand depth, allowance and trace on with their own calls.
    pub propagates_context: bool,
    /// Mapping of basilbay's own answers.
    pub status_mapping: Mapping,
}

impl Default for Dialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            timeout_ms: name(header::TIMEOUT_MS),
            request_id: name("basilbay-request-id"),
            caller_service: name("basilbay-caller-service"),
            expected_run: name("basilbay-target-run"),
            responding_run: name("basilbay-target-run"),
            seal: None,
            not_run: name("basilbay-not-run"),
            load: name("basilbay-target-load"),
            cold_ms: name("basilbay-cold-ms"),
            propagates_context: true,
            status_mapping: Mapping::Cause,
        }
    }
}

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Time that work takes there at this moment, in percent of the usual.
    pub slowdown_percent: u32,
}

impl Sample {
    /// Reads the value of the load header; the fourth number may be absent.
    pub fn parse(value: &str) -> Option<Self> {
        let mut numbers = value.split(',').map(|part| part.trim().parse::<u32>());
        let mut next = || numbers.next();
        Some(Self {
            running: next()?.ok()?,
            waiting: next()?.ok()?,
            slots: next()?.ok()?,
            slowdown_percent: match next() {
                Some(percent) => percent.ok()?,
                None => 100,
            },
        })
    }
}

impl Dialect {
    /// What an answer says of the target's load, if anything that can be read.
    pub fn load_sample(&self, headers: &HeaderMap) -> Option<Sample> {
        Sample::parse(headers.get(&self.load)?.to_str().ok()?)
    }

    /// Status of an answer of basilbay's own.
    pub fn status(&self, problem: &Problem) -> StatusCode {
        let status = problem.cause.status();
        if self.status_mapping == Mapping::Cause {
            return status;
        }
        let is_final = matches!(
            problem.cause,
            Cause::BadRequest
                | Cause::UnknownService
                | Cause::HeadersTooLarge
                | Cause::BodyTooLarge
                | Cause::TooSlow
        );
        match problem.outcome {
            Outcome::NotRun if is_final => status,
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Unknown if status == StatusCode::GATEWAY_TIMEOUT => status,
            Outcome::Unknown => StatusCode::BAD_GATEWAY,
        }
    }
}
