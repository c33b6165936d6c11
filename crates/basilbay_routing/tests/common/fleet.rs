//! A router with targets, for tests.

use std::sync::Arc;
use std::time::Instant;

use basilbay_model::id::InstanceId;
use basilbay_routing::cluster::Target;
use basilbay_routing::router::Router;

/// Id of the target at `index`.
pub(crate) fn id(index: usize) -> InstanceId {
    Arc::from(format!("t-{index:03}"))
}

/// A router with `count` targets in `domains` failure domains; the first domain is local.
pub(crate) fn router(count: usize, domains: usize, now: Instant) -> Router {
    let mut router = Router::new(Arc::from("fitfinder"), 7, now);
    router.cluster.slots = 18;
    let targets = (0..count).map(|index| {
        let domain = index % domains;
        Target::new(id(index), Arc::from(format!("d-{domain}")), domain == 0)
    });
    router.cluster.sync(targets.collect());
    router
}
