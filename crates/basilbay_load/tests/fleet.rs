//! Fleets of real processes.

use std::path::Path;
use std::time::Duration;

use basilbay_load::client::{Generator, Settings};
use basilbay_load::deployment::Deployment;
use basilbay_load::fleet::Fleet;
use basilbay_load::plan::{Plan, Stream};
use basilbay_load::scenario::{Scenario, catalogue};
use basilbay_load::trial;

/// One target per service, with short service times.
fn small_deployment() -> Deployment {
    let deployment = Deployment::builtin("caroni").expect("a built-in deployment");
    deployment.with_targets(&[1, 1, 1]).scaled(0.1)
}

fn is_running(process: u32) -> bool {
    Path::new(&format!("/proc/{process}")).exists()
}

/// Guards against processes that outlive their fleet, and requests without a record.
#[tokio::test(flavor = "multi_thread")]
async fn start_and_stop() {
    let mut fleet = Fleet::start(small_deployment())
        .await
        .expect("a running fleet");
    let processes = fleet.process_ids();
    assert_eq!(processes.len(), 5);
    assert!(processes.iter().all(|process| is_running(*process)));
    let streams: Vec<Stream> = Stream::for_deployment(&fleet.deployment, 0.0, 0.0)
        .into_iter()
        .map(|stream| Stream {
            rate: 20.0,
            ..stream
        })
        .collect();
    let plan = Plan::generate(streams, Duration::from_millis(500), &[], 1);
    let generator = Generator::connect(Settings::new("test"), &fleet.caller_addresses())
        .await
        .expect("open connections");
    let nothing = async |_: &mut Fleet| Ok(());
    let trial = trial::run(&mut fleet, &generator, &plan, nothing)
        .await
        .expect("a completed trial");
    assert_eq!(trial.records.len(), plan.arrivals.len());
    assert_eq!(trial.summary.all.sent, plan.arrivals.len() as u64);
    assert!(trial.summary.all.answered > 0);
    assert!(trial.summary.runs >= trial.summary.all.answered);
    drop(fleet);
    assert!(!processes.iter().any(|process| is_running(*process)));
}

/// Guards against signals that do not reach the daemon, and daemons that cannot be replaced.
#[tokio::test(flavor = "multi_thread")]
async fn kill_and_restart() {
    let mut fleet = Fleet::start(small_deployment())
        .await
        .expect("a running fleet");
    let old = fleet.process_id(0).expect("a running daemon");
    let id = fleet.members[0].id.clone();
    fleet.pause(0);
    fleet.resume(0);
    fleet.kill(0);
    assert!(!is_running(old));
    fleet.restart(0).await.expect("a restarted daemon");
    fleet.wait_until_ready().await.expect("a ready fleet");
    assert_ne!(fleet.process_id(0), Some(old));
    assert_ne!(fleet.members[0].id, id);
}

/// Guards against built-in scenarios that are invalid or refer to unknown deployments or kinds.
#[test]
fn builtin_scenarios() {
    for name in catalogue::all() {
        let scenario = Scenario::find(name).expect("a valid scenario");
        assert_eq!(&*scenario.name, name);
        let deployment = scenario.deployment(None).expect("a valid deployment");
        assert!(
            !scenario
                .plan(&deployment, 0)
                .expect("a valid plan")
                .arrivals
                .is_empty()
        );
    }
    assert!(Scenario::find("no such scenario").is_err());
}
