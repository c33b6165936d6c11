//! Quarantine of requests that were in flight when a target crashed.
//!
//! Targets also crash for reasons of their own, several at once if they share a failure domain, and a
//! popular request always runs on some of them. Only a crash of a run that began after an earlier
//! crash was known is therefore evidence against the request; crashes of other runs are not
//! independent of each other.
//!
//! - After one crash, a request runs isolated: with no other suspect on the same target.
//! - After two, it is refused but for trials: single runs, one at a time, on one target of the service.
//!   The first trial is due at once, or [`FIRST_TRIAL_DELAY`] after a crash of an isolated run. Each
//!   trial that crashes its target multiplies the delay of the next one by [`TRIAL_DELAY_FACTOR`].
//! - A completed run clears the request, unless an isolated run or a trial has crashed. Then another
//!   completion only makes the next trial due, and the completion of a trial clears the request.
//!
//! Daemons of one service report to each other how often their own target crashed with a request in
//! flight. The counts of all targets are added up. A report carries the totals of its target, so a
//! duplicate changes nothing. A daemon that starts asks the others for what they know, since its target
//! runs on. All daemons choose the target of the trials alike, see [`tester`].

use std::time::{Duration, Instant};

use basilbay_model::id::{InstanceId, ServiceId};
use basilbay_wire::datagram::{Report, Suspicion};

use crate::digest;

/// Time for which a suspect is kept after its last crash or the last report of one.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Time from the first crash of an isolated run to the first trial.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5);

/// Factor by which a trial that crashes its target lengthens the delay of the next one. Three trials
/// take over two minutes, so a request that crashes its targets costs few of them.
pub const TRIAL_DELAY_FACTOR: u32 = 5;

/// Maximum number of suspects; beyond it, the oldest are evicted.
pub const MAX_SUSPECTS: usize = 1024;

/// Maximum number of refused requests of which a daemon that starts is told.
pub const MAX_RESTORED: usize = 64;

/// Length of the body prefix that identifies a request without a key.
pub const BODY_PREFIX_BYTES: usize = 4096;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Concurrently with any other request.
    Unrestricted,
    /// With no other suspect on the same target.
    Isolated,
    /// Isolated, and as the only run of this request in the service.
    Trial,
    /// Must not run.
    Refused,
}

impl Disposition {
    /// Whether no other suspect may run on the same target.
    pub fn is_isolated(self) -> bool {
        matches!(self, Self::Isolated | Self::Trial)
    }
}

/// A run of a request on the local target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Disposition with which the run began.
    pub disposition: Disposition,
    /// Whether a target had aborted the request before, as the daemon that sent it knows: reports of
    /// crashes may arrive later than the request.
    pub was_aborted: bool,
}

impl Run {
    /// A run that began when no crash with the request in flight was known.
    pub fn unrestricted(fingerprint: u64) -> Self {
        Self {
            fingerprint,
            disposition: Disposition::Unrestricted,
            was_aborted: false,
        }
    }
}

/// Target of another daemon of the service, or `None` for the local target.
type Target = Option<InstanceId>;

/// Crashes of one target with a request in flight.
#[derive(Clone, Copy, Debug, Default)]
struct Crashes {
    total: u32,
    /// Crashes in which the run was isolated.
    isolated: u32,
    /// Crashes in which the run was a trial.
    trials: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    /// Crashes by target, sorted by target.
    crashes: Vec<(Target, Crashes)>,
    /// When the next trial is due.
    trial_at: Instant,
    /// When the running trial has ended at the latest; `None` if none runs on the local target.
    trial_ends_at: Option<Instant>,
    expires_at: Instant,
}

/// Suspect requests of one service.
#[derive(Clone, Debug)]
pub struct Suspects {
    service: ServiceId,
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
}

/// Hashes the identity of a request: its key, or the first 4 KB of its body if it has none.
pub fn fingerprint(
    service: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body_prefix: &[u8],
) -> u64 {
    let (tag, content) = match key {
        Some(key) => ("key", key.as_bytes()),
        None => ("body", truncate(body_prefix)),
    };
    digest::sha256_u64(&[
        service.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        tag.as_bytes(),
        content,
    ])
}

/// Returns the instance whose target runs the trials of a request: the one with the highest rendezvous
/// score; `None` if there are no instances.
pub fn tester<'a>(
    fingerprint: u64,
    instances: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    instances.max_by_key(|id| {
        let hash = digest::sha256_u64(&[id.as_bytes()]);
        digest::rendezvous_score(fingerprint, hash)
    })
}

