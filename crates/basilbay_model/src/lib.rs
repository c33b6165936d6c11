//! Data model shared by all basilbay crates.
//!
//! Operators publish a [`config::Config`]: services, their kinds of request, failure domains,
//! routes and limits. The platform publishes a [`roster::Roster`]: the live and leaving instances.
//! The other crates refer to entries of both by the ids in [`id`].
//!
//! INI files are parsed by [`ini::Document`], which records the line of each key, so that every
//! problem becomes a [`finding::Finding`] with its position; all findings are reported together.

pub mod config;
pub mod domain;
pub mod finding;
pub mod id;
pub mod ini;
pub mod kind;
pub mod roster;
pub mod route;
pub mod service;
pub mod version;
