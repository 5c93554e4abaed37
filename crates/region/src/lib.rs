//! Regions of an installation: what its members have to agree on so that either region can carry the work
//! alone and nothing takes effect twice.
//!
//! This crate keeps the approved list of members by region ([`list`]); assigns a home to each client or
//! message name and a partner to each member for its copy ([`homes`]); grants members leases to send
//! ([`rights`]); decides who finishes what a dead member had accepted ([`agreed`]); divides periodic work
//! ([`duties`]); and reserves message names at their homes ([`reservations`]).
//!
//! It decides until when a member may begin attempts, when the work of a dead member may go to its partner,
//! and which of two submissions under one name is the message.
//!
//! It never uses a socket, a file, a thread, a clock or a random source of the machine. It does not decide
//! which endpoint a message goes to, how long it waits or whether it is retried, which remains with the
//! library, and does not share what senders believe of destinations.

#![forbid(unsafe_code)]

pub mod agreed;
pub mod duties;
pub mod homes;
pub mod list;
pub mod reservations;
pub mod rights;
pub mod seam;

pub use list::{List, Place, Region};

/// Time in microseconds: on the caller's clock, or since 1970 UTC where a field says `wall` or time of day.
pub type Micros = i64;
