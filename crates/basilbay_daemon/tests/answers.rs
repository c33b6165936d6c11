//! Each caller gets the whole answer to its own request, or is told that there is none.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::proxy::fault::Faults;
use basilbay_fakes::targets::fault::{Change, Straggle};
use basilbay_fakes::targets::response::filler;
use futures::future::join_all;
use http::{Method, Version};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use basilbay_wire::problem::{Cause, Outcome};
use call::Call;
use fleet::{Fleet, Plan};

const VERSIONS: [Version; 2] = [Version::HTTP_11, Version::HTTP_2];

/// Answers below and above the size up to which daemons keep them.
const SIZES: [usize; 4] = [0, 3_000, 60_000, 200_000];

/// Bytes after which connections are reset: within the request, the head and the body.
const OFFSETS: [u64; 12] = [
    1, 60, 150, 300, 450, 700, 1_500, 3_000, 20_000, 66_000, 150_000, 199_000,
];

fn cut_after(bytes: u64) -> Faults {
    Faults {
        reset_after_bytes: Some(bytes),
        ..Faults::default()
    }
}

/// Guards against answers that are mixed up, or lost, when many are under way and some are late.
#[tokio::test(flavor = "multi_thread")]
async fn own_answers() {
    let fleet = Fleet::start(Plan::new(&[("desk", 3), ("shop", 1)])).await;
    let straggle = Some(Straggle {
        factor: 20.0,
        for_ms: 60_000,
    });
    fleet.targets.change(
        "desk-2",
        &Change {
            straggle,
            ..Change::default()
        },
    );
    let calls = (0..120).map(|n| {
        let daemon = &fleet.daemons[n % fleet.daemons.len()];
        let (id, size, version) = (format!("r{n}"), SIZES[n / 7 % 4], VERSIONS[n / 3 % 2]);
        async move {
            let call = Call::submit(id.clone()).id(&id).wants(size).over(version);
            call.reply(daemon.callers).await.is_answer(&id, size);
        }
    });
    join_all(calls).await;
}

/// Guards against large bodies that are cut, kept in memory as a whole, or sent twice.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies() {
    let fleet = Fleet::start(Plan::new(&[("desk", 2), ("shop", 1)])).await;
    let size = 1024 * 1024;
    let calls = (0..8).map(|n| {
        let (id, version) = (format!("large{n}"), VERSIONS[n % 2]);
        let entry = fleet.daemons[n % 3].callers;
        async move {
            let call = Call::submit(filler(&id, size))
                .id(&id)
                .wants(size)
                .over(version);
            call.reply(entry).await.is_answer(&id, size);
        }
    });
    join_all(calls).await;
    for n in 0..8 {
        assert_eq!(fleet.runs(&format!("large{n}"), 1).await.len(), 1);
    }
}

/// Guards against a streamed body that is sent again, without its content, after a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn body_sent_once() {
    let other_target = Some((1, body_sizes().await));
    let plan = Plan {
        other_target,
        policy: "round-robin",
        queue: 0,
        slots: 1,
        median_us: 3_000_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let held = Call::read().id("held").hop("desk", 10_000);
    let peers = fleet.daemon("desk-1").peers;
    let held = tokio::spawn(async move { held.send(peers).await });
    fleet.in_flight("desk-1", 1).await;
    let size = 200_000;
    for round in 0..4 {
        let call = Call::submit(vec![b'x'; size]).id(&format!("once{round}"));
        let reply = call.reply(fleet.entry("shop-1")).await;
        if !reply.status.is_success() {
            reply.is_problem(Cause::NoCapacity, Outcome::NotRun);
            continue;
        }
        let told = String::from_utf8_lossy(&reply.body);
        assert!(told.contains(&format!("\"request\":\"{size}\"")), "{told}");
    }
    held.abort();
}

