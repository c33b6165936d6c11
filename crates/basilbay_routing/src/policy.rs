//! Load-balancing policies. The input is the state of the targets of one service and the eligible
//! ones among them; the output is the index of the target that gets the request.

mod balanced;
mod baseline;

use std::time::Instant;

use basilbay_model::service::Policy as PolicyName;

use crate::cluster::Cluster;

pub use balanced::Balanced;
pub use baseline::{LeastInFlight, Random, RoundRobin, TwoChoices};

/// A load-balancing policy.
pub trait Policy: Send {
    /// Picks one of `eligible`, which holds indices into the cluster's targets and is never empty.
    fn pick(&mut self, cluster: &Cluster, eligible: &[usize], now: Instant) -> usize;

    /// Whether the policy uses feedback of targets: stragglers are excluded from `eligible`, and a
    /// request waits at a full target only after other targets refused it. The baseline policies
    /// use none.
    fn uses_feedback(&self) -> bool {
        false
    }
}

/// Creates the policy that a service configures.
pub fn build(name: PolicyName, seed: u64) -> Box<dyn Policy> {
    match name {
        PolicyName::Basilbay => Box::new(Balanced::new(seed)),
        PolicyName::RoundRobin => Box::new(RoundRobin::new(seed)),
        PolicyName::Random => Box::new(Random::new(seed)),
        PolicyName::LeastInFlight => Box::new(LeastInFlight::new(seed)),
        PolicyName::TwoChoices => Box::new(TwoChoices::new(seed)),
    }
}
