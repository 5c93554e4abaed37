//! The core of one sender: a [`Node`] is a sender without its sockets.
//!
//! A node takes connections, bytes and a clock. It speaks SMPP and MQTT with clients and SMPP or HTTP with
//! receivers, reports every event to the decision library and executes the library's actions, and hands the
//! final answer of each accepted message to its client. It holds messages, calls, connections, receipts not
//! yet acknowledged and the directory's endpoint list.
//!
//! Each decision of the node has a module of its own:
//!
//! - [`limits`]: which submissions are accepted at all
//! - [`routes`]: which destination an address belongs to
//! - [`pool`]: which connection carries a call
//! - [`calls`]: the outcome of a call without an answer
//! - [`attempts`]: whether a further attempt of a message may start
//! - [`answers`]: which answer a client receives
//! - [`outbox`]: the order in which answers are sent
//! - [`mailboxes`]: which client answers belong to, and which sessions outlive their connections
//! - [`read_budget`]: how much is read from each connection in a turn
//! - [`resume`]: what happens to a message after a restart
//! - [`takeover`]: what is known of a message taken over from a dead member
//! - `identities`: whose an id is that a platform client gave a message
//! - `memory`: the budget for what peers make a sender hold
//! - [`ledger`]: what waits for the journal, and for how long while the node ran (`uptime`)
//! - `rule_tables`, `client_rules`: how a client's own rules change all this, on a node of a fleet
//! - `region`: what continues while a partner in another region may finish it
//!
//! A node never touches a socket or a file and never reads the machine's clock or random source. It does not
//! decide what the decision library decides: which message goes where and when, how long to wait, and when to
//! give up.

#![forbid(unsafe_code)]

mod acceptance;
mod admission;
mod answer_variety;
pub mod answers;
pub mod attempts;
pub mod calls;
mod client_rules;
mod closing_links;
mod delivery;
pub mod directory;
mod entry_codec;
pub mod front;
mod held;
mod identities;
pub mod takeover;
pub use heronroute_rules::home;
mod failover;
mod ids;
pub mod ledger;
pub mod limits;
pub mod link;
pub mod mailboxes;
mod memory;
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
mod rule_tables;
mod sessions;
pub mod stats;
mod stream;
mod submitted;
pub mod timers;
mod unconfirmed;
mod uptime;

pub use ids::ConnId;
pub use node::{CloseReason, Node, Output, Start};
pub use restart::Restarted;
pub use stats::Stats;
pub use stream::Stream;

/// Time in microseconds on the caller's clock.
pub type Micros = i64;
