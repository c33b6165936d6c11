//! The admission of the local target estimates the service time of each kind on its own.

use std::time::{Duration, Instant};

use basilbay_admission::gate::{Completion, Startup};
use basilbay_daemon::admission::{Admission, Requirements, kind_key};
use basilbay_model::service::Contract;
use basilbay_wire::problem::Cause;

fn requirements(kind: &str, timeout_ms: u64) -> Requirements {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    Requirements {
        kind: kind_key(&kind.into()),
        weight: 1,
        deadline,
        goal_at: deadline,
        suspect: false,
        may_wait: true,
        fingerprint: 0,
    }
}

/// Guards against a daemon that does not tell the gate the kind, so that short calls are refused
/// beside long ones.
#[tokio::test]
async fn kinds_told_apart() {
    let contract = Contract {
        slots: 1,
        cold_slots: 1,
        warm_after: 0,
        queue: 4,
        ..Contract::default()
    };
    let admission = Admission::new(&contract, Startup::Fresh, Instant::now());
    for (kind, service_ms) in [("upload", 400), ("call", 5)] {
        let permit = admission.acquire(requirements(kind, 5_000)).await;
        let permit = permit.expect("the target is idle");
        tokio::time::sleep(Duration::from_millis(service_ms)).await;
        permit.finish(Completion::Answered);
    }
    let busy = admission.acquire(requirements("call", 5_000)).await;
    let busy = busy.expect("the target is idle");
    let upload = admission.acquire(requirements("upload", 200)).await;
    let problem = upload.expect_err("an upload takes longer than the time left");
    assert_eq!(problem.cause, Cause::DeadlinePassed);
    let finish = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        busy.finish(Completion::Answered);
    };
    let (call, ()) = tokio::join!(admission.acquire(requirements("call", 200)), finish);
    call.expect("a call takes less than the time left")
        .finish(Completion::Answered);
}
