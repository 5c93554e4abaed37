//! What a node starts from, and the operations that it requests from the owner of its sockets.

use crate::Micros;
use crate::ids::ConnId;
use heronroute_journal::{Entry, JournalState, Usage};
use heronroute_rules::seam::{ClientRequest, Live};
use std::net::SocketAddr;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed its side of the connection.
    Ended,
    /// The connection failed, or could not be established.
    Broken,
}

/// An operation that a node requests from the owner of its sockets. Operations are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to an address, then call `Node::connected` or `Node::closed`.
    Connect {
        /// The number of the connection.
        conn: ConnId,
        /// The address to connect to.
        address: SocketAddr,
    },
    /// The connection has bytes to write; see `Node::pending`.
    Write(ConnId),
    /// Close the connection once all pending bytes are written. The node has dropped its state for it.
    Finish(ConnId),
    /// Close the connection at once.
    Drop(ConnId),
    /// Save this directory list for the next start.
    SaveList(String),
    /// Write these entries to the journal, then call `Node::durable`.
    Journal(Vec<Entry>),
    /// The answer to `Node::copying`: everything accepted from now on counts as the partner's too.
    Copying,
    /// The work of this life of the process, as far as its home is here, is written to the journal as a
    /// whole; see `Node::inherit`.
    Inherited(String),
    /// What is applied for a client from now on, or still is. Only on nodes of a fleet.
    Live(Live),
    /// A client's request about its rules or about the fleet, to be answered with `Node::told`. Only on
    /// nodes of a fleet.
    ClientRequest(ClientRequest),
}

/// The values that a node starts from.
#[derive(Clone, Debug)]
pub struct Start {
    /// The index of this sender within the process.
    pub index: usize,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The monotonic clock, in microseconds.
    pub now: Micros,
    /// Microseconds since 1970 UTC at that moment.
    pub wall: Micros,
    /// The version of the endpoints in the settings, if they have one.
    pub list: u64,
    /// The directory list saved by the previous run.
    pub kept: Option<String>,
    /// The state recovered from the journal, if there is a journal.
    pub state: Option<JournalState>,
    /// What the journal's files take; nothing if there is no journal.
    pub journal_usage: Usage,
    /// Whether the node belongs to a fleet. Clients then have rules of their own, and may ask about them.
    pub fleet: bool,
}
