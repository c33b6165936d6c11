//! A request in progress.
//!
//! A [`Call`] holds the request head, the specification, the deadlines and the trace context. The
//! daemon builds from it the requests that it sends to another daemon or to the target.

use std::net::IpAddr;
use std::time::Instant;

use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};

use basilbay_model::id::{InstanceId, RunId, Version};
use basilbay_wire::dialect::Dialect;
use basilbay_wire::frame::{self, FORMAT_VERSION};
use basilbay_wire::header;
use basilbay_wire::hop::{Hop, Role};

use crate::body::Body;
use crate::request::Spec;
use crate::response;
use crate::trace::Context;

/// Id of a caller's connection, unique within one run of the daemon.
pub type ConnectionId = u64;

/// Where a caller's request comes from.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: IpAddr,
    /// Connection on which the request was received.
    pub connection: ConnectionId,
}

/// Options of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Role of the next daemon: run the request, or decide as owner of its key.
    pub role: Role,
    /// Retry allowance: extra runs that the attempt may cause downstream.
    pub allowance: u8,
    /// Whether the request may queue at a full target.
    pub may_wait: bool,
    /// Whether an earlier attempt was aborted by its target. Sibling daemons learn of a crash by
    /// datagram, which may arrive later than the next attempt, so the attempt carries the warning.
    pub suspect: bool,
    /// Whether a target aborted the request when this daemon last sent it.
    pub aborted: bool,
    /// Whether an earlier attempt may have reached a target.
    pub repeat: bool,
}

/// A request without its body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service, kind, timeouts and key of the request.
    pub spec: Spec,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// The caller's headers, without hop-by-hop headers, `Host` and those that only daemons set.
    pub headers: HeaderMap,
    /// When the request times out.
    pub deadline: Instant,
    /// Time after which a response is less useful.
    pub goal_at: Instant,
    /// Trace id and current span.
    pub trace: Context,
    /// Hash that identifies requests that crash their target; zero until the body was read.
    pub fingerprint: u64,
    /// The caller; `None` if another daemon sent the request.
    pub caller: Option<Caller>,
}

impl Call {
    /// Builds a call from a request head, received at `now`.
    pub fn new(mut parts: Parts, spec: Spec, trace: Context, now: Instant) -> Self {
        response::strip_hop_by_hop_headers(&mut parts.headers);
        parts.headers.remove(HOST);
        for name in [header::HOP, header::LOAD, header::OUTCOME, header::REPLAYED] {
            parts.headers.remove(name);
        }
        Self {
            deadline: now + spec.timeout,
            goal_at: now + spec.goal,
            spec,
            method: parts.method,
            path: path_and_query(&parts.uri),
            headers: parts.headers,
            trace,
            fingerprint: 0,
            caller: None,
        }
    }

    /// Milliseconds until the deadline; 0 once it has passed.
    pub fn timeout_ms(&self, now: Instant) -> u32 {
        millis_until(self.deadline, now)
    }

    /// Returns the tracing span of one hop; all hops of a call tree share the trace id.
    pub fn span(&self, role: &'static str, instance: &str) -> tracing::Span {
        tracing::info_span!(
            "hop",
            role,
            instance,
            trace = format_args!("{:032x}", self.trace.trace),
            span = format_args!("{:016x}", self.trace.span),
            service = %self.spec.service,
            kind = %self.spec.kind,
            depth = self.spec.depth,
        )
    }

    /// Returns the hop header that a request to another daemon carries.
    pub fn hop(
        &self,
        origin: &InstanceId,
        options: Options,
        config_version: Version,
        now: Instant,
    ) -> Hop {
        Hop {
            format: FORMAT_VERSION,
            service: self.spec.service.clone(),
            kind: self.spec.kind.clone(),
            idempotent: self.spec.idempotent,
            weight: self.spec.weight,
            timeout_ms: self.timeout_ms(now),
            goal_ms: millis_until(self.goal_at, now),
            allowance: options.allowance,
            depth: self.spec.depth,
            origin: origin.clone(),
            config_version,
            may_wait: options.may_wait,
            suspect: options.suspect,
            aborted: options.aborted,
            repeat: options.repeat,
            role: options.role,
            fingerprint: self.fingerprint,
        }
    }

    /// Builds the request for another daemon.
    pub fn peer_request(&self, hop: &Hop, trace: Context, body: Body) -> Request<Body> {
        let mut request = self.request(trace, body);
        response::insert_header(
            request.headers_mut(),
            header::HOP,
            &frame::encode_header(hop),
        );
        let uri = Uri::builder()
            .scheme("http")
            .authority(&*self.spec.host)
            .path_and_query(self.path.clone())
            .build();
        if let Ok(uri) = uri {
            *request.uri_mut() = uri;
        }
        request
    }

    /// Builds the request for the target; `run` is the run of the target that is expected to respond,
    /// `None` if the roster does not name one.
    pub fn target_request(
        &self,
        allowance: u8,
        run: Option<&RunId>,
        dialect: &Dialect,
        trace: Context,
        body: Body,
    ) -> Request<Body> {
        let mut request = self.request(trace, body);
        let timeout = self.timeout_ms(Instant::now()).to_string();
        let headers = request.headers_mut();
        response::insert_header(headers, dialect.timeout_ms.as_str(), &timeout);
        response::insert_header(headers, "host", &self.spec.host);
        if let Some(run) = run {
            response::insert_header(headers, dialect.expected_run.as_str(), run);
        }
        if dialect.propagates_context {
            response::insert_header(headers, header::ALLOWANCE, &allowance.to_string());
            response::insert_header(headers, header::DEPTH, &(self.spec.depth + 1).to_string());
        } else {
            headers.remove(header::TRACEPARENT);
        }
        request
    }

    /// Request id that the caller sent; `None` if it sent none.
    pub fn request_id(&self, dialect: &Dialect) -> Option<&HeaderValue> {
        self.headers.get(&dialect.request_id)
    }

    fn request(&self, trace: Context, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = self.headers.clone();
        response::insert_header(
            request.headers_mut(),
            header::TRACEPARENT,
            &trace.to_string(),
        );
        request
    }
}

fn millis_until(at: Instant, now: Instant) -> u32 {
    let remaining = at.saturating_duration_since(now);
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

fn path_and_query(uri: &Uri) -> PathAndQuery {
    uri.path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"))
}
