//! MQTT 5.0 and 3.1.1 (OASIS), the server's side of one connection, free of I/O.
//!
//! Does: turns octets into packets (with `mqtt-protocol-core`) and packets into requests; keeps what the protocol
//! asks of a connection: order and windows of acknowledgements, the four steps of quality of service 2, keep-alive,
//! topic aliases, subscriptions, the will; writes answers in the packets of the client's version.
//! Decides: what a topic asks for ([`topics`]), which packets end a connection and with which reason code
//! ([`session`]), which of a client's subscriptions an answer fits.
//! Never: reads a clock, decides whether a message is taken on, or keeps anything beyond the connection: what
//! outlives it (subscriptions, numbers of answers) is handed out and taken back.

#![forbid(unsafe_code)]

pub mod codec;
pub mod peek;
pub mod session;
pub mod topics;

/// Time in microseconds on the caller's clock.
pub type Micros = i64;
