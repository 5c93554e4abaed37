//! Membership of an installation, and the replicated log that its members agree on.
//!
//! - [`link`] authenticates connections between members and carries messages on them; [`frames`] encodes the
//!   messages under the installation's [`key`], and [`queue`] holds a bounded number of them for each peer.
//! - [`members`] tracks which members are alive, suspected or dead, and which have been replaced.
//! - [`replicas`] replicates an ordered log of decisions: a majority of the replicas decides, and every
//!   member learns the result. [`lease`] limits how long its leader may act.
//! - [`start`] keeps the start number, which tells the successive processes of a member apart, on disk.
//!
//! The crate uses no socket, thread, clock or random source of the machine: the caller passes in time,
//! received bytes and seeds, and carries out the outputs. It doesn't interpret log entries and decides
//! nothing about messages.

#![forbid(unsafe_code)]

pub mod entry;
pub mod frames;
pub mod key;
pub mod kind;
pub mod lease;
pub mod link;
pub mod members;
pub mod name;
pub mod queue;
pub mod replicas;
pub mod start;

pub use entry::{Decided, Entry, Request, Term};
pub use kind::Kind;
pub use name::{Life, Name, NameError, Peer, Standing, Start};

/// Time in microseconds: on the caller's clock or, where a field is called `wall`, the time of day (since
/// 1970 UTC).
pub type Micros = i64;
