//! Kinds of request within a service.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::KindId;

/// A kind of request: which requests belong to it and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Its id within the service.
    pub id: KindId,
    /// Prefix of the paths that belong to it; the longest match wins.
    pub path: Arc<str>,
    /// Methods that belong to it, sorted; empty means all.
    pub methods: Vec<Arc<str>>,
    /// How much one request counts; under overload light kinds are shed first.
    pub weight: u32,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Time a request has when its caller states none.
    pub timeout: Duration,
}

impl Kind {
    /// Whether a request with this method and path belongs to the kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits =
            self.methods.is_empty() || self.methods.iter().any(|known| &**known == method);
        method_fits && self.covers(path)
    }

    /// Whether the path is the kind's own or lies below it: `/fit` covers `/fit/pram` and not
    /// `/fitness`, which may be a request of another nature.
    fn covers(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
    }
}
