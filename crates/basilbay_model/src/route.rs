//! Routes: traffic selected by host and path prefix and split among weighted services.
//!
//! A service is also reachable under its own id as host, where its kinds match requests. Routes
//! take precedence.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{RouteId, ServiceId};

/// Number of the lowest priority; 0 is the highest.
pub const MAX_PRIORITY: u32 = 100;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Id of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Id, unique within the configuration.
    pub id: RouteId,
    /// Host of matching requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix of matching requests; starts and ends with `/`.
    pub path: Arc<str>,
    /// Services that the requests are split among.
    #[serde(rename = "parts")]
    pub destinations: Vec<Destination>,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Longest time until the caller gets a response.
    pub timeout: Duration,
    /// Latency goal, within which a response is fully useful to the caller.
    pub goal: Duration,
    /// Priority; 0 is the highest, [`MAX_PRIORITY`] the lowest.
    pub priority: u32,
    /// Maximum number of targets that may run one request.
    pub attempts: u32,
}

impl Route {
    /// Picks the service for a request by weight; `random` is uniform over all of `u64`. `None` if
    /// all weights are 0.
    pub fn choose(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .destinations
            .iter()
            .map(|destination| u64::from(destination.weight))
            .sum();
        let mut offset = u64::try_from((u128::from(random) * u128::from(total)) >> 64).unwrap_or(0);
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if offset < weight {
                return Some(&destination.service);
            }
            offset -= weight;
        }
        None
    }

    /// Weight of a request under overload, when requests of low weight are shed first.
    pub fn weight(&self) -> u32 {
        MAX_PRIORITY.saturating_sub(self.priority) + 1
    }
}

/// Finds the route of a request; `routes` are sorted by host, then with the longest path first.
pub fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let start = routes.partition_point(|route| *route.host < *host);
    routes[start..]
        .iter()
        .take_while(|route| &*route.host == host)
        .find(|route| path.starts_with(&*route.path))
}
