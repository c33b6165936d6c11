//! Compares the outcomes that callers saw with the runs that the targets logged.
//!
//! The input is the callers' records, the targets' run log and the timeline of injected events;
//! the output is a [`Summary`] with counts, latencies and broken guarantees. All of it is plain
//! data, so that each rule can be tested on hand-written examples.

pub mod row;

use std::collections::HashMap;
use std::time::Duration;

use basilbay_fakes::targets::audit::{Run, Violation};
use basilbay_model::id::{DomainId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::client::record::{Outcome, Record};
use crate::fleet::event::{Event, Kind};
use crate::plan::Stream;
use row::{Class, Row};

/// Time for which a target may still start runs after its failure domain is published as out (P3).
pub const DOMAIN_OUT_GRACE: Duration = Duration::from_secs(4);

/// Time for which a target may still start runs after it starts leaving (P7).
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of request ids or targets listed with a violation.
const MAX_EXAMPLES: usize = 5;

/// Records, run logs and events of one load run.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Streams of the plan.
    pub streams: &'a [Stream],
    /// Requests of the callers with their outcomes.
    pub records: &'a [Record],
    /// Run log of the targets.
    pub runs: &'a [Run],
    /// Exceeded limits, as counted by each target.
    pub violations: &'a [Violation],
    /// Events that were injected into the fleet.
    pub events: &'a [Event],
    /// Failure domain of each target.
    pub domains: &'a [(InstanceId, DomainId)],
}

/// Violations of one rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Number of violations.
    pub count: u64,
    /// The first few request ids or targets concerned.
    pub examples: Vec<String>,
}

impl Breach {
    fn add(&mut self, example: impl FnOnce() -> String) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example());
        }
    }

    fn add_many(&mut self, count: u64, example: &str) {
        if count > 0 {
            self.count += count;
            self.examples.push(format!("{example} ({count})"));
        }
    }
}

/// Violations by rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breaches {
    /// No response by the end of the grace period, or an idempotent request that ended with an
    /// unknown outcome before its deadline.
    pub lost: Breach,
    /// A non-idempotent request ran more than once, counted by request id and by key.
    pub doubled: Breach,
    /// Truncated response, or response of another request.
    pub foreign: Breach,
    /// A target ran a request that was reported as not run.
    #[serde(rename = "told_not_run")]
    pub false_not_run: Breach,
    /// A run started in a domain that had been out for longer than [`DOMAIN_OUT_GRACE`].
    pub domain_out: Breach,
    /// A run started on a target that had been leaving for longer than [`LEAVING_GRACE`].
    pub leaving: Breach,
    /// More concurrent runs than slots.
    pub over_slots: Breach,
    /// More concurrent runs than a cold target can take.
    pub over_cold: Breach,
    /// More open connections than the target accepts.
    pub over_connections: Breach,
}

impl Breaches {
    /// All rules with their display names.
    pub fn named(&self) -> [(&'static str, &Breach); 9] {
        [
            ("lost", &self.lost),
            ("doubled", &self.doubled),
            ("foreign or cut answer", &self.foreign),
            ("told not run but ran", &self.false_not_run),
            ("run while domain out", &self.domain_out),
            ("run while leaving", &self.leaving),
            ("over slots", &self.over_slots),
            ("over cold", &self.over_cold),
            ("over connections", &self.over_connections),
        ]
    }

    /// Number of violations of all rules.
    pub fn total(&self) -> u64 {
        self.named().iter().map(|(_, breach)| breach.count).sum()
    }
}

/// Result of the audit of one load run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// All requests.
    pub all: Row,
    /// Requests by service, in the order of the streams.
    pub services: Vec<Row>,
    /// Violations by rule.
    pub breaches: Breaches,
    /// Longest time in ms from taking a domain out to the start of a run in it; `None` if no run
    /// started in a domain that was out.
    pub latest_after_out_ms: Option<f64>,
    /// Longest time in ms from the start of leaving to the start of a run; `None` if no run started
    /// on a leaving target.
    pub latest_after_leaving_ms: Option<f64>,
    /// Delay from the planned time to sending, in us: p50, p99 and maximum.
    pub lag_us: [u64; 3],
    /// Number of runs that the targets logged.
    pub runs: u64,
}

