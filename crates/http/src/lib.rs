//! HTTP/1.1 (RFC 9112) as state machines without I/O, as far as the service needs it.
//!
//! Does: cuts a stream into requests or responses (heads read by `httparse`; bodies by Content-Length, chunked,
//! or up to the end of the connection), and writes requests and responses; pipelining both ways.
//! Decides: what makes a message whole, and when a stream can't be read on.
//! Never: touches a socket, reads a clock, or knows what a request means.

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
