//! Checks the summary of a load run against the limits of its scenario.

use serde::{Deserialize, Serialize};

use crate::audit::Summary;
use crate::deployment::Deployment;

/// Optional limits, not checked if `None`; violations of the guarantees fail a scenario in any
/// case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Minimum fraction of the offered weight that is answered in time.
    pub goodput: Option<f64>,
    /// Minimum weight answered in time, as a fraction of the capacity of the whole deployment.
    #[serde(rename = "of_capacity")]
    pub capacity_fraction: Option<f64>,
    /// Maximum p99 latency over the requests of all services.
    pub p99_ms: Option<f64>,
}

/// Result of checking the limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Checked limits.
    pub checks: Vec<Check>,
}

/// A checked limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Name of the measured value.
    pub name: String,
    /// Measured value.
    pub measured: f64,
    /// The limit.
    pub limit: f64,
    /// Whether the limit holds.
    pub holds: bool,
}

impl Check {
    /// Checks that a value is not below its limit.
    pub fn at_least(name: &str, measured: f64, limit: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            limit,
            holds: measured >= limit,
        }
    }

    /// Checks that a value is not above its limit.
    pub fn at_most(name: &str, measured: f64, limit: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            limit,
            holds: measured <= limit,
        }
    }

    /// Renders the check as one line of text.
    pub fn line(&self) -> String {
        let mark = if self.holds { "ok    " } else { "BROKEN" };
        format!(
            "{mark} {}: {:.4} (limit {})",
            self.name, self.measured, self.limit
        )
    }
}

impl Verdict {
    /// Checks the summary of a load run of the given duration.
    pub fn new(limit: &Limit, summary: &Summary, deployment: &Deployment, seconds: f64) -> Self {
        let violations = summary.breaches.total() as f64;
        let mut checks = vec![Check::at_most("violations", violations, 0.0)];
        if let Some(minimum) = limit.goodput {
            checks.push(Check::at_least(
                "weighted goodput",
                summary.all.goodput(),
                minimum,
            ));
        }
        if let Some(minimum) = limit.capacity_fraction {
            let weight = summary.all.answered_weight as f64 / seconds;
            let fraction = weight / deployment.weight_capacity();
            checks.push(Check::at_least(
                "weighted goodput of capacity",
                fraction,
                minimum,
            ));
        }
        if let Some(maximum) = limit.p99_ms {
            checks.push(Check::at_most("p99 ms", summary.all.latency.p99, maximum));
        }
        Self { checks }
    }

    /// Whether all limits hold.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }
}
