//! Header names and status codes between callers, basilbay and targets.
//!
//! A deployment whose callers and targets already use other header names configures another
//! [`Dialect`]; the meaning of the headers stays the same. [`Sample`] parses the load that a
//! target reports in its responses.

use http::{HeaderMap, HeaderName, StatusCode};

use crate::header;
use crate::notice::Notice;
use crate::problem::{Cause, Outcome, Problem};

/// How the status code of a response that basilbay generates is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mapping {
    /// The status of the cause; the outcome is in a header.
    Cause,
    /// 503 for every request that has not run and may be retried, 502 or 504 for requests that
    /// may have run: callers read the outcome from the status.
    Outcome,
}

/// Header names and related conventions of a deployment.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Timeout of the request in milliseconds, set by the caller or by the daemon that forwards
    /// the request to the target.
    pub timeout_ms: HeaderName,
    /// Id of one transmission of a request, which the target echoes in its response.
    pub request_id: HeaderName,
    /// Whether every target echoes the request id, so that a response without one belongs to no
    /// request.
    pub echoes_request_id: bool,
    /// Service of the caller, set by basilbay on requests to targets.
    pub caller_service: HeaderName,
    /// Id of the target run (one process lifetime) that a request is addressed to.
    pub expected_run: HeaderName,
    /// Id of the target run that sent the response.
    pub responding_run: HeaderName,
    /// Header that a target adds to every complete response of its own; `None` if targets add
    /// none.
    pub seal: Option<HeaderName>,
    /// Header that marks a response to a request that the target has not run.
    pub not_run: HeaderName,
    /// Load of the target, in the format that [`Sample::parse`] reads.
    pub load: HeaderName,
    /// Remaining cold-start time of the target in milliseconds.
    pub cold_ms: HeaderName,
    /// Requests per second that the target accepts from all callers together, for as long as its
    /// responses state it.
    pub rate_limit: HeaderName,
    /// Marks the responses of a target that is leaving.
    pub leaving: HeaderName,
    /// Whether targets propagate depth, retry allowance and trace context to their own calls.
    pub propagates_context: bool,
    /// Status codes of the responses that basilbay generates.
    pub status_mapping: Mapping,
}

impl Default for Dialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            timeout_ms: name(header::TIMEOUT_MS),
            request_id: name("basilbay-request-id"),
            echoes_request_id: false,
            caller_service: name("basilbay-caller-service"),
            expected_run: name("basilbay-target-run"),
            responding_run: name("basilbay-target-run"),
            seal: None,
            not_run: name("basilbay-not-run"),
            load: name("basilbay-target-load"),
            cold_ms: name("basilbay-cold-ms"),
            rate_limit: name("basilbay-rate-limit"),
            leaving: name("basilbay-leaving"),
            propagates_context: true,
            status_mapping: Mapping::Cause,
        }
    }
}

/// Load that a target reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued inside the target.
    pub waiting: u32,
    /// Maximum number of concurrently processed requests.
    pub slots: u32,
    /// Current service time in percent of the usual service time; 100 means no slowdown.
    pub slowdown_percent: u32,
}

impl Sample {
    /// Parses the load header: `running,waiting,slots[,slowdown_percent]`. The last number
    /// defaults to 100; `None` means a malformed value.
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
    /// Load in the headers of a target's response; `None` if the header is absent or malformed.
    pub fn load_sample(&self, headers: &HeaderMap) -> Option<Sample> {
        Sample::parse(headers.get(&self.load)?.to_str().ok()?)
    }

    /// Statements of a target in the headers of its response.
    pub fn notice(&self, headers: &HeaderMap) -> Notice {
        Notice::read(headers, &self.rate_limit, &self.leaving)
    }

    /// Status code of a response that basilbay generates, by the status mapping of the deployment.
    pub fn status(&self, problem: &Problem) -> StatusCode {
        let status = problem.cause.status();
        if self.status_mapping == Mapping::Cause {
            return status;
        }
        let keeps_status = matches!(
            problem.cause,
            Cause::BadRequest
                | Cause::UnknownService
                | Cause::HeadersTooLarge
                | Cause::BodyTooLarge
                | Cause::TooSlow
        );
        match problem.outcome {
            Outcome::NotRun if keeps_status => status,
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Unknown if status == StatusCode::GATEWAY_TIMEOUT => status,
            Outcome::Unknown => StatusCode::BAD_GATEWAY,
        }
    }
}
