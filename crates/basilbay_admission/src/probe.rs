//! Load probes: when the target's load endpoint may be queried, and how its report affects the
//! limit.
//!
//! [`Budget`] takes the share of time from the contract and yields the times of probes.
//! [`Restriction`] takes a report and the gate's own counts and yields a lower limit. Probes of the
//! health path, which measure slowdowns, do not count here.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

/// Denominator of a share in parts per thousand.
const PERMILLE: u32 = 1000;

/// How long a report applies: 3 probes at the default interval.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Rounds of normal responses that refute a report.
const REFUTATION_ROUNDS: u32 = 2;

/// Schedules probes within a share of the target's time.
///
/// The first probe is due one interval after the start, so that at any time the probes sent have
/// used at most the configured share of the time since then.
#[derive(Clone, Debug)]
pub struct Budget {
    permille: u32,
    cost: Duration,
    min_gap: Duration,
    last_sent_at: Instant,
}

impl Budget {
    /// Creates a budget that starts now.
    pub fn new(contract: &Contract, now: Instant) -> Self {
        Self {
            permille: contract.probe_permille,
            cost: contract.probe_cost,
            min_gap: contract.min_probe_interval,
            last_sent_at: now,
        }
    }

    /// Applies a new contract.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.permille = contract.probe_permille;
        self.cost = contract.probe_cost;
        self.min_gap = contract.min_probe_interval;
    }

    /// When the next probe may be sent; `None` for a share of 0.
    pub fn next_at(&self) -> Option<Instant> {
        self.last_sent_at.checked_add(self.interval())
    }

    /// Time between probes according to the contract; [`Duration::MAX`] for a share of 0.
    pub fn interval(&self) -> Duration {
        match self.permille {
            0 => Duration::MAX,
            permille => (self.cost.saturating_mul(PERMILLE) / permille).max(self.min_gap),
        }
    }

    /// Whether a probe may be sent now; `true` counts it as sent.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let due = self.next_at().is_some_and(|due| due <= now);
        if due {
            self.last_sent_at = now;
        }
        due
    }
}

/// Report of the target's load endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that the target reports as running.
    pub in_flight: u32,
    /// Concurrency that the target reports as its capacity; 0 if it reports none.
    pub capacity: u32,
    /// Whether the target reports that it accepts requests.
    pub ready: bool,
}

/// Lower concurrency limit while a report contradicts the gate's own counts.
///
/// Reports of load endpoints may lag or be wrong. A report therefore at most halves the limit,
/// never raises it, expires, and is refuted by responses with a normal service time.
#[derive(Clone, Copy, Debug)]
pub struct Restriction {
    /// Maximum concurrency.
    pub allowed: u32,
    /// When the restriction ends.
    pub expires_at: Instant,
    remaining_refutations: u32,
}

impl Restriction {
    /// Compares a report with the gate's own limit and its peak concurrency since the last report;
    /// `None` if they agree.
    pub fn new(report: Report, own_limit: u32, own_peak: u32, now: Instant) -> Option<Self> {
        let half = own_limit.div_ceil(2).max(1);
        let foreign = report.in_flight.saturating_sub(own_peak);
        let mut allowed = own_limit.saturating_sub(foreign);
        if report.capacity > 0 {
            allowed = allowed.min(report.capacity);
        }
        if !report.ready {
            allowed = half;
        }
        let allowed = allowed.max(half);
        (allowed < own_limit).then(|| Self {
            allowed,
            expires_at: now + REPORT_TTL,
            remaining_refutations: allowed.saturating_mul(REFUTATION_ROUNDS),
        })
    }

    /// Counts a response with a normal service time; `true` once enough of them refute the report.
    pub fn record_normal_response(&mut self) -> bool {
        self.remaining_refutations = self.remaining_refutations.saturating_sub(1);
        self.remaining_refutations == 0
    }
}
