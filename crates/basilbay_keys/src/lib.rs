//! At-most-once execution of requests with an idempotency key, and quarantine of requests that
//! crash targets.
//!
//! A [`key::Key`] states when it was issued. [`history::History`] records the roster as one daemon
//! has observed it over time; [`owner`] derives from it the single daemon that may run the key.
//! [`store`] holds the owner's entries for keys that are running or have run, and [`decision`]
//! combines the store lookup and the ownership check under one lock. [`suspect`] counts the
//! crashes that each request was in flight for.
//!
//! The crate reads no clock. `now` is monotonic time and `wall_ms` is the local estimate of the
//! instance list's clock; callers pass both. The proof that a key runs at most once is in
//! `docs/decisions/at-most-once.md`.

pub mod decision;
mod digest;
pub mod history;
pub mod key;
pub mod owner;
pub mod store;
pub mod suspect;
