//! Whether the limits of a scenario hold.

use serde::{Deserialize, Serialize};

use crate::account::Account;
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
    pub fn least(name: &str, measured: f64, limit: f64) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            limit,
            holds: measured >= limit,
        }
    }

    /// A figure that must not be above its limit.
    pub fn most(name: &str, measured: f64, limit: f64) -> Self {
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
    pub fn new(limit: &Limit, account: &Account, deployment: &Deployment, seconds: f64) -> Self {
        let violations = account.breaches.total() as f64;
        let mut checks = vec![Check::most("violations", violations, 0.0)];
        if let Some(least) = limit.goodput {
            checks.push(Check::least(
                "weighted goodput",
                account.all.goodput(),
                least,
            ));
        }
        if let Some(least) = limit.of_capacity {
            let weight = account.all.answered_weight as f64 / seconds;
            let part = weight / deployment.weight_capacity();
            checks.push(Check::least("weighted goodput of capacity", part, least));
        }
        if let Some(most) = limit.p99_ms {
            checks.push(Check::most("p99 ms", account.all.latency.p99, most));
        }
        Self { checks }
    }

    /// Whether all limits hold.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }
}
