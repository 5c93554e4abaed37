//! The protocols of the users' platform, without I/O. The RESP2 that its clients speak is in
//! `heronroute-resp`.
//!
//! - Parses a sender's configuration ([`start`]) and settings ([`settings`]), the arguments of `OUT.ADD`
//!   ([`add`]), and lists of endpoints ([`catalog`], [`watch`]).
//! - Writes calls to endpoints, and derives the outcome of each message from the answers ([`call`]).
//! - Writes notices of messages that were not delivered ([`notice`]).
//!
//! This crate opens no sockets, reads no clock, and makes no decision about a message.

#![forbid(unsafe_code)]

pub mod add;
pub mod call;
pub mod catalog;
pub mod notice;
pub mod objects;
pub mod settings;
pub mod start;
pub mod watch;
