//! A request that crashes its targets is stopped, and those beside it are not.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use basilbay_fakes::proxy::fault::Faults;
use basilbay_fakes::targets::response::POISON;
use basilbay_wire::problem::{Cause, Outcome};
use futures::future::join_all;

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

/// Guards against a request whose resends crash one target after the other.
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

/// Guards against requests that are given up because they shared a target with one that crashed it.
#[tokio::test(flavor = "multi_thread")]
async fn bystanders_run() {
    let plan = Plan {
        median_us: 20_000,
        ..Plan::new(&[("desk", 3), ("shop", 1)])
    };
    let fleet = Fleet::start(plan).await;
    let entry = fleet.entry("shop-1");
    let poison = Call::submit("poison").header(POISON, "1");
    let beside = join_all((0..24).map(|n| async move {
        let id = format!("beside{n}");
        let call = Call::submit(id.clone()).id(&id);
        // The budget for retries bounds what the daemon sends again; the caller does the rest.
        for _ in 0..4 {
            let reply = call.reply(entry).await;
            if reply.status == 200 {
                return reply.is_answer(&id, 0);
            }
            assert_ne!(reply.problem().cause, Cause::Poisoned, "{reply:?}");
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        panic!("{id} was never answered");
    }));
    tokio::join!(poison.reply(entry), beside);
    assert!((1..=2).contains(&crashes(&fleet)));
}

/// Guards against a resend that shares its second target with the request that crashed the first,
/// because the warning to the siblings is lost or late.
#[tokio::test(flavor = "multi_thread")]
async fn unwarned_siblings() {
    let plan = Plan {
        median_us: 60_000,
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
        .map(|n| format!("beside{n}"))
        .map(|id| Call::write(id.clone()).id(&id))
        .collect();
    let send = |calls: Vec<Call>| async move {
        join_all(calls.into_iter().map(|call| async move {
            let reply = call.reply(entry).await;
            let is_broken = reply.status != 200 && reply.problem().outcome == Outcome::Unknown;
            is_broken.then_some(call)
        }))
        .await
    };
    let (_, first) = tokio::join!(poison.reply(entry), send(calls));
    let broken: Vec<Call> = first.into_iter().flatten().collect();
    assert_eq!(crashes(&fleet), 1);
    assert!(!broken.is_empty(), "no request was beside the first crash");
    let (_, second) = tokio::join!(poison.reply(entry), send(broken));
    assert_eq!(second.iter().flatten().count(), 0, "broke off twice");
}
