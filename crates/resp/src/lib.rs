//! The server side of RESP2, without I/O.
//!
//! - Splits a stream into commands (arrays of bulk strings), which may arrive in pieces of any size.
//! - Writes simple strings and error lines.
//!
//! This crate opens no sockets, reads no clock, and does not interpret commands.
//!
//! Lengths and counts are checked when they are declared, before any of the declared data is accepted, so
//! that [`Limits`] bounds the size of a command. Libraries (redis-protocol, resp2) were considered: they
//! parse complete frames from a buffer, and leave it to the caller to bound that buffer.

#![forbid(unsafe_code)]

mod read;

pub use read::{Command, Limits, ParseError, Reader, Request};

use bytes::BytesMut;
use std::fmt::Write;

/// Appends a simple string.
pub fn write_simple_string(text: &str, out: &mut BytesMut) {
    _ = write!(out, "+{text}\r\n");
}

/// Appends an error line. Control characters, which could end the line early, are removed.
pub fn write_error(text: &str, out: &mut BytesMut) {
    let clean: String = text.chars().filter(|c| !c.is_control()).collect();
    _ = write!(out, "-{clean}\r\n");
}
