//! Where configuration and instance list come from, as the daemon sees it.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use basilbay_model::id::Version;
use basilbay_model::roster::Roster;

/// Result of a read.
pub type Result<T> = anyhow::Result<T>;

/// A read under way.
pub type ReadFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// What a read brought. A source that reads both at once hands over both.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Text of a configuration.
    pub config: Option<Arc<str>>,
    /// Instance list; without instances while its version is the one that was asked for.
    pub roster: Option<Roster>,
}

/// A configuration service and an instance list, or one system that is both.
pub trait Source: Debug + Send + Sync {
    /// Waits about [`WATCH_TIMEOUT`] for a configuration newer than `after`.
    ///
    /// [`WATCH_TIMEOUT`]: basilbay_membership::reader::WATCH_TIMEOUT
    fn watch(&self, after: Version) -> ReadFuture<'_, Update>;

    /// Reads the configuration.
    fn config(&self) -> ReadFuture<'_, Update>;

    /// Reads the instance list; `have` is the version in force.
    fn roster(&self, have: Version) -> ReadFuture<'_, Update>;
}
