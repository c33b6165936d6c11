//! A poison request, which crashes its targets, is refused after two crashes; requests that run at
//! the same time are not, nor those that run when targets crash for another reason.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_fakes::proxy::fault::Faults;
use basilbay_fakes::targets::fault::{Change, Crash};
use basilbay_fakes::targets::response::{BODY_BYTES, MAX_BODY_BYTES, POISON};
use basilbay_wire::problem::{Cause, Outcome};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use call::Call;
use fleet::{Fleet, Plan};

fn crashes(fleet: &Fleet) -> u64 {
    fleet
        .targets
        .status()
        .iter()
        .map(|target| target.crashes)
        .sum()
}

/// Guards against a poison request whose resends crash one target after another.
#[tokio::test(flavor = "multi_thread")]
async fn resent_poison() {
    let fleet = Fleet::start(Plan::new(&[("desk", 4), ("shop", 2)])).await;
    for round in 0..3 {
        let before = crashes(&fleet);
        let poison = Call::submit(format!("poison {round}")).header(POISON, "1");
        for n in 0..12 {
            let entry = fleet.daemons[n % fleet.daemons.len()].callers;
            let problem = poison.reply(entry).await.problem();
            assert!(
                n < 2 || problem.cause == Cause::Poisoned,
                "send {n}: {problem}"
            );
            assert!(
                n < 2 || problem.outcome == Outcome::NotRun,
                "send {n}: {problem}"
            );
        }
        assert_eq!(crashes(&fleet), before + 2, "round {round}");
        fleet.wait_until_serving().await;
    }
}

