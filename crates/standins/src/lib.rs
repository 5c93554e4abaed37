//! Stand-ins for what lies outside the service: receivers (SMPP and HTTP), the directory, clients.
//!
//! Does: plays them on loopback by the public specifications, with troubles scripted by seed, and records what
//! crossed their sockets for the audit. Models and actors are free of I/O; [`run`] puts them on sockets.
//! Decides: how a receiver behaves under load and trouble ([`model`]).
//! Never: shares anything with the service but sockets.

#![forbid(unsafe_code)]

pub mod actor;
pub mod directory;
pub mod model;
pub mod mqtt;
pub mod mqtt_clients;
pub mod mqtt_request;
pub mod receivers;
pub mod run;
pub mod schedule;
pub mod smpp_clients;

/// Time in microseconds on the one clock of a run.
pub type Micros = i64;
