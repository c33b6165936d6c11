//! `basilbay wait`: until a version is in force everywhere.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_admin::Status;
use basilbay_model::id::{InstanceId, Version};

use crate::check::pluralize;
use crate::fleet::{self, Report, Unreachable};
use crate::output::{Code, Output};
use crate::run::Result;

/// Time between two rounds; short against the 4 s in which a version must be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time that one round waits for a daemon, so that an unreachable one does not use up the whole
/// deadline.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Condition {
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
    pub up_to_date: Vec<InstanceId>,
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
    pub fn update(&mut self, report: Report, version: Version) {
        let (up_to_date, mut lagging): (Vec<Status>, Vec<Status>) = report
            .statuses
            .into_iter()
            .partition(|status| status.config_version >= version);
        let (silent, unreachable): (Vec<Unreachable>, Vec<Unreachable>) =
            report.unreachable.into_iter().partition(|unreachable| {
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
        self.up_to_date
            .extend(up_to_date.into_iter().map(|status| status.instance));
        self.up_to_date.sort();
        self.up_to_date.dedup();
        self.lagging = lagging;
        self.unreachable = unreachable;
    }

    /// Whether nothing is left to wait for.
    pub fn is_complete(&self, condition: &Condition) -> bool {
        let all_answered = condition.reachable_only || self.unreachable.is_empty();
        self.lagging.is_empty() && all_answered
    }
}

/// Asks the daemons until the condition is reached or the deadline passes.
///
/// The first daemon must answer once; later failures of it are waited out.
pub async fn until(
    daemon: SocketAddr,
    deadline: Instant,
    condition: &Condition,
) -> Result<Progress> {
    let mut progress = Progress::default();
    let mut answered = false;
    loop {
        let round_end = deadline.min(Instant::now() + POLL_TIMEOUT);
        match fleet::query(daemon, round_end, &progress.up_to_date).await {
            Ok(report) => {
                answered = true;
                progress.update(report, condition.version);
                if progress.is_complete(condition) {
                    return Ok(progress);
                }
            }
            Err(error) if !answered && Instant::now() + POLL_INTERVAL >= deadline => {
                return Err(error);
            }
            Err(_) => {}
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Ok(progress);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Shows the verdict.
pub fn output(progress: &Progress, condition: &Condition) -> Output {
    let mut output = Output::default();
    let daemons = pluralize(progress.up_to_date.len(), "daemon");
    output.push_line(&format!(
        "version {} or newer is in force on {daemons}",
        condition.version
    ));
    for status in &progress.lagging {
        output.push_line(&lagging(status));
    }
    for unreachable in &progress.unreachable {
        output.push_line(&describe(unreachable));
    }
    if !progress.is_complete(condition) {
        output.code = Code::Failure;
        let count = progress.lagging.len();
        let silent = progress.unreachable.len();
        output.push_error(&format!(
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
