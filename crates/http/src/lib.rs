//! The part of HTTP/1.1 (RFC 9112) that the service needs, as state machines without I/O.
//!
//! - Splits a stream into requests or responses, which may be pipelined. `httparse` parses the heads. The end
//!   of a body is determined by Content-Length, by the chunked coding, or by the end of the connection.
//! - Writes requests and responses.
//!
//! This crate opens no sockets, reads no clock, and does not interpret requests.

#![forbid(unsafe_code)]

mod batch;
mod read;
mod write;

pub use batch::{BATCH_TYPE, Batch, Item};
pub use prost;
pub use read::{Message, ParseError, Reader, Side, Start};
pub use write::{write_request, write_response};

/// The maximum size of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
