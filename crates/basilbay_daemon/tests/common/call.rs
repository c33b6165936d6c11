//! Sends requests as a caller does, over HTTP/1.1 or HTTP/2, and checks the responses.

use std::net::SocketAddr;

use basilbay_fakes::targets::response;
use basilbay_wire::hop::{Hop, Role};
use basilbay_wire::problem::{CONTENT_TYPE, Cause, Document, Outcome, Problem};
use basilbay_wire::{frame, header};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

/// Builder of a request, by default to the service `desk` over HTTP/1.1.
#[derive(Clone)]
pub(crate) struct Call {
    service: String,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    version: Version,
}

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    /// An idempotent request without a body.
    pub(crate) fn read() -> Self {
        Self::new(Method::GET, "/read")
    }

    /// An idempotent request with a body.
    pub(crate) fn submit(body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, "/submit").body(body)
    }

    /// A request that must not run more than once.
    pub(crate) fn write(body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, "/write").body(body)
    }

    pub(crate) fn new(method: Method, path: &str) -> Self {
        Self {
            service: "desk".to_owned(),
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            version: Version::HTTP_11,
        }
    }

    pub(crate) fn service(mut self, service: &str) -> Self {
        self.service = service.to_owned();
        self
    }

    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(crate) fn id(self, request: &str) -> Self {
        self.header(response::REQUEST_ID, request)
    }

    pub(crate) fn key(self, key: &str) -> Self {
        self.header(header::IDEMPOTENCY_KEY, key)
    }

    pub(crate) fn timeout_ms(self, timeout: u64) -> Self {
        self.header(header::TIMEOUT_MS, &timeout.to_string())
    }

    /// Adds a hop header, so that the daemon runs the request when it arrives on its peer port.
    pub(crate) fn hop(self, service: &str, timeout_ms: u32) -> Self {
        let hop = hop(service, timeout_ms);
        self.header(header::HOP, &hop)
    }

    /// Builder of an HTTP/2 request to a daemon's peer port, for a body of another type.
    pub(crate) fn hop_request(&self, service: &str, timeout_ms: u32) -> http::request::Builder {
        Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{}", self.service, self.path))
            .header(header::HOP, hop(service, timeout_ms))
    }

    /// Requests a response with this many filler bytes from the fake target.
    pub(crate) fn response_bytes(self, bytes: usize) -> Self {
        self.header(response::BODY_BYTES, &bytes.to_string())
    }

    pub(crate) fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    pub(crate) fn http_version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Sends the request on a new connection; a truncated response is an error, never a reply.
    pub(crate) async fn send(&self, to: SocketAddr) -> anyhow::Result<Reply> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let stream = TokioIo::new(stream);
        let request = self.request()?;
        if self.version == Version::HTTP_2 {
            let (mut sender, driver) = http2::handshake(TokioExecutor::new(), stream).await?;
            let driver = tokio::spawn(driver);
            let reply = collect(sender.send_request(request).await?).await;
            driver.abort();
            return reply;
        }
        let (mut sender, driver) = http1::handshake(stream).await?;
        let driver = tokio::spawn(driver);
        let result = sender.send_request(request).await;
        let reply = match result {
            Ok(response) => collect(response).await,
            Err(error) => Err(error.into()),
        };
        driver.abort();
        reply
    }

    /// Sends the request and panics unless a complete response arrives, whatever its status.
    pub(crate) async fn reply(&self, to: SocketAddr) -> Reply {
        self.send(to).await.expect("a complete response")
    }

    fn request(&self) -> anyhow::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder().method(self.method.clone());
        request = match self.version {
            Version::HTTP_2 => request.uri(format!("http://{}{}", self.service, self.path)),
            _ => request.uri(&self.path).header("host", &self.service),
        };
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        Ok(request.body(Full::new(self.body.clone()))?)
    }
}

async fn collect(response: Response<hyper::body::Incoming>) -> anyhow::Result<Reply> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

impl Reply {
    /// Parses the problem document and asserts that headers, status and document agree; panics if
    /// the body is no problem document.
    pub(crate) fn problem(&self) -> Problem {
        let document: Document = serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("no problem document: {error}: {self:?}"));
        let problem = Problem::from_document(&document);
        assert_eq!(self.headers["content-type"], CONTENT_TYPE);
        assert_eq!(self.headers[header::OUTCOME], problem.outcome.as_str());
        assert_eq!(self.status, problem.cause.status());
        assert_eq!(document.status, self.status.as_u16());
        assert!(!document.detail.is_empty() && !document.instance.is_empty());
        problem
    }

    /// Asserts that the response is this problem.
    #[track_caller]
    pub(crate) fn assert_problem(&self, cause: Cause, outcome: Outcome) {
        let problem = self.problem();
        assert_eq!(
            (problem.cause, problem.outcome),
            (cause, outcome),
            "{problem}"
        );
    }

    /// Asserts that the response is a complete response of a target to this request.
    #[track_caller]
    pub(crate) fn assert_response(&self, request: &str, bytes: usize) {
        assert_eq!(self.status, StatusCode::OK, "{self:?}");
        assert!(!self.headers.contains_key(header::OUTCOME));
        assert!(
            response::is_complete(request, bytes, &self.body),
            "incomplete response to {request}, or a response to another request"
        );
    }

    pub(crate) fn is_replayed(&self) -> bool {
        self.headers.contains_key(header::REPLAYED)
    }

    /// Id of the target that responded.
    pub(crate) fn target(&self) -> String {
        let json = self
            .body
            .split(|byte| *byte == b'\n')
            .next()
            .unwrap_or_default();
        let body: response::Body =
            serde_json::from_slice(json).expect("a response of a fake target");
        body.target.to_string()
    }
}

/// Value of a hop header with which a daemon runs the request.
fn hop(service: &str, timeout_ms: u32) -> String {
    frame::encode_header(&Hop {
        goal_ms: 0,
        format: frame::FORMAT_VERSION,
        service: service.into(),
        kind: "read".into(),
        idempotent: true,
        weight: 1,
        timeout_ms,
        allowance: 0,
        may_wait: true,
        suspect: false,
        aborted: false,
        repeat: false,
        depth: 0,
        origin: "tests".into(),
        config_version: 1,
        role: Role::Run,
        fingerprint: fastrand::u64(..),
    })
}
