//! What must not run twice runs at most once, and "not run" is true.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, SystemTime};

use basilbay_fakes::platform::fault::{Faults, List};
use basilbay_fakes::targets::audit::Outcome as Ended;
use basilbay_fakes::targets::fault::{Change, Crash};
use basilbay_keys::history::History;
use basilbay_keys::key::{Key, unix_ms};
use basilbay_keys::owner::{self, Lookup};
use basilbay_wire::problem::{Cause, Outcome};
use futures::future::join_all;
use rustix::process::Signal;
use uuid::Uuid;

use call::{Call, Reply};
use fleet::{Fleet, Plan};

/// Time that a request runs where a test acts half way.
const LONG_US: u64 = 400_000;

async fn keyed(plan: Plan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    fleet.wait_until_keyed().await;
    fleet
}

fn plan(median_us: u64) -> Plan {
    Plan {
        median_us,
        ..Plan::new(&[("desk", 3), ("shop", 1)])
    }
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// A call with a key, which is its request id as well.
fn pay(key: &str) -> Call {
    Call::write("one coat").id(key).key(key)
}

/// The daemon that owns a key, by the rules of section 4.4.
fn home(fleet: &Fleet, key: &str) -> String {
    let roster = fleet.platform.roster();
    let retention = Duration::from_millis(fleet.plan.retention_ms);
    let mut history = History::new("desk".into(), retention, 0);
    history.observe(&roster);
    let key = Key::parse(key, SystemTime::now()).expect("a key");
    match owner::find(
        &history,
        "desk",
        &key,
        unix_ms(SystemTime::now()),
        retention,
    ) {
        Lookup::Found(home) => home.to_string(),
        verdict => panic!("no home: {verdict:?}"),
    }
}

/// Starts a call through the shop's daemon and waits until a target runs it; returns the target.
async fn started(
    fleet: &Fleet,
    call: Call,
) -> (tokio::task::JoinHandle<anyhow::Result<Reply>>, String) {
    let entry = fleet.entry("shop-1");
    let sending = tokio::spawn(async move { call.send(entry).await });
    loop {
        let busy = fleet
            .targets
            .status()
            .into_iter()
            .find(|it| it.in_flight > 0);
        if let Some(target) = busy {
            return (sending, target.id.to_string());
        }
        assert!(!sending.is_finished(), "{:?}", sending.await);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Resends through every daemon that still runs and returns what they say.
async fn resend(fleet: &Fleet, call: &Call, without: &str) -> Vec<Reply> {
    let daemons = fleet.daemons.iter().filter(|daemon| daemon.id != without);
    join_all(daemons.map(|daemon| call.reply(daemon.callers))).await
}

async fn ran(fleet: &Fleet, request: &str, times: usize) {
    let runs = fleet.runs(request, times).await;
    assert_eq!(runs.len(), times, "{runs:?}");
}

/// Guards against second runs when a key is sent to many daemons at once, and again later.
#[tokio::test(flavor = "multi_thread")]
async fn many_senders() {
    let fleet = keyed(plan(20_000)).await;
    let keys: Vec<String> = (0..12).map(|_| new_key()).collect();
    let each = keys.iter().map(|key| async {
        let (call, sends) = (pay(key), fleet.daemons.iter().chain(&fleet.daemons));
        let replies = join_all(sends.map(|daemon| call.reply(daemon.callers))).await;
        replies.iter().for_each(|reply| reply.is_answer(key, 0));
        assert_eq!(
            replies.iter().filter(|reply| !reply.is_replayed()).count(),
            1
        );
    });
    join_all(each).await;
    for key in &keys {
        for reply in resend(&fleet, &pay(key), "").await {
            reply.is_answer(key, 0);
            assert!(reply.is_replayed());
        }
        ran(&fleet, key, 1).await;
    }
}

/// Guards against a resend that is refused, or runs, while the first send still runs.
#[tokio::test(flavor = "multi_thread")]
async fn running_key() {
    let fleet = keyed(plan(LONG_US)).await;
    let key = new_key();
    let (first, _) = started(&fleet, pay(&key)).await;
    let hasty = pay(&key).timeout_ms(50).reply(fleet.entry("desk-2")).await;
    hasty.is_problem(Cause::DeadlinePassed, Outcome::Unknown);
    let second = pay(&key).reply(fleet.entry("desk-1")).await;
    let first = first.await.unwrap().unwrap();
    assert!(!first.is_replayed() && second.is_replayed());
    assert_eq!(first.body, second.body);
    ran(&fleet, &key, 1).await;
}

/// Guards against a second run after the daemon that remembers the first is gone.
#[tokio::test(flavor = "multi_thread")]
async fn home_killed() {
    let mut fleet = keyed(plan(LONG_US)).await;
    let key = new_key();
    let home = home(&fleet, &key);
    let (first, _) = started(&fleet, pay(&key)).await;
    fleet.signal(&home, Signal::KILL);
    let first = first.await.unwrap().expect("an answer");
    assert_eq!(first.problem().outcome, Outcome::Unknown);
    for reply in resend(&fleet, &pay(&key), &home).await {
        assert_eq!(reply.problem().outcome, Outcome::Unknown);
    }
    fleet.ended(&home).await;
    fleet.replace(&home, "desk-9").await;
    for reply in resend(&fleet, &pay(&key), "").await {
        assert_eq!(reply.problem().outcome, Outcome::Unknown);
    }
    ran(&fleet, &key, 1).await;
}

/// Guards against a daemon that takes over the address of another and believes that what it does
/// not remember has not run; under a new id, and after a restart under the same one.
#[tokio::test(flavor = "multi_thread")]
async fn home_replaced() {
    let mut fleet = keyed(plan(2_000)).await;
    for by_other in [false, true] {
        let key = new_key();
        let home = home(&fleet, &key);
        pay(&key)
            .reply(fleet.entry("shop-1"))
            .await
            .is_answer(&key, 0);
        let by = if by_other { "desk-9" } else { &home };
        fleet.replace(&home, by).await;
        for reply in resend(&fleet, &pay(&key), "").await {
            assert_eq!(reply.problem().outcome, Outcome::Unknown);
        }
        ran(&fleet, &key, 1).await;
        if !by_other {
            fleet.wait_until_keyed().await;
        }
    }
}

/// Guards against a second run, or "not run", after the target crashed half way.
#[tokio::test(flavor = "multi_thread")]
async fn target_crashes() {
    let fleet = keyed(plan(LONG_US)).await;
    let key = new_key();
    let (first, target) = started(&fleet, pay(&key)).await;
    let crash = Some(Crash::default());
    fleet.targets.change(
        &target,
        &Change {
            crash,
            ..Change::default()
        },
    );
    let first = first.await.unwrap().expect("an answer");
    assert_eq!(first.problem().outcome, Outcome::Unknown);
    for reply in resend(&fleet, &pay(&key), "").await {
        assert_eq!(reply.problem().outcome, Outcome::Unknown);
    }
    let runs = fleet.runs(&key, 1).await;
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].outcome, Ended::Crashed);
}

/// Guards against a second run of what ran although its answer was lost on the way back.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let fleet = keyed(plan(LONG_US)).await;
    let key = new_key();
    let (first, _) = started(&fleet, pay(&key)).await;
    fleet
        .proxy
        .reset_connections(&format!("peer-{}", home(&fleet, &key)));
    let first = first.await.unwrap().expect("an answer");
    assert_eq!(first.problem().outcome, Outcome::Unknown);
    for reply in resend(&fleet, &pay(&key), "").await {
        reply.is_answer(&key, 0);
        assert!(reply.is_replayed());
    }
    ran(&fleet, &key, 1).await;
}

