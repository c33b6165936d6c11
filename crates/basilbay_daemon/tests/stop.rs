//! The planned stop, and settings that keep a daemon from starting.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use basilbay_fakes::targets::fault::Change;
use basilbay_fakes::targets::response::is_complete;
use futures::future::join_all;
use http::Version;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use call::Call;
use fleet::{Fleet, Plan};

const VERSIONS: [Version; 2] = [Version::HTTP_11, Version::HTTP_2];

/// Longer than the time for which the ports of a leaving daemon stay open.
const LONG_US: u64 = 2_000_000;

/// Guards against requests that are cut off, or run late, when the daemon beside their target stops.
#[tokio::test(flavor = "multi_thread")]
async fn target_side() {
    let plan = Plan {
        median_us: LONG_US,
        ..Plan::new(&[("desk", 2), ("shop", 1)])
    };
    let mut fleet = Fleet::start(plan).await;
    let entries = [fleet.entry("shop-1"), fleet.entry("desk-1")];
    let running = join_all((0..12).map(|n| async move {
        let id = format!("running{n}");
        let call = Call::write("x")
            .id(&id)
            .wants(1_000 * n)
            .over(VERSIONS[n % 2]);
        call.reply(entries[n / 2 % 2])
            .await
            .is_answer(&id, 1_000 * n);
    }));
    let running = tokio::spawn(running);
    fleet.in_flight("desk-1", 2).await;
    fleet.in_flight("desk-2", 2).await;
    fleet.signal("desk-1", Signal::TERM);
    while !fleet.log("desk-1").contains("\"event\":101") {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    fleet.targets.change(
        "desk-1",
        &Change {
            drain: Some(true),
            ..Change::default()
        },
    );
    let later = join_all((0..8).map(|n| async move {
        let call = Call::new(http::Method::GET, "/read/quick")
            .id("later")
            .over(VERSIONS[n % 2]);
        call.reply(entries[n / 2 % 2]).await.is_answer("later", 0);
    }));
    later.await;
    running.await.expect("none is cut off");
    assert_eq!(fleet.ended("desk-1").await.code(), Some(0));
    let violations = fleet.targets.violations();
    assert!(
        violations.iter().all(|it| it.while_draining == 0),
        "{violations:?}"
    );
}

/// Guards against callers of a leaving daemon that lose their answers, slow readers included.
#[tokio::test(flavor = "multi_thread")]
async fn entry_side() {
    let plan = Plan {
        median_us: LONG_US,
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let mut fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    let size = 4 * 1024 * 1024;
    let mut slow = TcpStream::connect(entry).await.unwrap();
    let head = format!(
        "GET /read/quick HTTP/1.1\r\nhost: desk\r\nx-request-id: slow\r\nx-fake-body-bytes: {size}\r\n\r\n"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut first = [0; 1024];
    slow.read_exact(&mut first).await.unwrap();
    let running = join_all((0..8).map(|n| async move {
        let id = format!("running{n}");
        let call = Call::write("x").id(&id).over(VERSIONS[n % 2]);
        call.reply(entry).await.is_answer(&id, 0);
    }));
    let running = tokio::spawn(running);
    fleet.in_flight("desk-1", 8).await;
    fleet.signal("shop-1", Signal::TERM);
    running.await.expect("none is cut off");
    let mut whole = first.to_vec();
    while !whole.ends_with(&basilbay_fakes::targets::response::filler("slow", size)[size - 64..]) {
        let mut part = vec![0; 256 * 1024];
        let read = slow.read(&mut part).await.unwrap();
        assert!(read > 0, "cut off after {} bytes", whole.len());
        whole.extend(&part[..read]);
    }
    let body = whole.windows(4).position(|at| at == b"\r\n\r\n").unwrap() + 4;
    assert!(is_complete("slow", size, &whole[body..]));
    assert_eq!(fleet.ended("shop-1").await.code(), Some(0));
}

fn basilbayd(settings: &Path, check: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilbayd"));
    command.arg("--settings").arg(settings);
    if check {
        command.arg("--check");
    }
    command.output().expect("it runs")
}

const GOOD: &str = "[instance]\nid = desk-1\nservice = desk\ndomain = north\ntarget = 127.0.0.1:1\n\
    [listen]\ncallers = 127.0.0.1:2\npeers = 127.0.0.1:3\nadmin = 127.0.0.1:4\n\
    [platform]\nconfig = 127.0.0.1:5\ninstances = 127.0.0.1:6\n";

/// Guards against settings whose faults show one at a time, or after the start.
#[test]
fn checked_settings() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join("settings.ini");
    std::fs::write(&file, GOOD).unwrap();
    let output = basilbayd(&file, true);
    assert_eq!(output.status.code(), Some(0), "{output:?}");

    let bad = GOOD
        .replace("target = 127.0.0.1:1", "target = somewhere")
        .replace("peers = 127.0.0.1:3\n", "")
        .replace("[platform]", "[run]\nthreads = 0\n[platfrom]");
    std::fs::write(&file, bad).unwrap();
    for check in [true, false] {
        let output = basilbayd(&file, check);
        let told = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{told}");
        for finding in [
            "settings.ini:5",
            "target",
            "peers",
            "threads",
            "platfrom",
            "config",
            "instances",
        ] {
            assert!(told.contains(finding), "{finding} is not in:\n{told}");
        }
    }
    let output = basilbayd(&folder.join("absent.ini"), false);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}

/// Guards against a daemon that goes on without one of its ports.
#[test]
fn port_in_use() {
    let listeners = [0; 6].map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let mut text = GOOD.to_owned();
    for (n, listener) in listeners.iter().enumerate() {
        let port = listener.local_addr().unwrap().port();
        text = text.replace(
            &format!("127.0.0.1:{}\n", n + 1),
            &format!("127.0.0.1:{port}\n"),
        );
    }
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("port-in-use.ini");
    std::fs::write(&file, text).unwrap();
    let output = basilbayd(&file, false);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against a target that stands idle for the whole stop of its daemon, though it runs on and
/// callers still come.
#[tokio::test(flavor = "multi_thread")]
async fn serves_out() {
    let plan = Plan {
        settings: "[run]\nserve_out_ms = 1000\nlinger_ms = 1500\n",
        ..Plan::new(&[("desk", 1), ("shop", 1)])
    };
    let mut fleet = Fleet::start(plan).await;
    fleet.signal("desk-1", Signal::TERM);
    while !fleet.log("desk-1").contains("\"event\":101") {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let reply = Call::read()
        .id("meanwhile")
        .reply(fleet.entry("shop-1"))
        .await;
    reply.is_answer("meanwhile", 0);
    assert_eq!(fleet.ended("desk-1").await.code(), Some(0));
}

/// Guards against a daemon that never ends since a caller holds a connection on which it asked for
/// nothing: on the users' platform it was killed after six seconds.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let mut fleet = Fleet::start(Plan::new(&[("desk", 1), ("shop", 1)])).await;
    let silent = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("it accepts");
    let mut half = TcpStream::connect(fleet.entry("shop-1"))
        .await
        .expect("it accepts");
    half.write_all(b"PRI").await.expect("it is sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let asked_at = std::time::Instant::now();
    fleet.signal("shop-1", Signal::TERM);
    let ended = tokio::time::timeout(Duration::from_secs(4), fleet.ended("shop-1")).await;
    assert_eq!(
        ended.expect("it ends").code(),
        Some(0),
        "{:?}",
        asked_at.elapsed()
    );
    drop((silent, half));
}
