//! Interface to the source of the configuration and the instance list.
//!
//! [`crate::platform`] reads basilbay's own formats over HTTP; an adapter to another platform
//! implements [`Source`] itself.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use basilbay_membership::bootstrap::Contact;
use basilbay_model::id::Version;
use basilbay_model::roster::Roster;

/// Result of a read.
pub type Result<T> = anyhow::Result<T>;

/// Future of a read.
pub type ReadFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Content that a read returned. A source that reads configuration and instance list together returns
/// both.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Text of the configuration; `None` if it was not read or has not changed.
    pub config: Option<Arc<str>>,
    /// Roster from the instance list; `None` if it was not read. It lists no instances if its version
    /// is the one that the daemon has.
    pub roster: Option<Roster>,
}

/// A configuration service and an instance list, or one system that provides both.
pub trait Source: Debug + Send + Sync {
    /// Long poll: waits about [`WATCH_TIMEOUT`] for a configuration newer than `after`.
    ///
    /// [`WATCH_TIMEOUT`]: basilbay_membership::reader::WATCH_TIMEOUT
    fn watch(&self, after: Version) -> ReadFuture<'_, Update>;

    /// Reads the configuration.
    fn config(&self) -> ReadFuture<'_, Update>;

    /// Reads some instances, possibly out of date, at a fraction of the price of a full read; `None`
    /// if there is no such read.
    fn contacts(&self) -> Option<ReadFuture<'_, Vec<Contact>>> {
        None
    }

    /// Reads the roster from the instance list; `have` is the version that the daemon has.
    fn roster(&self, have: Version) -> ReadFuture<'_, Update>;
}
