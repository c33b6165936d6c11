//! Requests with an idempotency key run at most once, and "not run" is reported only for requests
//! that have not run.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, SystemTime};

use basilbay_fakes::platform::fault::{Faults, List};
use basilbay_fakes::targets::audit::Outcome as RunOutcome;
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

/// Service time in tests that act while a request runs.
const LONG_SERVICE_TIME_US: u64 = 400_000;

async fn start_keyed(plan: Plan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    fleet.wait_until_keys_owned().await;
    fleet
}

fn plan(service_time_us: u64) -> Plan {
    Plan {
        service_time_us,
        ..Plan::new(&[("desk", 3), ("shop", 1)])
    }
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// A request with a key that is also its request id.
fn pay(key: &str) -> Call {
    Call::write("one coat").id(key).key(key)
}

/// Returns the id of the daemon that owns a key by the rules of section 4.4.
fn owner_of(fleet: &Fleet, key: &str) -> String {
    let roster = fleet.platform.roster();
    let retention = Duration::from_millis(fleet.plan.retention_ms);
    let mut history = History::new("desk".into(), retention, 0);
    history.observe(&roster);
    let key = Key::parse(key, SystemTime::now()).expect("a valid key");
    match owner::find(
        &history,
        "desk",
        &key,
        unix_ms(SystemTime::now()),
        retention,
    ) {
        Lookup::Found(owner) => owner.to_string(),
        lookup => panic!("no owner: {lookup:?}"),
    }
}

/// Sends a request through the daemon of `shop` and waits until a target runs it; returns the
/// pending response and the id of the target.
async fn start_call(
    fleet: &Fleet,
    call: Call,
) -> (tokio::task::JoinHandle<anyhow::Result<Reply>>, String) {
    let entry = fleet.entry("shop-1");
    let response = tokio::spawn(async move { call.send(entry).await });
    loop {
        let busy = fleet
            .targets
            .status()
            .into_iter()
            .find(|it| it.in_flight > 0);
        if let Some(target) = busy {
            return (response, target.id.to_string());
        }
        assert!(!response.is_finished(), "{:?}", response.await);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Resends a request through every daemon except `without` and returns the responses.
async fn resend(fleet: &Fleet, call: &Call, without: &str) -> Vec<Reply> {
    let daemons = fleet.daemons.iter().filter(|daemon| daemon.id != without);
    join_all(daemons.map(|daemon| call.reply(daemon.callers))).await
}

async fn assert_runs(fleet: &Fleet, request: &str, times: usize) {
    let runs = fleet.runs(request, times).await;
    assert_eq!(runs.len(), times, "{runs:?}");
}

/// Guards against second runs when a key is sent through all daemons at once, and again later.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_senders() {
    let fleet = start_keyed(plan(20_000)).await;
    let keys: Vec<String> = (0..12).map(|_| new_key()).collect();
    let each = keys.iter().map(|key| async {
        let (call, sends) = (pay(key), fleet.daemons.iter().chain(&fleet.daemons));
        let replies = join_all(sends.map(|daemon| call.reply(daemon.callers))).await;
        replies
            .iter()
            .for_each(|reply| reply.assert_response(key, 0));
        assert_eq!(
            replies.iter().filter(|reply| !reply.is_replayed()).count(),
            1
        );
    });
    join_all(each).await;
    for key in &keys {
        for reply in resend(&fleet, &pay(key), "").await {
            reply.assert_response(key, 0);
            assert!(reply.is_replayed());
        }
        assert_runs(&fleet, key, 1).await;
    }
}

/// Guards against a resend that is refused, or runs, while the first request still runs.
#[tokio::test(flavor = "multi_thread")]
async fn resend_while_running() {
    let fleet = start_keyed(plan(LONG_SERVICE_TIME_US)).await;
    let key = new_key();
    let (first, _) = start_call(&fleet, pay(&key)).await;
    let timed_out = pay(&key).timeout_ms(50).reply(fleet.entry("desk-2")).await;
    timed_out.assert_problem(Cause::DeadlinePassed, Outcome::Unknown);
    let second = pay(&key).reply(fleet.entry("desk-1")).await;
    let first = first.await.unwrap().unwrap();
    assert!(!first.is_replayed() && second.is_replayed());
    assert_eq!(first.body, second.body);
    assert_runs(&fleet, &key, 1).await;
}

/// Guards against a second run after the crash of the daemon that stores the state of the key.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() {
    let mut fleet = start_keyed(plan(LONG_SERVICE_TIME_US)).await;
    let key = new_key();
    let owner = owner_of(&fleet, &key);
    let (first, _) = start_call(&fleet, pay(&key)).await;
    fleet.signal(&owner, Signal::KILL);
    let first = first.await.unwrap().expect("a complete response");
    assert_eq!(first.problem().outcome, Outcome::Unknown);
    for reply in resend(&fleet, &pay(&key), &owner).await {
        assert_eq!(reply.problem().outcome, Outcome::Unknown);
    }
    fleet.wait_for_exit(&owner).await;
    fleet.replace(&owner, "desk-9").await;
    for reply in resend(&fleet, &pay(&key), "").await {
        assert_eq!(reply.problem().outcome, Outcome::Unknown);
    }
    assert_runs(&fleet, &key, 1).await;
}

/// Guards against "not run" from a daemon that takes over the address of the owner and has no entry
/// for a key that ran: after a restart with the same id, and under a new id.
#[tokio::test(flavor = "multi_thread")]
async fn owner_replaced() {
    let mut fleet = start_keyed(plan(2_000)).await;
    for under_new_id in [false, true] {
        let key = new_key();
        let owner = owner_of(&fleet, &key);
        pay(&key)
            .reply(fleet.entry("shop-1"))
            .await
            .assert_response(&key, 0);
        let new_id = if under_new_id { "desk-9" } else { &owner };
        fleet.replace(&owner, new_id).await;
        for reply in resend(&fleet, &pay(&key), "").await {
            assert_eq!(reply.problem().outcome, Outcome::Unknown);
        }
        assert_runs(&fleet, &key, 1).await;
        if !under_new_id {
            fleet.wait_until_keys_owned().await;
        }
    }
}

/// Guards against a second run, or "not run", after the target crashed during the first run.
#[tokio::test(flavor = "multi_thread")]
async fn target_crashes() {
    let fleet = start_keyed(plan(LONG_SERVICE_TIME_US)).await;
    let key = new_key();
    let (first, target) = start_call(&fleet, pay(&key)).await;
    let crash = Some(Crash::default());
    fleet.targets.change(
        &target,
        &Change {
            crash,
            ..Change::default()
        },
    );
    let first = first.await.unwrap().expect("a complete response");
    assert_eq!(first.problem().outcome, Outcome::Unknown);
    for reply in resend(&fleet, &pay(&key), "").await {
        assert_eq!(reply.problem().outcome, Outcome::Unknown);
    }
    let runs = fleet.runs(&key, 1).await;
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].outcome, RunOutcome::Crashed);
}

