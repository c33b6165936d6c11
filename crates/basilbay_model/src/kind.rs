//! Kinds of request within a service, matched by path prefix and method.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::KindId;

/// A kind of request: its match conditions and the treatment of matching requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Id, unique within the service.
    pub id: KindId,
    /// Path prefix of matching requests; the longest match wins.
    pub path: Arc<str>,
    /// Methods of matching requests, sorted; empty means all.
    pub methods: Vec<Arc<str>>,
    /// Importance of a request; under overload, kinds of low weight are shed first.
    pub weight: u32,
    /// Whether a request may safely run twice.
    pub idempotent: bool,
    /// Timeout of a request whose caller states none.
    pub timeout: Duration,
}

impl Kind {
    /// Whether a request with this method and path belongs to the kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches =
            self.methods.is_empty() || self.methods.iter().any(|candidate| &**candidate == method);
        method_matches && self.matches_path(path)
    }

    /// Whether the prefix matches complete path segments: `/fit` matches `/fit/pram` but not
    /// `/fitness`, which may belong to an unrelated resource.
    fn matches_path(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
    }
}
