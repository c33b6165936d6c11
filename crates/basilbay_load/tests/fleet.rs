//! Fleets of real processes.

use std::path::Path;
use std::time::Duration;

use basilbay_load::client::{Crowd, Settings};
use basilbay_load::deployment::Deployment;
use basilbay_load::fleet::Fleet;
use basilbay_load::plan::{Plan, Stream};
use basilbay_load::scenario::{Scenario, catalogue};
use basilbay_load::trial;

fn small() -> Deployment {
    let deployment = Deployment::named("caroni").expect("works");
    deployment.with_workers(&[1, 1, 1]).scaled(0.1)
}

fn runs(process: u32) -> bool {
    Path::new(&format!("/proc/{process}")).exists()
}

/// Guards against processes that outlive their fleet, and requests that are not accounted for.
#[tokio::test(flavor = "multi_thread")]
async fn start_and_stop() {
    let mut fleet = Fleet::start(small()).await.expect("works");
    let processes = fleet.process_ids();
    assert_eq!(processes.len(), 5);
    assert!(processes.iter().all(|process| runs(*process)));
    let streams: Vec<Stream> = Stream::of(&fleet.deployment, 0.0, 0.0)
        .into_iter()
        .map(|stream| Stream {
            rate: 20.0,
            ..stream
        })
        .collect();
    let plan = Plan::draw(streams, Duration::from_millis(500), &[], 1);
    let crowd = Crowd::connect(Settings::new("test"), &fleet.entries())
        .await
        .expect("works");
    let nothing = async |_: &mut Fleet| Ok(());
    let trial = trial::run(&mut fleet, &crowd, &plan, nothing)
        .await
        .expect("works");
    assert_eq!(trial.records.len(), plan.arrivals.len());
    assert_eq!(trial.account.all.sent, plan.arrivals.len() as u64);
    assert!(trial.account.all.answered > 0);
    assert!(trial.account.runs >= trial.account.all.answered);
    drop(fleet);
    assert!(!processes.iter().any(|process| runs(*process)));
}

/// Guards against daemons that cannot be replaced, and signals that reach nobody.
#[tokio::test(flavor = "multi_thread")]
async fn kill_and_restart() {
    let mut fleet = Fleet::start(small()).await.expect("works");
    let old = fleet.process_id(0).expect("works");
    let id = fleet.members[0].id.clone();
    fleet.pause(0);
    fleet.resume(0);
    fleet.kill(0);
    assert!(!runs(old));
    fleet.restart(0).await.expect("works");
    fleet.ready().await.expect("works");
    assert_ne!(fleet.process_id(0), Some(old));
    assert_ne!(fleet.members[0].id, id);
}

/// Guards against built-in scenarios that cannot be read or name what does not exist.
#[test]
fn known_scenarios() {
    for name in catalogue::all() {
        let scenario = Scenario::find(name).expect("works");
        assert_eq!(&*scenario.name, name);
        let deployment = scenario.deployment(None).expect("works");
        assert!(
            !scenario
                .plan(&deployment, 0)
                .expect("works")
                .arrivals
                .is_empty()
        );
    }
    assert!(Scenario::find("no such scenario").is_err());
}
