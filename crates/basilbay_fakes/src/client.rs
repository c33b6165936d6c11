//! One HTTP/1.1 request on a connection of its own, for control calls and tests.

use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::web;

/// Builds a request; `uri` is a path with an optional query.
pub fn request(method: Method, uri: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = uri.parse().unwrap_or_default();
    request
}

/// Adds a header; values that HTTP does not allow are left out.
pub fn with_header(
    mut request: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Request<Full<Bytes>> {
    if let Ok(value) = HeaderValue::from_str(value) {
        request.headers_mut().insert(name, value);
    }
    request
}

/// Sends a request and reads the whole answer.
///
/// Dropping the future closes the connection, which cancels the request.
pub async fn send(
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    web::check_loopback(to)?;
    let stream = TcpStream::connect(to)
        .await
        .with_context(|| format!("cannot connect to {to}"))?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange = exchange(&mut sender, to, request);
    tokio::pin!(exchange);
    tokio::select! {
        biased;
        answer = &mut exchange => answer,
        _ = connection => exchange.await,
    }
}

async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    to: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_str(&to.to_string())?;
        request.headers_mut().insert(HOST, host);
    }
    let (parts, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, body))
}