/// A target that answers with the size of the request's body.
async fn body_sizes() -> SocketAddr {
    serve(|length, _| {
        let json = format!("{{\"target\":\"sizes\",\"request\":\"{length}\",\"ran\":true}}");
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{json}",
            json.len()
        )
        .into_bytes()
    })
    .await
}

/// A target that answers in chunks, with as many bytes as `x-fake-body-bytes` asks for.
async fn chunks() -> SocketAddr {
    serve(|_, wanted| {
        let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for chunk in filler("chunks", wanted).chunks(5_000) {
            answer.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
            answer.extend(chunk);
            answer.extend(b"\r\n");
        }
        answer.extend(b"0\r\n\r\n");
        answer
    })
    .await
}

/// Serves HTTP/1.1 with raw answers, made from the size of the body and the size asked for.
async fn serve(answer: fn(usize, usize) -> Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(converse(stream, answer));
        }
    });
    address
}

async fn converse(stream: TcpStream, answer: fn(usize, usize) -> Vec<u8>) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut length, mut wanted, mut line) = (0, 0, String::new());
        loop {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            match line.trim_end().split_once(": ") {
                Some(("content-length", value)) => length = value.parse().unwrap_or(0),
                Some(("x-fake-body-bytes", value)) => wanted = value.parse().unwrap_or(0),
                Some(_) => {}
                None if line.trim_end().is_empty() => break,
                None => {}
            }
        }
        stream.read_exact(&mut vec![0; length]).await?;
        stream.write_all(&answer(length, wanted)).await?;
    }
}

/// Sends calls while a route resets its connections after each of many numbers of bytes.
///
/// Returns how many answers were whole and how many were not.
async fn cut(
    fleet: &Fleet,
    route: &str,
    is_whole: fn(&call::Reply, &str, usize) -> bool,
) -> (u32, u32) {
    let (mut whole, mut broken) = (0, 0);
    let entry = fleet.entry("shop-1");
    for (n, offset) in OFFSETS.into_iter().enumerate() {
        fleet.proxy.set_faults(route, cut_after(offset));
        fleet.proxy.reset_connections(route);
        let calls = SIZES.into_iter().map(|size| async move {
            // Paths of their own, so that none counts as the one that crashes the target.
            let id = format!("cut{offset}-{size}");
            let call = Call::new(Method::GET, &format!("/read/{id}"))
                .id(&id)
                .wants(size);
            match call
                .over(VERSIONS[n % 2])
                .timeout_ms(2_000)
                .send(entry)
                .await
            {
                Ok(reply) if reply.status.is_success() => {
                    assert!(is_whole(&reply, &id, size), "cut after {offset} of {size}");
                    true
                }
                Ok(reply) => {
                    reply.problem();
                    false
                }
                Err(_) => false,
            }
        });
        for is_answered in join_all(calls).await {
            if is_answered { whole += 1 } else { broken += 1 }
        }
    }
    fleet.proxy.set_faults(route, Faults::default());
    let give_up = Instant::now() + Duration::from_secs(5);
    while Call::read().id("after").reply(entry).await.status != 200 {
        assert!(Instant::now() < give_up, "it does not recover");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (whole, broken)
}

fn of_target(reply: &call::Reply, id: &str, size: usize) -> bool {
    basilbay_fakes::targets::response::is_complete(id, size, &reply.body)
}

fn of_chunks(reply: &call::Reply, _: &str, size: usize) -> bool {
    reply.body == filler("chunks", size)
}

/// Guards against cut answers that are passed off as whole, between daemon and target.
#[tokio::test(flavor = "multi_thread")]
async fn cut_at_target() {
    let fleet = Fleet::start(Plan {
        proxied: true,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    })
    .await;
    let (whole, broken) = cut(&fleet, "target-desk-1", of_target).await;
    assert!(whole > 0 && broken > 0, "{whole} whole, {broken} broken");
}

/// Guards against cut answers that are passed off as whole, between daemons.
#[tokio::test(flavor = "multi_thread")]
async fn cut_between_daemons() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let (whole, broken) = cut(&fleet, "peer-desk-1", of_target).await;
    assert!(whole > 0 && broken > 0, "{whole} whole, {broken} broken");
}

