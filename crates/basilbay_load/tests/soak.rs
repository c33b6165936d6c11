//! Soak test: scenarios generated from seeds, and a short run on real processes.

use basilbay_load::scenario::action::Action;
use basilbay_load::soak;

/// Duration of the load of each seed, in seconds.
const SECONDS: f64 = 10.0;

/// Seed of the short run; it has a low load, and faults of the network, the platform and processes.
const SHORT_RUN_SEED: u64 = 1;

/// Guards against failures that cannot be reproduced from their seed.
#[test]
fn repeatable_seed() {
    let text =
        |seed| serde_json::to_string(&soak::generate(seed, SECONDS).expect("a generated scenario"));
    assert_eq!(text(7).expect("JSON"), text(7).expect("JSON"));
    assert_ne!(text(7).expect("JSON"), text(8).expect("JSON"));
}

/// Guards against daemons that stay stopped, and faults that extend into the recovery time.
#[test]
fn faults_end() {
    for seed in 0..200 {
        let scenario = soak::generate(seed, SECONDS).expect("a generated scenario");
        let last_ms = scenario.events.iter().map(|event| event.at_ms).max();
        assert!(last_ms.is_none_or(|last| last <= 5_000), "seed {seed}");
        let count = |is: fn(&Action) -> bool| {
            let events = scenario.events.iter();
            events.filter(|event| is(&event.action)).count()
        };
        let stopped = count(|action| matches!(action, Action::Kill(_) | Action::Terminate(_)));
        assert_eq!(
            stopped,
            count(|action| matches!(action, Action::Restart(_)))
        );
        let paused = count(|action| matches!(action, Action::Pause(_)));
        assert_eq!(paused, count(|action| matches!(action, Action::Resume(_))));
    }
}

/// Guards against kinds of fault that no seed generates any more.
#[test]
fn every_fault_kind() {
    let mut kinds: Vec<String> = (0..100)
        .flat_map(|seed| {
            soak::generate(seed, SECONDS)
                .expect("a generated scenario")
                .events
        })
        .map(|event| {
            let value = serde_json::to_value(&event.action).expect("JSON");
            let name = value
                .as_object()
                .and_then(|action| action.keys().next().cloned());
            name.expect("an action object")
        })
        .collect();
    kinds.sort();
    kinds.dedup();
    let expected = [
        "domain-in",
        "domain-out",
        "kill",
        "path",
        "pause",
        "platform",
        "restart",
        "resume",
        "target",
        "targets",
        "terminate",
    ];
    assert_eq!(kinds, expected);
}

/// Guards against guarantees that are violated under random faults.
#[tokio::test(flavor = "multi_thread")]
async fn short_run() {
    let outcome = soak::run_seed(SHORT_RUN_SEED, SECONDS)
        .await
        .expect("a completed run");
    assert!(outcome.holds(), "{outcome}");
}
