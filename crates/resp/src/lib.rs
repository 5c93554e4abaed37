//! RESP2 as a server reads and writes it, free of I/O.
//!
//! Does: cuts a stream into commands (arrays of bulk strings), in pieces of any size; writes simple strings and
//! error lines. Decides: when a stream can't be read on. Never: touches a socket, reads a clock, or knows a command.
//!
//! Lengths and counts are judged as they are declared, before anything of what they promise is kept: what a client
//! can make the reader hold is [`Limits::octets`] and a line. Libraries (redis-protocol, resp2) were weighed: they
//! parse whole frames from a buffer and leave it to the caller how long that grows for a declared length.

#![forbid(unsafe_code)]

mod read;

pub use read::{Command, Limits, Reader, Unreadable};

use bytes::BytesMut;
use std::fmt::Write;

/// Appends a simple string.
pub fn simple(text: &str, out: &mut BytesMut) {
    _ = write!(out, "+{text}\r\n");
}

/// Appends an error line. What would end the line early is left out.
pub fn error(text: &str, out: &mut BytesMut) {
    let clean: String = text.chars().filter(|c| !c.is_control()).collect();
    _ = write!(out, "-{clean}\r\n");
}
