//! Sockets, clock and threads: the only package of the service that touches them.
//!
//! A [`Service`] runs these threads:
//!
//! - one for each sender, with its own reactor (mio) and [`Node`](heronroute_engine::Node) and no shared
//!   state;
//! - a journal writer for each sender;
//! - an acceptor for each client protocol, which assigns each client to its home sender;
//! - one that holds the links to other members, if there are any ([`fleet`]).
//!
//! A [`StandaloneSender`] does all of this for one sender on a single thread, and also handles signals.
//!
//! This crate saves the directory's list to its file. It limits how much is read and written in a turn, so
//! that no connection delays the others. It does not interpret payloads, except for the name in a client's
//! first command.

#![forbid(unsafe_code)]

mod acceptor;
mod clock;
mod closing;
mod first_command;
pub mod fleet;
mod journal_writer;
mod reactor;
mod reservations;
mod service;
mod signals;
mod socket;
mod standalone;
mod start_retry;
mod timeline;

pub use clock::Clock;
pub use reactor::Reload;
pub use service::{Service, StartError};
pub use signals::Signals;
pub use socket::{Progress, read_some, write_some};
pub use standalone::StandaloneSender;
pub use start_retry::{StartRetry, is_temporary};