impl Summary {
    /// Audits a load run.
    pub fn new(input: &Input<'_>) -> Self {
        let mut all = Row::new("all");
        let mut services: Vec<Row> = Vec::new();
        for stream in input.streams {
            if services.iter().all(|row| *row.name != *stream.service) {
                services.push(Row::new(&stream.service));
            }
        }
        let mut breaches = Breaches::default();
        for record in input.records {
            let stream = &input.streams[record.stream];
            let class = classify(record, stream);
            all.add(record, stream, class);
            if let Some(row) = services.iter_mut().find(|row| *row.name == *stream.service) {
                row.add(record, stream, class);
            }
            match class {
                Class::Lost => breaches.lost.add(|| describe(record)),
                Class::Foreign => breaches.foreign.add(|| describe(record)),
                _ => {}
            }
        }
        check_runs(input, &mut breaches);
        add_target_violations(input, &mut breaches);
        let latest_after_out_ms = check_domain_out(input, &mut breaches);
        let latest_after_leaving_ms = check_leaving(input, &mut breaches);
        all.finish();
        services.iter_mut().for_each(Row::finish);
        Self {
            all,
            services,
            breaches,
            latest_after_out_ms,
            latest_after_leaving_ms,
            lag_us: lag_percentiles(input.records),
            runs: input.runs.len() as u64,
        }
    }
}

fn describe(record: &Record) -> String {
    let last = record.attempts.last();
    last.map_or_else(String::new, |attempt| {
        format!("{} {:?}", attempt.id, attempt.outcome)
    })
}

/// Classifies a request by its outcome and its time.
pub fn classify(record: &Record, stream: &Stream) -> Class {
    let is_late = u128::from(record.took_us) > stream.timeout.as_micros();
    let last = record.attempts.last().map(|attempt| attempt.outcome);
    // An idempotent request may run again, so only its last attempt counts.
    let outcome = last
        .filter(|_| stream.idempotent)
        .unwrap_or(record.outcome());
    match outcome {
        Outcome::Answer(200) if !record.is_complete => Class::Foreign,
        Outcome::Answer(200) if is_late => Class::Late,
        Outcome::Answer(200) => Class::Answered,
        Outcome::Answer(504) | Outcome::NotRun(504) | Outcome::Unknown(504) => Class::Late,
        Outcome::Answer(_) => Class::Failed,
        Outcome::NotRun(_) | Outcome::Unreachable => Class::Refused,
        Outcome::Silent => Class::Lost,
        Outcome::Unknown(_) | Outcome::Broken if is_late => Class::Late,
        Outcome::Unknown(_) | Outcome::Broken if stream.idempotent => Class::Lost,
        Outcome::Unknown(_) | Outcome::Broken => Class::Unknown,
    }
}

/// Describes a request and each run of one attempt, with times relative to the planned time.
fn describe_runs(input: &Input<'_>, stream: &Stream, record: &Record, id: &str) -> String {
    let mut text = format!(
        "{} {} after {} us",
        stream.kind,
        describe(record),
        record.took_us
    );
    for run in input.runs.iter().filter(|run| &*run.request == id) {
        let start = run.start_us.saturating_sub(record.due_us);
        let end = run.end_us.saturating_sub(record.due_us);
        text.push_str(&format!(
            "; {} {:?} {start}-{end} us",
            run.target, run.outcome
        ));
    }
    text
}

/// Request id without the attempt number and the suffix of a call chain.
fn base_id(id: &str) -> &str {
    id.split(['~', '/']).next().unwrap_or(id)
}

/// Counts requests that ran more than once, or that ran although they were reported as not run.
fn check_runs(input: &Input<'_>, breaches: &mut Breaches) {
    let mut runs_by_request: HashMap<&str, u64> = HashMap::new();
    let mut runs_by_key: HashMap<&str, u64> = HashMap::new();
    for run in input.runs {
        *runs_by_request.entry(&run.request).or_default() += 1;
        if let Some(key) = &run.key {
            *runs_by_key.entry(key).or_default() += 1;
        }
    }
    for record in input.records {
        let stream = &input.streams[record.stream];
        let run_count = |id: &str| runs_by_request.get(id).copied().unwrap_or(0);
        let total: u64 = record
            .attempts
            .iter()
            .map(|attempt| run_count(&attempt.id))
            .sum();
        let key = record.key.as_deref();
        let key_total = key
            .and_then(|key| runs_by_key.get(key))
            .copied()
            .unwrap_or(0);
        if !stream.idempotent && total.max(key_total) > 1 {
            breaches.doubled.add(|| describe(record));
        }
        for attempt in &record.attempts {
            if matches!(attempt.outcome, Outcome::NotRun(_)) && run_count(&attempt.id) > 0 {
                breaches
                    .false_not_run
                    .add(|| describe_runs(input, stream, record, &attempt.id));
            }
        }
        if matches!(record.outcome(), Outcome::Unreachable) && total > 0 {
            breaches
                .false_not_run
                .add(|| base_id(&describe(record)).to_owned());
        }
    }
}

