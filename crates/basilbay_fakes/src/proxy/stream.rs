//! TCP connections of a route.

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

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks of one direction that wait for their delay; 4 MB bound the memory of a connection.
const WAITING: usize = 256;

/// The connection is to be reset.
struct Reset;

/// Bytes that wait for their delay.
struct Chunk {
    at: Instant,
    bytes: Bytes,
}

/// Accepts connections until the proxy stops.
pub(super) async fn run(link: Arc<Link>, listener: TcpListener) {
    loop {
        let accept = async {
            link.healed().await;
            listener.accept().await
        };
        let stream = tokio::select! {
            () = link.stop.cancelled() => return,
            accepted = accept => accepted,
        };
        let Ok((near, _)) = stream else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        link.counts.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(connection(link.clone(), near, link.uncut()));
    }
}

async fn connection(link: Arc<Link>, mut near: TcpStream, uncut: CancellationToken) {
    let connect = async {
        // A connection that was accepted as the partition began reaches the target afterwards.
        link.healed().await;
        TcpStream::connect(link.route.to).await
    };
    let connected = tokio::select! {
        () = uncut.cancelled() => None,
        connected = connect => connected.ok(),
    };
    let Some(mut far) = connected else {
        reset(&near);
        link.counts.resets.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let passed = tokio::select! {
        () = uncut.cancelled() => Err(Reset),
        passed = pass(&link, &mut near, &mut far) => passed,
    };
    if passed.is_err() {
        reset(&near);
        reset(&far);
        link.counts.resets.fetch_add(1, Ordering::Relaxed);
    }
}

/// Makes the coming close a reset: unsent bytes are thrown away.
fn reset(stream: &TcpStream) {
    // A socket that is already closed needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pass(link: &Link, near: &mut TcpStream, far: &mut TcpStream) -> Result<(), Reset> {
    near.set_nodelay(true).map_err(|_| Reset)?;
    far.set_nodelay(true).map_err(|_| Reset)?;
    let passed = AtomicU64::new(0);
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let forward = pump(link, Direction::Forward, near_read, far_write, &passed);
    let backward = pump(link, Direction::Backward, far_read, near_write, &passed);
    tokio::try_join!(forward, backward)?;
    Ok(())
}

async fn pump(
    link: &Link,
    direction: Direction,
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    passed: &AtomicU64,
) -> Result<(), Reset> {
    let (sender, receiver) = mpsc::channel(WAITING);
    tokio::try_join!(
        receive(link, direction, reader, sender),
        forward(link, writer, receiver, passed),
    )?;
    Ok(())
}

async fn receive(
    link: &Link,
    direction: Direction,
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<Chunk>,
) -> Result<(), Reset> {
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    let mut last = Instant::now();
    let mut has_gap = false;
    loop {
        link.healed().await;
        buffer.reserve(CHUNK_BYTES);
        let count = reader.read_buf(&mut buffer).await.map_err(|_| Reset)?;
        if link.swallows(direction) {
            buffer.clear();
            if count > 0 {
                has_gap = true;
                continue;
            }
            // The other side must not learn of the end either.
            link.opened(direction).await;
        }
        if has_gap {
            // TCP breaks a connection off rather than going on with bytes left out.
            return Err(Reset);
        }
        if count == 0 {
            return Ok(());
        }
        // Jitter must not reorder the bytes of a stream.
        last = last.max(link.due());
        let bytes = buffer.split().freeze();
        let sent = sender.send(Chunk { at: last, bytes }).await;
        sent.map_err(|_| Reset)?;
    }
}

async fn forward(
    link: &Link,
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<Chunk>,
    passed: &AtomicU64,
) -> Result<(), Reset> {
    while let Some(chunk) = receiver.recv().await {
        link.timer.sleep_until(chunk.at).await;
        link.healed().await;
        let before = passed.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
        let limit = link.faults().reset_after_bytes.unwrap_or(u64::MAX);
        let allowed = limit.saturating_sub(before).min(chunk.bytes.len() as u64);
        let bytes = &chunk.bytes[..usize::try_from(allowed).unwrap_or(chunk.bytes.len())];
        writer.write_all(bytes).await.map_err(|_| Reset)?;
        link.counts.bytes.fetch_add(allowed, Ordering::Relaxed);
        if allowed < chunk.bytes.len() as u64 || before + allowed >= limit {
            return Err(Reset);
        }
    }
    link.healed().await;
    writer.shutdown().await.map_err(|_| Reset)
}
