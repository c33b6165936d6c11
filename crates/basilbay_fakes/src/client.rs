//! HTTP/1.1 client that opens one connection per request, for control calls and tests.

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

/// Builds a request; `uri` is a path with an optional query, and an invalid one becomes `/`.
pub fn request(method: Method, uri: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.into()));
    *request.method_mut() = method;
    *request.uri_mut() = uri.parse().unwrap_or_default();
    request
}

/// Adds a header; a value that is not valid in HTTP is ignored.
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

/// Sends a request and reads the complete response.
///
/// Dropping the future closes the connection, which cancels the request on the server.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    web::check_loopback(address)?;
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("cannot connect to {address}"))?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange = exchange(&mut sender, address, request);
    tokio::pin!(exchange);
    tokio::select! {
        biased;
        response = &mut exchange => response,
        _ = connection => exchange.await,
    }
}

async fn exchange(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    if !request.headers().contains_key(HOST) {
        let host = HeaderValue::from_str(&address.to_string())?;
        request.headers_mut().insert(HOST, host);
    }
    let (parts, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, body))
}
