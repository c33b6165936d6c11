//! Failure domains: groups of instances that operators take out of service together.

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, RegionId};

/// Administrative state of a failure domain or service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts new requests.
    #[default]
    In,
    /// Accepts no new requests; running ones finish.
    Out,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Id, unique within the configuration.
    pub id: DomainId,
    /// Region of the domain; empty when there is only one.
    pub region: RegionId,
    /// Administrative state.
    pub state: State,
}
