//! Routes: requests that are told apart by host and path and may go to several services.
//!
//! A service is also reachable under its own id as host, by its kinds. Routes are looked up first.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{RouteId, ServiceId};

/// Lowest urgency; 0 is the highest.
pub const MAX_PRIORITY: u32 = 100;

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the other destinations.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its id.
    pub id: RouteId,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Prefix of the paths that belong to it; starts and ends with `/`.
    pub path: Arc<str>,
    /// Services that its requests go to.
    #[serde(rename = "parts")]
    pub destinations: Vec<Destination>,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub goal: Duration,
    /// Urgency; 0 is the highest.
    pub priority: u32,
    /// Targets that may run one request.
    pub attempts: u32,
}

impl Route {
    /// Service for a request, from a number drawn evenly from the whole range.
    pub fn choose(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .destinations
            .iter()
            .map(|destination| u64::from(destination.weight))
            .sum();
        let mut place = u64::try_from((u128::from(draw) * u128::from(total)) >> 64).unwrap_or(0);
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if place < weight {
                return Some(&destination.service);
            }
            place -= weight;
        }
        None
    }

    /// How much a request of the route counts against others when there is not room for all.
    pub fn weight(&self) -> u32 {
        MAX_PRIORITY.saturating_sub(self.priority) + 1
    }
}

/// Finds the route of a request among routes sorted by host, the longest path first.
pub fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let first = routes.partition_point(|route| *route.host < *host);
    routes[first..]
        .iter()
        .take_while(|route| &*route.host == host)
        .find(|route| path.starts_with(&*route.path))
}