/// Guards against keys that are refused because the target of their own home has no room, or is
/// out of service.
#[tokio::test(flavor = "multi_thread")]
async fn home_without_room() {
    let fleet = keyed(Plan {
        slots: 2,
        queue: 0,
        ..plan(LONG_US)
    })
    .await;
    let full = new_key();
    let home = home(&fleet, &full);
    let peers = fleet.daemon(&home).peers;
    let busy = |n| Call::read().id(&format!("busy{n}")).hop("desk", 10_000);
    let fill = join_all([0, 1].map(|n| async move { busy(n).reply(peers).await }));
    let fill = tokio::spawn(fill);
    fleet.in_flight(&home, 2).await;
    let reply = pay(&full).reply(fleet.entry("shop-1")).await;
    reply.is_answer(&full, 0);
    assert_ne!(reply.target(), home);
    fill.await
        .unwrap()
        .iter()
        .for_each(|reply| assert_eq!(reply.status, 200));

    let out = key_of(&fleet, &home);
    let crash = Some(Crash {
        refuse_ms: Some(3_000),
    });
    fleet.targets.change(
        &home,
        &Change {
            crash,
            ..Change::default()
        },
    );
    fleet.wait_until_state(&home, "down").await;
    let reply = pay(&out).reply(fleet.entry("shop-1")).await;
    reply.is_answer(&out, 0);
    assert_ne!(reply.target(), home);
    for key in [&full, &out] {
        ran(&fleet, key, 1).await;
    }
}

/// A new key that this daemon owns.
fn key_of(fleet: &Fleet, id: &str) -> String {
    let mut keys = std::iter::repeat_with(new_key);
    keys.find(|key| home(fleet, key) == id).expect("endless")
}

