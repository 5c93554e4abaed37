//! What a node starts from, and what it asks of whoever holds its sockets.

use crate::Micros;
use crate::ids::ConnId;
use heronroute_journal::{Book, Entry};
use heronroute_rules::seam::{ClientRequest, Live};
use std::net::SocketAddr;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// The peer closed its side.
    Ended,
    /// It broke, or could not be made.
    Broken,
}

/// What a node asks of whoever holds the sockets, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect; then say [`Node::connected`] or [`Node::closed`].
    Connect {
        /// The number for it.
        conn: ConnId,
        /// Where to.
        address: SocketAddr,
    },
    /// There is something to write; see [`Node::pending`].
    Write(ConnId),
    /// Close once all that is pending was written. The node has forgotten the connection's meaning.
    Finish(ConnId),
    /// Close at once.
    Drop(ConnId),
    /// Keep this text for the next start.
    Keep(String),
    /// Write these in the journal, then say [`Node::durable`].
    Journal(Vec<Entry>),
    /// The answer to [`Node::copying`]: from here on all that is accepted counts as the partner's too.
    Copying,
    /// This life's work, as far as it has its home here, is written down whole; see [`Node::inherit`].
    Inherited(String),
    /// What is applied for a client, from now on or still; on nodes of a fleet only.
    Live(Live),
    /// A client asks about its rules or about the fleet; to be answered with [`Node::told`]. On nodes of a fleet only.
    ClientRequest(ClientRequest),
}

/// What a node starts from.
#[derive(Clone, Debug)]
pub struct Start {
    /// Which of the process's senders it is.
    pub index: usize,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The clock, in microseconds; it never goes back.
    pub now: Micros,
    /// Microseconds since 1970 UTC at that moment.
    pub wall: Micros,
    /// Version of the endpoints in the settings, where they have one.
    pub list: u64,
    /// The list kept from before.
    pub kept: Option<String>,
    /// The journal's book, where there is a journal.
    pub book: Option<Book>,
    /// It is one of a fleet: clients have rules of their own, and may ask about them.
    pub fleet: bool,
}
