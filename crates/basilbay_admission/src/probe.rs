//! Measuring the target: when its load endpoint may be asked, and what its report is worth.

use std::time::{Duration, Instant};

use basilbay_model::service::Contract;

/// Parts in the whole of a share in parts per thousand.
const PERMILLE: u32 = 1000;

/// How long a report applies; 3 probes at the default gap.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Rounds of usual answers that refute a report.
const REFUTATION_ROUNDS: u32 = 2;

/// When the next probe may be sent.
///
/// The first is due one gap after the start, so that at every moment the probes sent took at most
/// the budgeted share of the time since then.
#[derive(Clone, Debug)]
pub struct Budget {
    permille: u32,
    cost: Duration,
    min_gap: Duration,
    last_sent_at: Instant,
}

impl Budget {
    /// A budget that begins now.
    pub fn new(contract: &Contract, now: Instant) -> Self {
        Self {
            permille: contract.probe_permille,
            cost: contract.probe_cost,
            min_gap: contract.probe_gap,
            last_sent_at: now,
        }
    }

    /// Takes another contract.
    pub fn set_contract(&mut self, contract: &Contract) {
        self.permille = contract.probe_permille;
        self.cost = contract.probe_cost;
        self.min_gap = contract.probe_gap;
    }

    /// When the next probe may be sent; never with a share of 0.
    pub fn next_at(&self) -> Option<Instant> {
        self.last_sent_at.checked_add(self.interval())
    }

    /// Time between two probes, as far as the contract goes.
    pub fn interval(&self) -> Duration {
        match self.permille {
            0 => Duration::MAX,
            permille => (self.cost.saturating_mul(PERMILLE) / permille).max(self.min_gap),
        }
    }

    /// Whether a probe may be sent now; true counts it as sent.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let due = self.next_at().is_some_and(|due| due <= now);
        if due {
            self.last_sent_at = now;
        }
        due
    }
}

/// What the target's load endpoint said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it says it runs.
    pub in_flight: u32,
    /// Requests that it says it can run; 0 when it does not say.
    pub capacity: u32,
    /// Whether it says that it takes work.
    pub ready: bool,
}

/// A lower limit while a report contradicts the gate's own knowledge.
///
/// Load endpoints lag and mislead, so a report halves the limit at most, never raises it, loses its
/// effect with time and is refuted by answers at the usual speed.
#[derive(Clone, Copy, Debug)]
pub struct Restriction {
    /// Requests that may run.
    pub allowed: u32,
    /// When the report is forgotten.
    pub expires_at: Instant,
    remaining_refutations: u32,
}

impl Restriction {
    /// Holds a report against the gate's own limit and the most requests that ran since the last_sent_at
    /// report; none when it agrees.
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

    /// Counts an answer at the usual speed; true when enough of them refute the report.
    pub fn record_normal_response(&mut self) -> bool {
        self.remaining_refutations = self.remaining_refutations.saturating_sub(1);
        self.remaining_refutations == 0
    }
}
