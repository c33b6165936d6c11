//! A request that crashes its targets is stopped, and those beside it are not.

#[allow(dead_code)]
#[path = "common/call.rs"]
mod call;
#[allow(dead_code)]
#[path = "common/fleet.rs"]
mod fleet;

use basilbay_fakes::targets::answer::POISON;
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
