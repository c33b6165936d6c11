//! A request on its way through the daemon.

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

/// Options of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// What the next daemon is asked to do.
    pub role: Role,
    /// Extra runs that the attempt may cause below.
    pub allowance: u8,
    /// Whether the request may wait at a full target.
    pub may_wait: bool,
    /// Whether an earlier attempt broke off. The siblings are warned of a crash by datagrams, which
    /// may arrive after the next attempt does.
    pub suspect: bool,
}

/// What is known of a request besides its body.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the caller asks for.
    pub spec: Spec,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// The caller's headers, without those that basilbay reads itself.
    pub headers: HeaderMap,
    /// When the request's time is up.
    pub deadline: Instant,
    /// When an answer is of full use at the latest.
    pub goal_at: Instant,
    /// Position in the trace.
    pub trace: Context,
    /// Hash that tells requests apart which crash their target.
    pub fingerprint: u64,
    /// Where the request came from; `None` behind another daemon.
    pub caller: Option<IpAddr>,
}

impl Call {
    /// Puts together what the caller sent.
    pub fn new(mut parts: Parts, spec: Spec, trace: Context, now: Instant) -> Self {
        response::strip_connection_headers(&mut parts.headers);
        parts.headers.remove(HOST);
        for name in [header::HOP, header::LOAD, header::OUTCOME, header::REPLAYED] {
            parts.headers.remove(name);
        }
        Self {
            deadline: now + spec.timeout,
            goal_at: now + spec.goal,
            spec,
            method: parts.method,
            path: path_of(&parts.uri),
            headers: parts.headers,
            trace,
            fingerprint: 0,
            caller: None,
        }
    }

    /// Milliseconds that are left; 0 once the time is up.
    pub fn timeout_ms(&self, now: Instant) -> u32 {
        millis_until(self.deadline, now)
    }

    /// The span of one hop; the trace id ties the hops of a call tree together.
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

    /// The hop that carries the request to another daemon.
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
            role: options.role,
            fingerprint: self.fingerprint,
        }
    }

    /// The request as another daemon gets it.
    pub fn to_daemon(&self, hop: &Hop, trace: Context, body: Body) -> Request<Body> {
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

    /// The request as the target gets it.
    pub fn to_target(
        &self,
        allowance: u8,
        run: Option<&RunId>,
        dialect: &Dialect,
        trace: Context,
        body: Body,
    ) -> Request<Body> {
        let mut request = self.request(trace, body);
        let left = self.timeout_ms(Instant::now()).to_string();
        let headers = request.headers_mut();
        response::insert_header(headers, dialect.timeout_ms.as_str(), &left);
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

    /// Id that the caller gave this send, if it gave one.
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
    let left = at.saturating_duration_since(now);
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}

fn path_of(uri: &Uri) -> PathAndQuery {
    uri.path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"))
}
