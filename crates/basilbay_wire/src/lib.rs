//! What basilbay's processes say to one another and to callers.
//!
//! Between daemons: [`hop`] travels with each forwarded request, [`load`] comes back with each
//! answer, [`datagram`] carries load, heartbeats and warnings over UDP, and [`control`] carries
//! configuration and roster over HTTP. Towards callers and targets: [`header`] names the headers,
//! [`dialect`] those that a deployment may name otherwise, and [`problem`] the answers that basilbay makes itself.
//!
//! All encoding goes through [`frame`]: rmp-serde maps with field names, so that a reader ignores
//! fields that it does not know, and a size limit for each use.

pub mod control;
pub mod datagram;
pub mod dialect;
pub mod frame;
pub mod header;
pub mod hop;
pub mod load;
pub mod problem;
