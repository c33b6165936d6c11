//! HTTP/1.1 server parts of the fakes: loopback listeners, request readers, response constructors
//! and the accept loop.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Response of a handler.
pub type Response = hyper::Response<Body>;

/// Result of a handler.
pub type Result<T> = std::result::Result<T, Closed>;

/// Error with which a handler closes the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for Closed {}

/// Maximum number of connections that wait for `accept`.
const BACKLOG: u32 = 1024;

/// Largest request body that is read; an instance list of a few thousand entries fits.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns an error for addresses that other machines could reach.
pub fn check_loopback(address: SocketAddr) -> anyhow::Result<()> {
    ensure!(
        address.ip().is_loopback(),
        "{address} is not a loopback address"
    );
    Ok(())
}

/// Binds a loopback address without listening; connections to it are refused.
pub fn bind(address: SocketAddr) -> anyhow::Result<TcpSocket> {
    check_loopback(address)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket
        .bind(address)
        .with_context(|| format!("cannot bind {address}"))?;
    Ok(socket)
}

/// Listens on a loopback address.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = bind(address)?
        .listen(BACKLOG)
        .with_context(|| format!("cannot listen on {address}"))?;
    Ok(listener)
}

/// Starts to listen on a bound socket.
pub fn listen_on(socket: TcpSocket) -> anyhow::Result<TcpListener> {
    Ok(socket.listen(BACKLOG)?)
}

/// Creates a body from bytes.
pub fn body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// A response with a body of plain text.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response {
    let mut response = Response::new(body(text));
    *response.status_mut() = status;
    response
}

/// A response without a body.
pub fn empty(status: StatusCode) -> Response {
    text(status, Bytes::new())
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = text(status, bytes);
            response.headers_mut().insert(
                CONTENT_TYPE,
                hyper::header::HeaderValue::from_static("application/json"),
            );
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Responds 204, or 400 with the text of the error.
pub fn no_content<T>(result: anyhow::Result<T>) -> Response {
    match result {
        Ok(_) => empty(StatusCode::NO_CONTENT),
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error:#}\n")),
    }
}

/// Reads a complete body of at most `MAX_BODY_BYTES`.
pub async fn read(body: Incoming) -> anyhow::Result<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| {
            anyhow::anyhow!("cannot read the request body (limit {MAX_BODY_BYTES} bytes): {error}")
        })?;
    Ok(collected.to_bytes())
}

/// Reads and parses a JSON body, with the limit of [`read`].
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> anyhow::Result<T> {
    let bytes = read(body).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Value of a query parameter, not percent-decoded; `None` if the request lacks it.
pub fn query<'a>(request: &'a Request<Incoming>, key: &str) -> Option<&'a str> {
    request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}

/// Serves requests until the token is cancelled.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response>> + Send + 'static,
{
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = stream else {
            // For example when file descriptors run out: retry once other connections have closed.
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection(stream, handler) => {}
            }
        });
    }
}

/// Serves one connection until it closes.
///
/// When the client disconnects, the handler's future is dropped, which cancels its request.
pub async fn connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response>>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
    if let Err(error) = served {
        tracing::trace!(%error, "connection ended with an error");
    }
}