/// Guards against one caller's answer being replayed to another request; bodies that are alike at
/// their start are other requests too.
#[tokio::test(flavor = "multi_thread")]
async fn other_body() {
    let fleet = keyed(plan(2_000)).await;
    for size in [10, 5_000, 60_000, 90_000] {
        let key = new_key();
        let body = |end: u8| {
            let mut body = vec![b'a'; size];
            body.push(end);
            Call::write(body).id(&key).key(&key)
        };
        body(b'1')
            .reply(fleet.entry("desk-1"))
            .await
            .is_answer(&key, 0);
        for daemon in &fleet.daemons {
            let other = body(b'2').reply(daemon.callers).await;
            if size < 64 * 1024 || other.status != 200 {
                other.is_problem(Cause::KeyReused, Outcome::NotRun);
            }
            let same = body(b'1').reply(daemon.callers).await;
            same.is_answer(&key, 0);
        }
        ran(&fleet, &key, 1).await;
    }
}

/// Guards against a resend that is told "not run" of what ran, because the daemon that it reached
/// refused it before the home was asked.
#[tokio::test(flavor = "multi_thread")]
async fn refused_resend() {
    let fleet = keyed(plan(2_000)).await;
    let key = new_key();
    let entry = fleet.entry("shop-1");
    pay(&key).reply(entry).await.is_answer(&key, 0);
    let late = pay(&key).timeout_ms(0).reply(entry).await;
    late.is_problem(Cause::DeadlinePassed, Outcome::Unknown);

    let config = fleet
        .plan
        .config(2)
        .replace("[service desk]\nstate = in", "[service desk]\nstate = out");
    fleet.platform.publish(&config).unwrap();
    while Call::read().reply(entry).await.status == 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    pay(&key).reply(entry).await.is_answer(&key, 0);
    let unsent = new_key();
    let refused = pay(&unsent).reply(entry).await;
    refused.is_problem(Cause::ServiceOut, Outcome::NotRun);
    ran(&fleet, &unsent, 0).await;

    fleet.signal("shop-1", Signal::STOP);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let call = pay(&key);
    let sending = tokio::spawn(async move { call.send(entry).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.signal("shop-1", Signal::CONT);
    let reply = sending.await.unwrap().expect("an answer");
    if reply.status != 200 {
        assert_eq!(reply.problem().outcome, Outcome::Unknown, "{reply:?}");
    }
    ran(&fleet, &key, 1).await;
}

/// Guards against runs of keys without issue time whose home could have been another one.
#[tokio::test(flavor = "multi_thread")]
async fn opaque_key() {
    let fleet = keyed(plan(2_000)).await;
    for reply in resend(&fleet, &pay("order-1"), "").await {
        reply.is_problem(Cause::KeyUnknown, Outcome::Unknown);
    }
    ran(&fleet, "order-1", 0).await;
}

/// As `many_senders`, for keys without issue time, which need a daemon that has run for longer than
/// the retention and two graces.
#[tokio::test(flavor = "multi_thread")]
async fn opaque_keys() {
    let fleet = keyed(Plan {
        retention_ms: 1_000,
        ..plan(20_000)
    })
    .await;
    fleet.wait_until_keyed().await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let (call, sends) = (pay("order-1"), fleet.daemons.iter().chain(&fleet.daemons));
    let replies = join_all(sends.map(|daemon| call.reply(daemon.callers))).await;
    replies
        .iter()
        .for_each(|reply| reply.is_answer("order-1", 0));
    assert_eq!(
        replies.iter().filter(|reply| !reply.is_replayed()).count(),
        1
    );
    ran(&fleet, "order-1", 1).await;
}

/// A fleet whose instance list stopped answering: a key that was issued while its home was still
/// known and one that was issued later, both to be sent after the end of the lease.
async fn unlisted() -> (Fleet, [String; 2]) {
    let fleet = Fleet::start(plan(2_000)).await;
    let grace = tokio::time::Instant::now() + Duration::from_millis(4_100);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let instances = List {
        down: true,
        ..List::default()
    };
    fleet.platform.set_faults(Faults {
        instances,
        ..Faults::default()
    });
    tokio::time::sleep_until(grace).await;
    let known = new_key();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    (fleet, [known, new_key()])
}

/// Guards against first runs under an instance list that may have changed, and against refusing
/// everything else with them.
#[tokio::test(flavor = "multi_thread")]
async fn list_down() {
    let (fleet, [known, later]) = unlisted().await;
    for reply in resend(&fleet, &pay(&known), "").await {
        reply.is_problem(Cause::Unconfirmed, Outcome::NotRun);
    }
    // docs/decisions/at-most-once.md: another instance may own it, so "not run" would be a guess.
    for reply in resend(&fleet, &pay(&later), "").await {
        reply.is_problem(Cause::KeyUnknown, Outcome::Unknown);
    }
    for key in [&known, &later] {
        ran(&fleet, key, 0).await;
    }
    let call = Call::write("x").id("unkeyed");
    call.reply(fleet.entry("shop-1"))
        .await
        .is_answer("unkeyed", 0);
}
