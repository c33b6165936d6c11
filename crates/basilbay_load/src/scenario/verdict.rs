//! Whether the limits of a scenario hold.

use serde::{Deserialize, Serialize};

use crate::audit::Summary;
use crate::deployment::Deployment;

/// What must hold besides the guarantees, whose violations always fail a scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// Least part of the offered weight that is answered in time.
    pub goodput: Option<f64>,
    /// Least weight answered in time, as a part of what the full deployment can answer.
    pub of_capacity: Option<f64>,
    /// Largest p99 over all services, in ms.
    pub p99_ms: Option<f64>,
}

/// The result of checking.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// One line for each limit that was checked.
    pub checks: Vec<Check>,
}

/// One limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// What was checked.
    pub name: String,
    /// What was measured.
    pub measured: f64,
    /// The limit.
    pub limit: f64,
    /// Whether it holds.
    pub holds: bool,
}

impl Check {
    /// A figure that must not be below its limit.
    pub fn at_least(name: &str, measured: f64, limit: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            limit,
            holds: measured >= limit,
        }
    }

    /// A figure that must not be above its limit.
    pub fn at_most(name: &str, measured: f64, limit: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            limit,
            holds: measured <= limit,
        }
    }

    /// One line for the screen.
    pub fn line(&self) -> String {
        let mark = if self.holds { "ok    " } else { "BROKEN" };
        format!(
            "{mark} {}: {:.4} (limit {})",
            self.name, self.measured, self.limit
        )
    }
}

impl Verdict {
    /// Checks an account.
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
        if let Some(minimum) = limit.of_capacity {
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
