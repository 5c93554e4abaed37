//! The sender's core: one [`Node`] is one sender, with everything but the sockets.
//!
//! Does: takes connections, octets and a clock; speaks SMPP and MQTT with clients and SMPP or HTTP with receivers;
//! tells the decision library all that happened and carries out its actions; hands each accepted message's final answer
//! to its client. Holds messages, calls, connections, receipts owed, the directory's list.
//! Decides (each in a module of its own): which submissions are accepted at all ([`limits`]), which destination an
//! address belongs to ([`routes`]), on which connection a call goes ([`pool`]), the outcome of a call without an answer
//! ([`calls`]), which answer a client is told ([`answers`]), in which order answers go out ([`outbox`]), whose
//! they are and which sessions outlive connections ([`mailboxes`]), how much is read from whom in a turn
//! ([`read_budget`]), what becomes of a message after a restart ([`resume`]), what waits for the journal ([`ledger`])
//! and for how long while the node ran (`uptime`), what a client's own rules change of all this, on a node of a fleet
//! (`keeping`, `applying`), what goes on while a partner in another region may end it (`region`).
//! Never: touches a socket or a file, reads a clock or a random source of the machine, or decides what
//! the decision library decides: which message goes where and when, how long to wait, when to give up.

#![forbid(unsafe_code)]

mod acceptance;
pub mod answers;
mod applying;
pub mod calls;
mod delivery;
mod desk;
pub mod directory;
mod entry_codec;
pub mod front;
pub mod heir;
mod hold;
pub use heronroute_rules::home;
mod ids;
mod keeping;
pub mod ledger;
pub mod limits;
pub mod link;
pub mod mailboxes;
mod node;
mod notices;
pub mod outbox;
pub mod platform;
pub mod pool;
pub mod read_budget;
mod region;
mod restart;
pub mod resume;
pub mod routes;
mod sessions;
mod standing;
pub mod stats;
mod stream;
pub mod timers;
mod unconfirmed;
mod uptime;

pub use ids::ConnId;
pub use node::{Gone, Node, Output, Start};
pub use restart::Restarted;
pub use stats::Stats;
pub use stream::Stream;

/// Time in microseconds on the caller's clock.
pub type Micros = i64;
