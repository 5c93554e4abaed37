//! The part of HTTP/1.1 (RFC 9112) that the service needs, as state machines without I/O.
//!
//! - Splits a stream into requests or responses, also pipelined ones. `httparse` parses the heads. Bodies end by
//!   Content-Length, by the chunked coding, or with the connection.
//! - Writes requests and responses.
//!
//! This crate opens no sockets, reads no clock, and does not interpret requests.

#![forbid(unsafe_code)]

mod batch;
mod read;
mod write;

pub use batch::{BATCH_TYPE, Batch, Item};
pub use prost;
pub use read::{Message, Reader, Side, Start, Unreadable};
pub use write::{write_request, write_response};

/// Octets of a head at most.
pub const MOST_HEAD: usize = 16 * 1024;
