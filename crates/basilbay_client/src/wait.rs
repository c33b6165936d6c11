//! `basilbay wait`: until a version is in force everywhere.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_admin::Status;
use basilbay_model::id::{InstanceId, Version};

use crate::check::counted;
use crate::fleet::{self, Fleet, Unreachable};
use crate::output::{Code, Output};
use crate::run::Result;

/// Time between two rounds; short against the 4 s in which a version must be in force.
const PAUSE: Duration = Duration::from_millis(100);

/// Time that one round waits for a daemon, so that an unreachable one does not use up the whole
/// deadline.
const ROUND: Duration = Duration::from_millis(1_000);

/// What is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// The version; a newer one counts too.
    pub version: Version,
    /// Whether daemons that do not answer are left out of account.
    pub reachable_only: bool,
}

/// How far the fleet is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Instances that have the version in force, sorted. A version never reverts, so that they
    /// are not asked again.
    pub done: Vec<InstanceId>,
    /// Last answers that state an older version, sorted by instance.
    pub lagging: Vec<Status>,
    /// Daemons that are in the roster and never answered.
    pub unreachable: Vec<Unreachable>,
}

impl Progress {
    /// Takes the answers of a round.
    ///
    /// A daemon that lagged and then does not answer keeps lagging: the last round may be too
    /// short for an answer, which must not make the wait succeed.
    pub fn take(&mut self, fleet: Fleet, version: Version) {
        let (done, mut lagging): (Vec<Status>, Vec<Status>) = fleet
            .answers
            .into_iter()
            .partition(|status| status.config_version >= version);
        let (silent, unreachable): (Vec<Unreachable>, Vec<Unreachable>) =
            fleet.unreachable.into_iter().partition(|unreachable| {
                self.lagging
                    .iter()
                    .any(|status| status.instance == unreachable.peer.instance)
            });
        let is_silent = |status: &Status| {
            silent
                .iter()
                .any(|unreachable| unreachable.peer.instance == status.instance)
        };
        lagging.extend(self.lagging.drain(..).filter(is_silent));
        lagging.sort_by(|left, right| left.instance.cmp(&right.instance));
        self.done
            .extend(done.into_iter().map(|status| status.instance));
        self.done.sort();
        self.done.dedup();
        self.lagging = lagging;
        self.unreachable = unreachable;
    }

    /// Whether nothing is left to wait for.
    pub fn is_complete(&self, goal: &Goal) -> bool {
        let all_answered = goal.reachable_only || self.unreachable.is_empty();
        self.lagging.is_empty() && all_answered
    }
}

/// Asks the daemons until the goal is reached or the deadline passes.
///
/// The first daemon must answer once; later failures of it are waited out.
pub async fn until(daemon: SocketAddr, deadline: Instant, goal: &Goal) -> Result<Progress> {
    let mut progress = Progress::default();
    let mut answered = false;
    loop {
        let round_end = deadline.min(Instant::now() + ROUND);
        match fleet::ask(daemon, round_end, &progress.done).await {
            Ok(fleet) => {
                answered = true;
                progress.take(fleet, goal.version);
                if progress.is_complete(goal) {
                    return Ok(progress);
                }
            }
            Err(error) if !answered && Instant::now() + PAUSE >= deadline => return Err(error),
            Err(_) => {}
        }
        if Instant::now() + PAUSE >= deadline {
            return Ok(progress);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Shows the verdict.
pub fn output(progress: &Progress, goal: &Goal) -> Output {
    let mut output = Output::default();
    let done = counted(progress.done.len(), "daemon");
    output.line(&format!(
        "version {} or newer is in force on {done}",
        goal.version
    ));
    for status in &progress.lagging {
        output.line(&lagging(status));
    }
    for unreachable in &progress.unreachable {
        output.line(&describe(unreachable));
    }
    if !progress.is_complete(goal) {
        output.code = Code::Bad;
        let count = progress.lagging.len();
        let silent = progress.unreachable.len();
        output.error(&format!(
            "basilbay: not in force everywhere: {count} lagging, {silent} unreachable"
        ));
    }
    output
}

fn lagging(status: &Status) -> String {
    format!(
        "lagging: {} (service {}, domain {}) has version {}",
        status.instance, status.service, status.domain, status.config_version
    )
}

/// One line about a daemon that did not answer.
pub(crate) fn describe(unreachable: &Unreachable) -> String {
    let peer = &unreachable.peer;
    format!(
        "unreachable: {} (service {}, domain {}) at {}: {}",
        peer.instance, peer.service, peer.domain, peer.admin, unreachable.reason
    )
}