impl Suspects {
    /// Creates an empty set.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            entries: Vec::new(),
        }
    }

    /// Determines how a request may run on the local target; `is_tester` tells whether that target
    /// runs the trials of the request.
    pub fn check(&self, fingerprint: u64, is_tester: bool, now: Instant) -> Disposition {
        let Some(entry) = self.entry(fingerprint, now) else {
            return Disposition::Unrestricted;
        };
        match entry.total() {
            0 => Disposition::Unrestricted,
            1 => Disposition::Isolated,
            _ if is_tester && entry.is_trial_due(now) => Disposition::Trial,
            _ => Disposition::Refused,
        }
    }

    /// Determines how a request runs that is handed to the local target now. A trial counts as running
    /// until it completes or crashes, and until `deadline` at most.
    pub fn begin(
        &mut self,
        fingerprint: u64,
        is_tester: bool,
        deadline: Instant,
        now: Instant,
    ) -> Disposition {
        let disposition = self.check(fingerprint, is_tester, now);
        if disposition == Disposition::Trial
            && let Ok(index) = self.position(fingerprint)
        {
            self.entries[index].trial_ends_at = Some(deadline);
        }
        disposition
    }

    /// Ends a trial that was not handed to the target.
    pub fn cancel_trial(&mut self, fingerprint: u64) {
        if let Ok(index) = self.position(fingerprint) {
            self.entries[index].trial_ends_at = None;
        }
    }

    /// Counts a crash of the local target for each run in flight, and returns the reports for the other
    /// daemons of the service.
    pub fn record_crash(&mut self, in_flight: &[Run], now: Instant) -> Vec<Suspicion> {
        self.evict_expired(now);
        let mut runs = in_flight.to_vec();
        runs.sort_unstable_by_key(|run| run.fingerprint);
        let same_request = |left: &Run, right: &Run| left.fingerprint == right.fingerprint;
        runs.chunk_by(same_request)
            .map(|runs| self.record_crash_of(runs, now))
            .collect()
    }

    fn record_crash_of(&mut self, runs: &[Run], now: Instant) -> Suspicion {
        let fingerprint = runs[0].fingerprint;
        let entry = self.entry_mut(fingerprint, now);
        let rounds = entry.rounds();
        // If the request was cleared meanwhile, no earlier crash is left that this one confirms.
        let is_suspect = entry.total() > 0;
        let is_trial = |run: &Run| is_suspect && run.disposition == Disposition::Trial;
        let is_isolated =
            |run: &Run| run.was_aborted || is_suspect && run.disposition == Disposition::Isolated;
        let crashes = entry.crashes_mut(None);
        crashes.total += 1;
        if runs.iter().any(is_trial) {
            crashes.trials += 1;
        } else if runs.iter().any(is_isolated) {
            crashes.isolated += 1;
        }
        let crashes = *crashes;
        entry.trial_ends_at = None;
        entry.schedule_trial(rounds, now);
        Suspicion {
            crashes: crashes.total,
            isolated: crashes.isolated,
            trials: crashes.trials,
            ..self.clearance(fingerprint, false)
        }
    }

    /// Records a completed run, and returns the report for the other daemons of the service; `None` if
    /// the request was not suspect.
    pub fn record_completion(&mut self, run: Run, now: Instant) -> Option<Suspicion> {
        self.evict_expired(now);
        let is_trial = run.disposition == Disposition::Trial;
        self.clear(run.fingerprint, is_trial, now)
            .then(|| self.clearance(run.fingerprint, is_trial))
    }

    /// Applies a report of the daemon `origin` about its target; 0 crashes mean that the request
    /// has completed there.
    pub fn merge(&mut self, origin: &InstanceId, report: &Suspicion, now: Instant) {
        self.merge_from(Some(origin.clone()), report, now);
    }

    /// Applies what a sibling knows of crashes of all targets; `local_id` is the local instance, whose
    /// daemon may have started after such a crash.
    pub fn restore(&mut self, local_id: &InstanceId, reports: &[Report], now: Instant) {
        for report in reports.iter().filter(|report| report.suspicion.crashes > 0) {
            let target = Some(&report.origin).filter(|origin| *origin != local_id);
            self.merge_from(target.cloned(), &report.suspicion, now);
        }
    }

    /// Returns what a daemon that starts needs to know: the crashes of all targets with requests that
    /// are refused, for at most [`MAX_RESTORED`] requests.
    pub fn reports(&self, local_id: &InstanceId, now: Instant) -> Vec<Report> {
        let entries = self.entries.iter().filter(|entry| now < entry.expires_at);
        let refused = entries.filter(|entry| entry.total() > 1);
        let mut reports = Vec::new();
        for entry in refused.take(MAX_RESTORED) {
            for (target, crashes) in &entry.crashes {
                reports.push(Report {
                    origin: target.as_ref().unwrap_or(local_id).clone(),
                    suspicion: Suspicion {
                        crashes: crashes.total,
                        isolated: crashes.isolated,
                        trials: crashes.trials,
                        ..self.clearance(entry.fingerprint, false)
                    },
                });
            }
        }
        reports
    }

    fn merge_from(&mut self, target: Target, report: &Suspicion, now: Instant) {
        if report.service != self.service {
            return;
        }
        self.evict_expired(now);
        if report.crashes == 0 {
            self.clear(report.fingerprint, report.is_trial, now);
            return;
        }
        let entry = self.entry_mut(report.fingerprint, now);
        let rounds = entry.rounds();
        let crashes = entry.crashes_mut(target);
        crashes.total = report.crashes.max(crashes.total);
        crashes.isolated = report.isolated.max(crashes.isolated);
        crashes.trials = report.trials.max(crashes.trials);
        entry.schedule_trial(rounds, now);
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a completed run; returns whether it changed anything.
    fn clear(&mut self, fingerprint: u64, is_trial: bool, now: Instant) -> bool {
        let Ok(index) = self.position(fingerprint) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if is_trial || entry.rounds() == 0 || entry.total() == 1 {
            self.entries.remove(index);
            return true;
        }
        let is_early = now < entry.trial_at;
        entry.trial_at = entry.trial_at.min(now);
        is_early
    }

    fn clearance(&self, fingerprint: u64, is_trial: bool) -> Suspicion {
        Suspicion {
            service: self.service.clone(),
            fingerprint,
            crashes: 0,
            isolated: 0,
            trials: 0,
            is_trial,
        }
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn entry(&self, fingerprint: u64, now: Instant) -> Option<&Entry> {
        let index = self.position(fingerprint).ok()?;
        self.entries
            .get(index)
            .filter(|entry| now < entry.expires_at)
    }

    fn entry_mut(&mut self, fingerprint: u64, now: Instant) -> &mut Entry {
        if self.position(fingerprint).is_err() && self.entries.len() >= MAX_SUSPECTS {
            self.evict_oldest();
        }
        let index = match self.position(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, Entry::new(fingerprint, now));
                index
            }
        };
        let entry = &mut self.entries[index];
        entry.expires_at = now + RETENTION;
        entry
    }

    fn evict_oldest(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].expires_at);
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn evict_expired(&mut self, now: Instant) {
        self.entries.retain(|entry| now < entry.expires_at);
    }
}