/// Guards against a second run of a request whose response was lost between daemons.
#[tokio::test(flavor = "multi_thread")]
async fn response_lost() {
    let fleet = start_keyed(plan(LONG_SERVICE_TIME_US)).await;
    let key = new_key();
    let (first, _) = start_call(&fleet, pay(&key)).await;
    fleet
        .proxy
        .reset_connections(&format!("peer-{}", owner_of(&fleet, &key)));
    let first = first.await.unwrap().expect("a complete response");
    assert_eq!(first.problem().outcome, Outcome::Unknown);
    for reply in resend(&fleet, &pay(&key), "").await {
        reply.assert_response(&key, 0);
        assert!(reply.is_replayed());
    }
    assert_runs(&fleet, &key, 1).await;
}

/// Guards against keys that are refused because the target of their owner is at capacity or down.
#[tokio::test(flavor = "multi_thread")]
async fn owner_at_capacity() {
    let fleet = start_keyed(Plan {
        slots: 2,
        queue: 0,
        ..plan(LONG_SERVICE_TIME_US)
    })
    .await;
    let key_while_full = new_key();
    let owner = owner_of(&fleet, &key_while_full);
    let peers = fleet.daemon(&owner).peers;
    let busy = |n| Call::read().id(&format!("busy{n}")).hop("desk", 10_000);
    let fill = join_all([0, 1].map(|n| async move { busy(n).reply(peers).await }));
    let fill = tokio::spawn(fill);
    fleet.wait_for_in_flight(&owner, 2).await;
    let reply = pay(&key_while_full).reply(fleet.entry("shop-1")).await;
    reply.assert_response(&key_while_full, 0);
    assert_ne!(reply.target(), owner);
    fill.await
        .unwrap()
        .iter()
        .for_each(|reply| assert_eq!(reply.status, 200));

    let key_while_down = key_owned_by(&fleet, &owner);
    let crash = Some(Crash {
        refuse_ms: Some(3_000),
    });
    fleet.targets.change(
        &owner,
        &Change {
            crash,
            ..Change::default()
        },
    );
    fleet.wait_for_state(&owner, "down").await;
    let reply = pay(&key_while_down).reply(fleet.entry("shop-1")).await;
    reply.assert_response(&key_while_down, 0);
    assert_ne!(reply.target(), owner);
    for key in [&key_while_full, &key_while_down] {
        assert_runs(&fleet, key, 1).await;
    }
}

/// Returns a new key that this daemon owns.
fn key_owned_by(fleet: &Fleet, id: &str) -> String {
    let mut keys = std::iter::repeat_with(new_key);
    keys.find(|key| owner_of(fleet, key) == id)
        .expect("the iterator is endless")
}

