//! Connections to receivers that this side closes, for as long as an answer may lie unread on them.
//! Performs no I/O.

use crate::ids::ConnId;
use crate::link::Link;
use crate::memory::MemoryCount;
use heronroute::{EndpointId, MsgId};
use std::collections::BTreeMap;

/// A connection that is being closed.
#[derive(Debug)]
pub struct ClosingLink {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The protocol's state.
    pub link: Box<dyn Link>,
    /// The messages of which an attempt may be out on the connection.
    pub messages: Vec<MsgId>,
    /// The memory that is counted for the protocol's state.
    pub memory: MemoryCount,
}

/// All connections that are being closed. The owner of the sockets closes a connection before the node settles
/// again, so that each is kept until the second time.
#[derive(Debug, Default)]
pub struct ClosingLinks {
    added: BTreeMap<ConnId, ClosingLink>,
    settled_once: BTreeMap<ConnId, ClosingLink>,
}

impl ClosingLinks {
    /// Adds a connection.
    pub fn add(&mut self, conn: ConnId, closing: ClosingLink) {
        self.added.insert(conn, closing);
    }

    /// Removes and returns a connection.
    pub fn remove(&mut self, conn: ConnId) -> Option<ClosingLink> {
        self.added.remove(&conn).or_else(|| self.settled_once.remove(&conn))
    }

    /// Returns whether a connection is kept.
    pub fn contains(&self, conn: ConnId) -> bool {
        self.added.contains_key(&conn) || self.settled_once.contains_key(&conn)
    }

    /// Forgets the connections that have been closed since.
    pub fn forget_closed(&mut self) {
        self.settled_once = std::mem::take(&mut self.added);
    }
}