fn add_target_violations(input: &Input<'_>, breaches: &mut Breaches) {
    for violation in input.violations {
        let target = &violation.target;
        breaches.over_slots.add_many(violation.over_slots, target);
        breaches.over_cold.add_many(violation.over_cold, target);
        breaches
            .over_connections
            .add_many(violation.over_connections, target);
    }
}

/// Runs that start within a time span, with the time since its beginning.
fn runs_since<'a>(
    input: &'a Input<'_>,
    begin_us: u64,
    end_us: u64,
    applies_to: impl Fn(&InstanceId) -> bool + 'a,
) -> impl Iterator<Item = (&'a Run, Duration)> {
    input
        .runs
        .iter()
        .filter(move |run| (begin_us..end_us).contains(&run.start_us) && applies_to(&run.target))
        .map(move |run| (run, Duration::from_micros(run.start_us - begin_us)))
}

/// Time of the first event that matches, or `u64::MAX` if none does.
fn first_match_us(events: &[Event], matches: impl Fn(&Kind) -> bool) -> u64 {
    let found = events.iter().find(|event| matches(&event.kind));
    found.map_or(u64::MAX, |event| event.at_us)
}

/// Counts runs that started in a domain later than [`DOMAIN_OUT_GRACE`] after it was taken out.
///
/// Returns the longest time in ms from taking a domain out to the start of a run in it.
fn check_domain_out(input: &Input<'_>, breaches: &mut Breaches) -> Option<f64> {
    let mut latest = None;
    for (index, event) in input.events.iter().enumerate() {
        let Kind::DomainOut(domain) = &event.kind else {
            continue;
        };
        let is_restored = |kind: &Kind| matches!(kind, Kind::DomainIn(back) if back == domain);
        let end_us = first_match_us(&input.events[index..], is_restored);
        let applies_to = |target: &InstanceId| {
            let domains = input.domains.iter();
            domains
                .clone()
                .any(|(id, target_domain)| id == target && target_domain == domain)
        };
        for (run, since) in runs_since(input, event.at_us, end_us, applies_to) {
            latest = latest.max(Some(since));
            if since > DOMAIN_OUT_GRACE {
                breaches.domain_out.add(|| run.request.to_string());
            }
        }
    }
    latest.map(|latest: Duration| latest.as_secs_f64() * 1000.0)
}

/// Counts runs that started on a target later than [`LEAVING_GRACE`] after it started leaving.
///
/// Returns the longest time in ms from the start of leaving to the start of a run.
fn check_leaving(input: &Input<'_>, breaches: &mut Breaches) -> Option<f64> {
    let mut latest = None;
    for (index, event) in input.events.iter().enumerate() {
        let Kind::Leaving(leaving) = &event.kind else {
            continue;
        };
        // A new daemon of the same target puts it back into service.
        let is_restored =
            |kind: &Kind| matches!(kind, Kind::Restarted { target, .. } if target == leaving);
        let end_us = first_match_us(&input.events[index..], is_restored);
        for (run, since) in runs_since(input, event.at_us, end_us, |target| target == leaving) {
            latest = latest.max(Some(since));
            if since > LEAVING_GRACE {
                breaches.leaving.add(|| run.request.to_string());
            }
        }
    }
    latest.map(|latest: Duration| latest.as_secs_f64() * 1000.0)
}

fn lag_percentiles(records: &[Record]) -> [u64; 3] {
    let mut lags: Vec<u64> = records.iter().map(|record| record.lag_us).collect();
    lags.sort_unstable();
    let lag_at = |quantile: f64| {
        let index = (lags.len() as f64 * quantile) as usize;
        lags.get(index.min(lags.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    };
    [lag_at(0.5), lag_at(0.99), lag_at(1.0)]
}
