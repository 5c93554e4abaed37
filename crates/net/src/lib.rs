//! Sockets, clock and threads: the only package of the service that touches them.
//!
//! Does: a thread for each sender with its own reactor (mio) and [`Node`](heronroute_engine::Node), sharing
//! nothing, and one for its journal; a thread at the door that accepts clients and brings each to its home; the kept list's file;
//! or all of a sender on the one thread there is ([`Lone`]), signals included; a thread for the links to other members, where
//! there are any ([`fleet`]).
//! Decides: how much is read and written in a turn, so that no connection holds up the others.
//! Never: looks into what it carries, but for the name in a client's first command.

#![forbid(unsafe_code)]

mod clock;
mod closing;
#[cfg(test)]
mod copies;
mod door;
pub mod fleet;
mod lone;
mod reactor;
mod scribe;
mod service;
mod signals;
mod socket;

pub use clock::Clock;
pub use lone::Lone;
pub use service::{Service, StartError};
pub use signals::Signals;
pub use socket::{Progress, read_some, write_some};
