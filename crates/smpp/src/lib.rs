//! SMPP 3.4 with the 5.0 TLVs, as state machines without I/O.
//!
//! The crate handles frames and PDUs (encoded and decoded by `rusmpp-core`), the session of the message
//! centre side ([`server::Session`]) and of the ESME side ([`client::Session`]), receipts, and the time
//! formats of SMPP. It decides what the specification has a session answer by itself: wrong states, wrong
//! lengths, unknown commands, windows, timers, enquiries and unbinding. It never touches a socket, reads a
//! clock, or decides what happens to a message.

#![forbid(unsafe_code)]

pub mod client;
pub mod codec;
pub mod receipt;
pub mod server;
pub mod submission;
pub mod tags;
pub mod time;

/// Time in microseconds on the caller's clock.
pub type Micros = i64;
