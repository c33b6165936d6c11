//! At most one run for each idempotency key, and protection from requests that crash targets.
//!
//! A [`key::Key`] says when it was issued. [`history::History`] is the roster as one daemon has
//! seen it over time, and [`home`] derives from it the one daemon that may run the key.
//! [`memory`] is what that daemon remembers of its keys, and [`once`] joins permission and memory
//! into one decision. [`suspect`] counts the crashes that requests were part of.
//!
//! Nothing here reads a clock: `now` is monotonic, `wall_ms` is the local estimate of the list's
//! clock, and both are parameters. The proof of uniqueness is in `docs/decisions/at-most-once.md`.

pub mod decision;
mod digest;
pub mod history;
pub mod key;
pub mod owner;
pub mod store;
pub mod suspect;
