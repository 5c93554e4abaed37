//! What the users' platform says and hears, beside the RESP2 of its clients. Free of I/O.
//!
//! Does: reads a sender's configuration and the settings in it, the arguments of `OUT.ADD`, lists of endpoints and the
//! watch on them; writes calls to endpoints, single and several in one, and reads their answers; writes notices.
//! Decides: what can't be read, and what an answer on the wire proves ([`call`]). Never: touches a socket, reads a
//! clock, or decides anything about a message.

#![forbid(unsafe_code)]

pub mod add;
pub mod call;
pub mod catalog;
pub mod notice;
pub mod objects;
pub mod settings;
pub mod start;
pub mod watch;
