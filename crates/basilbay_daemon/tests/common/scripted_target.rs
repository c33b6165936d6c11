//! A target whose responses follow from the last segment of the path.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Body size of a large response; larger than the receive window of a caller that does not read.
pub(crate) const LARGE_BYTES: usize = 1_000_000;

/// Starts the target: `large` gets a large response, `halves` one with a pause of 500 ms in it,
/// `broken` one that breaks off after 450 ms, and a number one after that many milliseconds, whose
/// body is the path.
pub(crate) async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // A caller that disconnects ends the exchange.
            tokio::spawn(async move { serve(stream).await.unwrap_or_default() });
        }
    });
    address
}

async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = Vec::new();
    while stream.read_buf(&mut request).await? > 0 {
        if !is_complete(&request) {
            continue;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        request.clear();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let last = path.rsplit('/').next().unwrap_or_default();
        let (body, pause_at, pause_ms) = match last {
            "large" => (vec![b'x'; LARGE_BYTES], LARGE_BYTES, 0),
            "halves" => (vec![b'x'; LARGE_BYTES], LARGE_BYTES / 2, 500),
            "broken" => (vec![b'x'; LARGE_BYTES], 1000, 50),
            _ => (path.as_bytes().to_vec(), 0, 0),
        };
        let delay_ms = if last == "broken" {
            400
        } else {
            last.parse().unwrap_or(0)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream
            .write_all(&[head.as_bytes(), &body[..pause_at]].concat())
            .await?;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        if last == "broken" {
            return Ok(());
        }
        stream.write_all(&body[pause_at..]).await?;
    }
    Ok(())
}

/// Whether `bytes` are a complete request.
fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => !head.contains("chunked") || body.ends_with("0\r\n\r\n"),
    }
}