/// Guards against chunked answers without their end that are passed off as whole.
#[tokio::test(flavor = "multi_thread")]
async fn cut_chunks() {
    let other_target = Some((0, chunks().await));
    let plan = Plan {
        other_target,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    for route in ["target-desk-1", "peer-desk-1"] {
        let (whole, broken) = cut(&fleet, route, of_chunks).await;
        assert!(
            whole > 0 && broken > 0,
            "{route}: {whole} whole, {broken} broken"
        );
    }
}

/// Guards against callers of idempotent requests who have to notice a cut connection themselves.
#[tokio::test(flavor = "multi_thread")]
async fn retried_read() {
    let fleet = Fleet::start(Plan {
        proxied: true,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    })
    .await;
    for route in ["target-desk-1", "peer-desk-1"] {
        fleet.proxy.set_faults(route, cut_after(700));
        fleet.proxy.reset_connections(route);
        for n in 0..10 {
            let id = format!("again{n}-{route}");
            let call = Call::new(Method::GET, &format!("/read/{id}"))
                .id(&id)
                .wants(3_000);
            call.reply(fleet.entry("shop-1"))
                .await
                .is_answer(&id, 3_000);
        }
        fleet.proxy.set_faults(route, Faults::default());
        fleet.wait_until_serving().await;
    }
}

/// Guards against second runs, and untrue "not run", of what must not run twice.
#[tokio::test(flavor = "multi_thread")]
async fn write_not_retried() {
    let fleet = Fleet::start(Plan {
        proxied: true,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    })
    .await;
    for (n, route) in ["target-desk-1", "peer-desk-1"]
        .repeat(6)
        .into_iter()
        .enumerate()
    {
        fleet.proxy.set_faults(route, cut_after(OFFSETS[n]));
        fleet.proxy.reset_connections(route);
        let id = format!("write{n}");
        let reply = Call::write(id.clone())
            .id(&id)
            .reply(fleet.entry("shop-1"))
            .await;
        fleet.proxy.set_faults(route, Faults::default());
        let runs = fleet.runs(&id, 0).await.len();
        if reply.status.is_success() {
            reply.is_answer(&id, 0);
        } else if reply.problem().outcome == Outcome::NotRun {
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert_eq!(fleet.runs(&id, 0).await.len(), 0, "{id} ran: {reply:?}");
        }
        assert!(runs <= 1, "{id} ran {runs} times");
    }
}

/// Guards against callers that read slowly and so fill the memory of daemons.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers() {
    let fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let resident = || ["desk-1", "shop-1"].map(|id| fleet.resident_kib(id));
    Call::read()
        .id("first")
        .wants(1024 * 1024)
        .reply(fleet.entry("shop-1"))
        .await;
    let before = resident();
    let head = "GET /read HTTP/1.1\r\nhost: desk\r\nx-fake-body-bytes: 16777216\r\n\r\n";
    let mut slow = Vec::new();
    for _ in 0..8 {
        let mut stream = TcpStream::connect(fleet.entry("shop-1")).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    let passed = || {
        fleet
            .proxy
            .status()
            .iter()
            .map(|route| route.bytes)
            .sum::<u64>()
    };
    let mut last = 0;
    while passed() > last + 64 * 1024 || last < 1024 * 1024 {
        last = passed();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // 128 MiB are under way; a stream may hold its window of 256 KiB and some buffers.
    for (before, after) in before.into_iter().zip(resident()) {
        assert!(
            after < before + 24 * 1024,
            "grew from {before} to {after} KiB"
        );
    }
    Call::read()
        .id("beside")
        .reply(fleet.entry("shop-1"))
        .await
        .is_answer("beside", 0);
}
