//! SMPP 3.4 with the 5.0 TLVs, as state machines without I/O.
//!
//! Does: frames and PDUs (packed and unpacked by `rusmpp-core`), the session of the message centre's side
//! ([`server::Session`]) and of the ESME's side ([`client::Session`]), receipts, and SMPP's forms of time.
//! Decides: what the specification has a session answer by itself: wrong states, wrong lengths, unknown
//! commands, windows, timers, enquiries, unbinding.
//! Never: touches a socket, reads a clock, or decides what becomes of a message.

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
