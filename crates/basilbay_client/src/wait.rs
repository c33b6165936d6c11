//! `basilbay wait`: polls the daemons until a configuration version is active on all of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilbay_admin::Status;
use basilbay_model::id::{InstanceId, Version};

use crate::check::pluralize;
use crate::fleet::{self, Report, Unreachable};
use crate::output::{Code, Output};
use crate::run::Result;

/// Delay between two polls; short relative to the 4 s within which a version must be active.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one poll, so that an unreachable daemon does not use up the time until the deadline.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Condition that ends the wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Minimum version; newer versions count as well.
    pub version: Version,
    /// Whether daemons that do not respond are ignored.
    pub reachable_only: bool,
}

/// State of the rollout across the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Instances on which the version is active, sorted. They are not queried again, because a
    /// daemon never reverts to an older version.
    pub up_to_date: Vec<InstanceId>,
    /// Latest statuses with an older version, sorted by instance.
    pub lagging: Vec<Status>,
    /// Daemons that are in the roster but never responded.
    pub unreachable: Vec<Unreachable>,
}

impl Progress {
    /// Merges the result of one poll.
    ///
    /// A daemon that lagged before and does not respond now still counts as lagging: the last poll
    /// may be too short for a response, which must not make the wait succeed with
    /// `reachable_only`.
    pub fn update(&mut self, report: Report, version: Version) {
        let (up_to_date, mut lagging): (Vec<Status>, Vec<Status>) = report
            .statuses
            .into_iter()
            .partition(|status| status.config_version >= version);
        let (unresponsive, unreachable): (Vec<Unreachable>, Vec<Unreachable>) =
            report.unreachable.into_iter().partition(|unreachable| {
                self.lagging
                    .iter()
                    .any(|status| status.instance == unreachable.peer.instance)
            });
        let is_unresponsive = |status: &Status| {
            unresponsive
                .iter()
                .any(|unreachable| unreachable.peer.instance == status.instance)
        };
        lagging.extend(self.lagging.drain(..).filter(is_unresponsive));
        lagging.sort_by(|left, right| left.instance.cmp(&right.instance));
        self.up_to_date
            .extend(up_to_date.into_iter().map(|status| status.instance));
        self.up_to_date.sort();
        self.up_to_date.dedup();
        self.lagging = lagging;
        self.unreachable = unreachable;
    }

    /// Whether the condition holds for all daemons.
    pub fn is_complete(&self, condition: &Condition) -> bool {
        let all_responded = condition.reachable_only || self.unreachable.is_empty();
        self.lagging.is_empty() && all_responded
    }
}

/// Polls the fleet until the condition holds or the deadline passes.
///
/// # Errors
///
/// Fails if the given daemon never responds. Once it has responded, later failures are retried
/// until the deadline.
pub async fn until(
    daemon: SocketAddr,
    deadline: Instant,
    condition: &Condition,
) -> Result<Progress> {
    let mut progress = Progress::default();
    let mut responded = false;
    loop {
        let poll_deadline = deadline.min(Instant::now() + POLL_TIMEOUT);
        match fleet::query(daemon, poll_deadline, &progress.up_to_date).await {
            Ok(report) => {
                responded = true;
                progress.update(report, condition.version);
                if progress.is_complete(condition) {
                    return Ok(progress);
                }
            }
            Err(error) if !responded && Instant::now() + POLL_INTERVAL >= deadline => {
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

/// Renders the progress. The code is [`Code::Failure`] if the condition does not hold.
pub fn output(progress: &Progress, condition: &Condition) -> Output {
    let mut output = Output::default();
    let daemons = pluralize(progress.up_to_date.len(), "daemon");
    output.push_line(&format!(
        "version {} or newer is active on {daemons}",
        condition.version
    ));
    for status in &progress.lagging {
        output.push_line(&describe_lagging(status));
    }
    for unreachable in &progress.unreachable {
        output.push_line(&describe_unreachable(unreachable));
    }
    if !progress.is_complete(condition) {
        output.code = Code::Failure;
        let lagging = progress.lagging.len();
        let unreachable = progress.unreachable.len();
        output.push_error(&format!(
            "basilbay: not active everywhere: {lagging} lagging, {unreachable} unreachable"
        ));
    }
    output
}

fn describe_lagging(status: &Status) -> String {
    format!(
        "lagging: {} (service {}, domain {}) has version {}",
        status.instance, status.service, status.domain, status.config_version
    )
}

/// Describes a daemon that did not respond, in one line.
pub(crate) fn describe_unreachable(unreachable: &Unreachable) -> String {
    let peer = &unreachable.peer;
    format!(
        "unreachable: {} (service {}, domain {}) at {}: {}",
        peer.instance, peer.service, peer.domain, peer.admin, unreachable.reason
    )
}