/// Guards against a stored response that is replayed to a different request with the same key, also
/// if the bodies differ only in their last byte.
#[tokio::test(flavor = "multi_thread")]
async fn different_body() {
    let fleet = start_keyed(plan(2_000)).await;
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
            .assert_response(&key, 0);
        for daemon in &fleet.daemons {
            let other = body(b'2').reply(daemon.callers).await;
            if size < 64 * 1024 || other.status != 200 {
                other.assert_problem(Cause::KeyReused, Outcome::NotRun);
            }
            let same = body(b'1').reply(daemon.callers).await;
            same.assert_response(&key, 0);
        }
        assert_runs(&fleet, &key, 1).await;
    }
}

/// Guards against "not run" for a request that ran, because the entry daemon refuses the resend
/// without querying the owner.
#[tokio::test(flavor = "multi_thread")]
async fn refused_resend() {
    let fleet = start_keyed(plan(2_000)).await;
    let key = new_key();
    let entry = fleet.entry("shop-1");
    pay(&key).reply(entry).await.assert_response(&key, 0);
    let late = pay(&key).timeout_ms(0).reply(entry).await;
    late.assert_problem(Cause::DeadlinePassed, Outcome::Unknown);

    let config = fleet
        .plan
        .config(2)
        .replace("[service desk]\nstate = in", "[service desk]\nstate = out");
    fleet.platform.publish(&config).unwrap();
    while Call::read().reply(entry).await.status == 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    pay(&key).reply(entry).await.assert_response(&key, 0);
    let unsent = new_key();
    let refused = pay(&unsent).reply(entry).await;
    refused.assert_problem(Cause::ServiceOut, Outcome::NotRun);
    assert_runs(&fleet, &unsent, 0).await;

    fleet.signal("shop-1", Signal::STOP);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let call = pay(&key);
    let response = tokio::spawn(async move { call.send(entry).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.signal("shop-1", Signal::CONT);
    let reply = response.await.unwrap().expect("a complete response");
    if reply.status != 200 {
        assert_eq!(reply.problem().outcome, Outcome::Unknown, "{reply:?}");
    }
    assert_runs(&fleet, &key, 1).await;
}

/// Guards against running a key without an issue time while another daemon may have owned it
/// before.
#[tokio::test(flavor = "multi_thread")]
async fn opaque_key_refused() {
    let fleet = start_keyed(plan(2_000)).await;
    for reply in resend(&fleet, &pay("order-1"), "").await {
        reply.assert_problem(Cause::KeyUnknown, Outcome::Unknown);
    }
    assert_runs(&fleet, "order-1", 0).await;
}

/// Guards against second runs when a key without an issue time is sent through all daemons at once.
/// Daemons accept such keys only after they have run for longer than the retention period plus two
/// grace periods.
#[tokio::test(flavor = "multi_thread")]
async fn opaque_key_accepted() {
    let fleet = start_keyed(Plan {
        retention_ms: 1_000,
        ..plan(20_000)
    })
    .await;
    fleet.wait_until_keys_owned().await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let (call, sends) = (pay("order-1"), fleet.daemons.iter().chain(&fleet.daemons));
    let replies = join_all(sends.map(|daemon| call.reply(daemon.callers))).await;
    replies
        .iter()
        .for_each(|reply| reply.assert_response("order-1", 0));
    assert_eq!(
        replies.iter().filter(|reply| !reply.is_replayed()).count(),
        1
    );
    assert_runs(&fleet, "order-1", 1).await;
}

/// Starts a fleet whose instance list is down, and returns it with two keys to be sent after the
/// lease has ended: one issued while its owner was known, and one issued later.
async fn start_unlisted() -> (Fleet, [String; 2]) {
    let fleet = Fleet::start(plan(2_000)).await;
    let owned_at = tokio::time::Instant::now() + Duration::from_millis(4_100);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let instances = List {
        down: true,
        ..List::default()
    };
    fleet.platform.set_faults(Faults {
        instances,
        ..Faults::default()
    });
    tokio::time::sleep_until(owned_at).await;
    let known = new_key();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    (fleet, [known, new_key()])
}

/// Guards against running keys while the instance list is down and may have changed, and against
/// refusing requests without a key meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn instance_list_down() {
    let (fleet, [known, later]) = start_unlisted().await;
    for reply in resend(&fleet, &pay(&known), "").await {
        reply.assert_problem(Cause::Unconfirmed, Outcome::NotRun);
    }
    // docs/decisions/at-most-once.md: another instance may own the key, so "not run" would
    // be a guess.
    for reply in resend(&fleet, &pay(&later), "").await {
        reply.assert_problem(Cause::KeyUnknown, Outcome::Unknown);
    }
    for key in [&known, &later] {
        assert_runs(&fleet, key, 0).await;
    }
    let call = Call::write("x").id("unkeyed");
    call.reply(fleet.entry("shop-1"))
        .await
        .assert_response("unkeyed", 0);
}
