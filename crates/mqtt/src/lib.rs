//! The server side of one MQTT 5.0 or 3.1.1 (OASIS) connection, without I/O.
//!
//! The crate decodes bytes into packets (with `mqtt-protocol-core`) and packets into requests. It keeps the
//! protocol state of a connection: the order and windows of acknowledgements, the four steps of quality of
//! service 2, keep-alive, topic aliases, subscriptions and the will. It encodes answers for the client's
//! protocol version. It decides what a topic requests ([`topics`]), which packets end a connection and with
//! which reason code ([`session`]), and which of a client's subscriptions an answer matches. It never reads a
//! clock, never decides whether a message is accepted, and keeps no state beyond the connection: the caller
//! stores what outlives it (subscriptions, packet identifiers of answers) and passes it back.

#![forbid(unsafe_code)]

pub mod codec;
pub mod peek;
pub mod session;
pub mod topics;

/// Time in microseconds on the caller's clock.
pub type Micros = i64;
