//! The world that basilbay acts in, as plain data.
//!
//! Operators publish a [`config::Config`]: services, their kinds of request, failure domains and
//! limits. The platform publishes a [`roster::Roster`]: the live and leaving instances. Everything
//! else in the workspace refers to these two through the aliases in [`id`].
//!
//! Text enters through [`ini::Document`], which remembers the line of each key, so that every
//! problem becomes a [`finding::Finding`] with its place and all of them are reported together.

pub mod config;
pub mod domain;
pub mod finding;
pub mod id;
pub mod ini;
pub mod kind;
pub mod roster;
pub mod route;
pub mod service;
