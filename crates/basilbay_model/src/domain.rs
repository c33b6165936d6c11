//! Failure domains: groups of instances that operators take out and bring back as one.

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, RegionId};

/// Whether operators want work sent to a domain or service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// New work is welcome.
    #[default]
    In,
    /// No new work; running work finishes.
    Out,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Its id.
    pub id: DomainId,
    /// The region it lies in; empty when there is only one.
    pub region: RegionId,
    /// What operators asked for.
    pub state: State,
}
