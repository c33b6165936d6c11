//! Messages between basilbay's processes, and the HTTP interface to callers and targets.
//!
//! Between daemons: [`hop`] accompanies each forwarded request, [`load`] is returned with each
//! response, [`datagram`] carries load, heartbeats and warnings over UDP, and [`control`] carries
//! configuration and roster over HTTP. Towards callers and targets: [`header`] has the fixed
//! header names, [`dialect`] those that a deployment may change, [`notice`] the statements of a
//! target about itself, and [`problem`] the error responses that basilbay generates.
//!
//! All messages are encoded by [`frame`] as `MessagePack` maps with field names, so that a reader
//! ignores unknown fields, and each kind of message has its size limit.

pub mod control;
pub mod datagram;
pub mod dialect;
pub mod frame;
pub mod header;
pub mod hop;
pub mod load;
pub mod notice;
pub mod problem;
