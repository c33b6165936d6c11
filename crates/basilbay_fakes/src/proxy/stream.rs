//! Forwards the TCP connections of a route.
//!
//! In each direction one future reads chunks and stamps them with a delivery time, and another
//! writes them at that time, so that reading goes on while earlier chunks are delayed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::fault::Direction;
use super::link::Link;

/// Buffer space reserved for each read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks of one direction that wait for delivery; 256 chunks of 16 KiB bound the
/// memory of a direction to 4 MB.
const MAX_DELAYED_CHUNKS: usize = 256;

/// Error after which the connection is reset.
struct Reset;

/// Bytes to be forwarded at a given time.
struct Chunk {
    deliver_at: Instant,
    bytes: Bytes,
}

/// Accepts connections until the proxy stops.
pub(super) async fn run(link: Arc<Link>, listener: TcpListener) {
    loop {
        let accept = async {
            link.wait_until_healed().await;
            listener.accept().await
        };
        let stream = tokio::select! {
            () = link.stop.cancelled() => return,
            accepted = accept => accepted,
        };
        let Ok((client, _)) = stream else {
            // For example when file descriptors run out: retry once other connections have closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        link.counts.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(connection(link.clone(), client, link.reset_token()));
    }
}

/// Connects to the route's target and forwards until either side closes or the connection is reset.
async fn connection(link: Arc<Link>, mut client: TcpStream, reset_token: CancellationToken) {
    let connect = async {
        // A connection that was accepted just as a partition began connects once it has healed.
        link.wait_until_healed().await;
        TcpStream::connect(link.route.to).await
    };
    let connected = tokio::select! {
        () = reset_token.cancelled() => None,
        connected = connect => connected.ok(),
    };
    let Some(mut target) = connected else {
        set_reset_on_close(&client);
        link.counts.resets.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let relayed = tokio::select! {
        () = reset_token.cancelled() => Err(Reset),
        relayed = relay(&link, &mut client, &mut target) => relayed,
    };
    if relayed.is_err() {
        set_reset_on_close(&client);
        set_reset_on_close(&target);
        link.counts.resets.fetch_add(1, Ordering::Relaxed);
    }
}

/// Makes closing the stream send a reset and discard unsent bytes.
fn set_reset_on_close(stream: &TcpStream) {
    // Fails if the socket is already closed, which needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards both directions until both have ended.
async fn relay(link: &Link, client: &mut TcpStream, target: &mut TcpStream) -> Result<(), Reset> {
    client.set_nodelay(true).map_err(|_| Reset)?;
    target.set_nodelay(true).map_err(|_| Reset)?;
    let forwarded = AtomicU64::new(0);
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target.split();
    let forward = relay_direction(
        link,
        Direction::Forward,
        client_read,
        target_write,
        &forwarded,
    );
    let backward = relay_direction(
        link,
        Direction::Backward,
        target_read,
        client_write,
        &forwarded,
    );
    tokio::try_join!(forward, backward)?;
    Ok(())
}

/// Forwards one direction until its end; `forwarded` counts the bytes of both directions.
async fn relay_direction(
    link: &Link,
    direction: Direction,
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    forwarded: &AtomicU64,
) -> Result<(), Reset> {
    let (sender, receiver) = mpsc::channel(MAX_DELAYED_CHUNKS);
    tokio::try_join!(
        receive(link, direction, reader, sender),
        deliver(link, writer, receiver, forwarded),
    )?;
    Ok(())
}

/// Reads chunks and stamps them with their delivery time.
async fn receive(
    link: &Link,
    direction: Direction,
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<Chunk>,
) -> Result<(), Reset> {
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    let mut deliver_at = Instant::now();
    let mut has_gap = false;
    loop {
        link.wait_until_healed().await;
        buffer.reserve(CHUNK_BYTES);
        let count = reader.read_buf(&mut buffer).await.map_err(|_| Reset)?;
        if link.drops(direction) {
            buffer.clear();
            if count > 0 {
                has_gap = true;
                continue;
            }
            // The end of the stream is dropped too: it is not forwarded while the fault lasts.
            link.wait_until_open(direction).await;
        }
        if has_gap {
            // TCP never delivers bytes after a gap; the connection fails instead.
            return Err(Reset);
        }
        if count == 0 {
            return Ok(());
        }
        // Never earlier than the previous chunk, as jitter must not reorder the bytes of a stream.
        deliver_at = deliver_at.max(link.delivery_time());
        let bytes = buffer.split().freeze();
        let sent = sender.send(Chunk { deliver_at, bytes }).await;
        sent.map_err(|_| Reset)?;
    }
}

/// Writes each chunk at its delivery time.
async fn deliver(
    link: &Link,
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<Chunk>,
    forwarded: &AtomicU64,
) -> Result<(), Reset> {
    while let Some(chunk) = receiver.recv().await {
        link.timer.sleep_until(chunk.deliver_at).await;
        link.wait_until_healed().await;
        let before = forwarded.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
        let limit = link.faults().reset_after_bytes.unwrap_or(u64::MAX);
        let allowed = limit.saturating_sub(before).min(chunk.bytes.len() as u64);
        let bytes = &chunk.bytes[..usize::try_from(allowed).unwrap_or(chunk.bytes.len())];
        writer.write_all(bytes).await.map_err(|_| Reset)?;
        link.counts.bytes.fetch_add(allowed, Ordering::Relaxed);
        if allowed < chunk.bytes.len() as u64 || before + allowed >= limit {
            return Err(Reset);
        }
    }
    link.wait_until_healed().await;
    writer.shutdown().await.map_err(|_| Reset)
}
