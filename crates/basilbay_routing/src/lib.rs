//! Load balancing: which target a request is sent to, and whether a failed attempt is retried.
//!
//! There is one [`router::Router`] per service. The [`cluster`] holds the state of its targets, a
//! [`policy`] picks one of the eligible targets, [`straggler`] ejects slow targets for a while, and
//! [`retry`] bounds further attempts. [`liveness`] keeps requests that must not be repeated away from
//! daemons that may be unreachable. In the other direction, [`push`] sends the load of the local
//! target to the daemons that call it. The router's view of a target's load may be wrong; the
//! target's daemon then refuses the request and the router picks again.

pub mod cluster;
pub mod liveness;
pub mod policy;
pub mod push;
pub mod retry;
pub mod router;
pub mod straggler;
