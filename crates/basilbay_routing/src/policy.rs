//! How a target is picked among those that may be picked.

mod balanced;
mod baseline;

use std::time::Instant;

use basilbay_model::service::Policy as PolicyName;

use crate::cluster::Cluster;

pub use balanced::Balanced;
pub use baseline::{LeastInFlight, Random, RoundRobin, TwoChoices};

/// A way to pick a target.
pub trait Policy: Send {
    /// Picks one of `eligible`, which are positions on the cluster and never empty.
    fn pick(&mut self, cluster: &Cluster, eligible: &[usize], now: Instant) -> usize;

    /// Whether the policy uses what targets say: stragglers are taken out of `eligible`, and a
    /// request waits at a full target only after others refused it. The baselines go without.
    fn uses_feedback(&self) -> bool {
        false
    }
}

/// Makes the policy that a service asks for.
pub fn build(name: PolicyName, seed: u64) -> Box<dyn Policy> {
    match name {
        PolicyName::Basilbay => Box::new(Balanced::new(seed)),
        PolicyName::RoundRobin => Box::new(RoundRobin::new(seed)),
        PolicyName::Random => Box::new(Random::new(seed)),
        PolicyName::LeastInFlight => Box::new(LeastInFlight::new(seed)),
        PolicyName::TwoChoices => Box::new(TwoChoices::new(seed)),
    }
}