impl Entry {
    fn new(fingerprint: u64, now: Instant) -> Self {
        Self {
            fingerprint,
            crashes: Vec::new(),
            trial_at: now,
            trial_ends_at: None,
            expires_at: now + RETENTION,
        }
    }

    /// Number of crashes over all targets.
    fn total(&self) -> u32 {
        self.sum(|crashes| crashes.total)
    }

    /// Number of crashes that are evidence against the request. The isolated runs that crash count
    /// once together: a trial is the first run that begins after one of them was known.
    fn rounds(&self) -> u32 {
        let isolated = self.sum(|crashes| crashes.isolated);
        isolated.min(1) + self.sum(|crashes| crashes.trials)
    }

    fn sum(&self, count: impl Fn(&Crashes) -> u32) -> u32 {
        let counts = self.crashes.iter().map(|(_, crashes)| count(crashes));
        counts.fold(0, u32::saturating_add)
    }

    /// Defers the next trial if there were only `rounds` until now.
    fn schedule_trial(&mut self, rounds: u32, now: Instant) {
        let failed = self.rounds();
        if failed > rounds {
            let factor = TRIAL_DELAY_FACTOR.saturating_pow(failed - 1);
            let delay = FIRST_TRIAL_DELAY.saturating_mul(factor).min(RETENTION);
            self.trial_at = now + delay;
        }
    }

    fn is_trial_due(&self, now: Instant) -> bool {
        now >= self.trial_at && self.trial_ends_at.is_none_or(|ends_at| now >= ends_at)
    }

    /// Crashes of one target, inserted as 0 if missing.
    fn crashes_mut(&mut self, target: Target) -> &mut Crashes {
        let found = self
            .crashes
            .binary_search_by(|(known, _)| known.cmp(&target));
        let index = found.unwrap_or_else(|index| {
            self.crashes.insert(index, (target, Crashes::default()));
            index
        });
        &mut self.crashes[index].1
    }
}

fn truncate(body: &[u8]) -> &[u8] {
    &body[..body.len().min(BODY_PREFIX_BYTES)]
}
