//! Which target a request goes to, and whether a failed attempt is tried again.
//!
//! One [`router::Router`] a service composes the rest: the [`cluster`] holds what is known of each
//! target, a [`policy`] picks among those that may be picked, the [`straggler`] rules say which
//! targets are avoided for a while, and [`retry`] bounds further attempts. On the
//! other side, [`push`] tells the daemons that call here of the own target's load. The router may be wrong
//! about a target's load; the target's own daemon then refuses and the router picks again.

pub mod cluster;
pub mod policy;
pub mod push;
pub mod retry;
pub mod router;
pub mod straggler;