/// Guards against requests that are refused as poison only because they ran on a target while
/// another request crashed it.
#[tokio::test(flavor = "multi_thread")]
async fn bystanders_run() {
    let plan = Plan {
        service_time_us: 20_000,
        ..Plan::new(&[("desk", 3), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    let poison = Call::submit("poison").header(POISON, "1");
    let concurrent = join_all((0..24).map(|n| async move {
        let id = format!("concurrent{n}");
        let call = Call::submit(id.clone()).id(&id);
        // The retry budget bounds the retries of the daemon, so the caller retries as well.
        for _ in 0..4 {
            let reply = call.reply(entry).await;
            if reply.status == 200 {
                return reply.assert_response(&id, 0);
            }
            assert_ne!(reply.problem().cause, Cause::Poisoned, "{reply:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("{id} got no successful response in 4 attempts");
    }));
    tokio::join!(poison.reply(entry), concurrent);
    assert!((1..=2).contains(&crashes(&fleet)));
}

/// Guards against requests that are aborted by both crashes of a poison request: if the crash
/// warning to the sibling daemons is lost or late, a resend may run on the second target together
/// with the poison request.
#[tokio::test(flavor = "multi_thread")]
async fn lost_crash_warnings() {
    let plan = Plan {
        service_time_us: 60_000,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    let lossy = Faults {
        lose_datagrams: true,
        ..Faults::default()
    };
    for route in ["peer-desk-1", "peer-desk-2"] {
        fleet.proxy.set_faults(route, lossy);
    }
    let poison = Call::write("poison").header(POISON, "1");
    let calls: Vec<_> = (0..16)
        .map(|n| format!("concurrent{n}"))
        .map(|id| Call::write(id.clone()).id(&id))
        .collect();
    let send = |calls: Vec<Call>| async move {
        join_all(calls.into_iter().map(|call| async move {
            let reply = call.reply(entry).await;
            let is_aborted = reply.status != 200 && reply.problem().outcome == Outcome::Unknown;
            is_aborted.then_some(call)
        }))
        .await
    };
    let (_, first) = tokio::join!(poison.reply(entry), send(calls));
    let aborted: Vec<Call> = first.into_iter().flatten().collect();
    assert_eq!(crashes(&fleet), 1);
    assert!(
        !aborted.is_empty(),
        "no other request was aborted by the first crash"
    );
    let (_, second) = tokio::join!(poison.reply(entry), send(aborted));
    assert_eq!(
        second.iter().flatten().count(),
        0,
        "requests were aborted twice"
    );
}

/// Crashes targets at the same moment.
fn crash_targets(fleet: &Fleet, ids: &[&str]) {
    for id in ids {
        let crash = Change {
            crash: Some(Crash::default()),
            ..Change::default()
        };
        assert!(fleet.targets.change(id, &crash), "no target {id}");
    }
}

/// Sends the same read at every daemon for `duration`, 5 ms apart, and awaits all replies; returns how many
/// were refused as poison among those sent in its last second.
async fn send_reads(fleet: &Fleet, duration: Duration) -> usize {
    let entries: Vec<SocketAddr> = fleet.daemons.iter().map(|it| it.callers).collect();
    let end = Instant::now() + duration;
    let mut replies = Vec::new();
    for n in 0.. {
        let sent_at = Instant::now();
        if sent_at >= end {
            break;
        }
        let entry = entries[n % entries.len()];
        replies.push(tokio::spawn(async move {
            let reply = Call::read().reply(entry).await;
            let is_poisoned = reply.status != 200 && reply.problem().cause == Cause::Poisoned;
            is_poisoned && sent_at + Duration::from_secs(1) >= end
        }));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = join_all(replies).await;
    refused
        .into_iter()
        .filter(|refused| *refused.as_ref().expect("a reply"))
        .count()
}

/// Guards against refusing all requests of a path because two targets that ran some of them crashed at
/// the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn common_crash() {
    let plan = Plan {
        service_time_us: 60_000,
        ..Plan::new(&[("desk", 4), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let crash = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        crash_targets(&fleet, &["desk-1", "desk-2"]);
    };
    let (refused, ()) = tokio::join!(send_reads(&fleet, Duration::from_secs(3)), crash);
    assert_eq!(refused, 0, "refused in the last second");
}

/// Guards against refusing all requests of a path because all targets crashed one soon after the other,
/// so that no run was left that could complete.
#[tokio::test(flavor = "multi_thread")]
async fn all_targets_crash() {
    let plan = Plan {
        service_time_us: 60_000,
        ..Plan::new(&[("desk", 3), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let crash = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for id in ["desk-1", "desk-2", "desk-3"] {
            crash_targets(&fleet, &[id]);
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    };
    let (refused, ()) = tokio::join!(send_reads(&fleet, Duration::from_secs(9)), crash);
    assert_eq!(refused, 0, "refused in the last second");
}

/// Guards against a poison request that is taken for innocent because another target crashed at the
/// same moment.
#[tokio::test(flavor = "multi_thread")]
async fn poison_beside_crash() {
    let plan = Plan {
        service_time_us: 20_000,
        ..Plan::new(&[("desk", 4), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let poison = Call::new(http::Method::GET, "/read/poison").header(POISON, "1");
    let entry = fleet.entry("shop-1");
    let crash = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        crash_targets(&fleet, &["desk-1"]);
    };
    tokio::join!(poison.reply(entry), crash);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        poison.reply(entry).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The other crash, two before the request is refused, and one more if the first coincided.
    assert!(crashes(&fleet) <= 4, "{} crashes", crashes(&fleet));
    poison
        .reply(entry)
        .await
        .assert_problem(Cause::Poisoned, Outcome::NotRun);
}

/// Guards against a poison request that is taken for completed because its target sent the head of a
/// streamed response before it crashed.
#[tokio::test(flavor = "multi_thread")]
async fn crash_while_streaming() {
    let fleet = Fleet::start(Plan::new(&[("desk", 2), ("shop", 1)])).await;
    let entry = fleet.entry("shop-1");
    for _ in 0..2 {
        let mut stream = TcpStream::connect(entry).await.expect("a connection");
        let request = format!(
            "GET /read/stream HTTP/1.1\r\nhost: desk\r\n{BODY_BYTES}: {MAX_BODY_BYTES}\r\n\r\n"
        );
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the request is sent");
        let mut start = [0; 1_000];
        let read = stream.read_exact(&mut start).await;
        read.expect("the start of the response");
        crash_targets(&fleet, &["desk-1", "desk-2"]);
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.wait_until_serving().await;
    }
    let reply = Call::new(http::Method::GET, "/read/stream")
        .reply(entry)
        .await;
    reply.assert_problem(Cause::Poisoned, Outcome::NotRun);
}
