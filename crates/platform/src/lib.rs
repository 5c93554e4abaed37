//! The protocols of the users' platform, without I/O. The RESP2 that its clients speak is in `heronroute-resp`.
//!
//! - Reads a sender's configuration and settings, the arguments of `OUT.ADD`, and lists of endpoints.
//! - Writes calls to endpoints, and derives from the answers what happened to each message ([`call`]).
//! - Writes notices of messages that were not delivered.
//!
//! This crate opens no sockets, reads no clock, and takes no decision about a message.

#![forbid(unsafe_code)]

pub mod add;
pub mod call;
pub mod catalog;
pub mod notice;
pub mod objects;
pub mod settings;
pub mod start;
pub mod watch;
