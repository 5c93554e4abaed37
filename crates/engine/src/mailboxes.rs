//! Mailboxes, which collect the answers owed to clients, and sessions that outlive connections. Free of I/O.
//!
//! A client has one mailbox that all its unnamed sessions share, and one for each named session. A mailbox
//! exists while it has owed answers, open messages, a connection, a will or a session; an unused one costs
//! nothing.
//!
//! Guards against abandoned sessions that fill the memory: sessions are kept for the agreed time, and where
//! there are too many, those disconnected longest ago are dropped first. Their answers stay owed either way.

use crate::Micros;
use crate::ids::ConnId;
use crate::outbox::{Outbox, ReplyAddress};
use heronroute_seen::RecentRequests;
use heronroute_smpp::submission::Submission;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};

/// The number of a mailbox.
pub type MailboxId = usize;

/// The state of a named session, kept beyond its connection.
#[derive(Debug)]
pub struct NamedSession {
    /// When the session began. Two sessions with the same name differ in this time.
    pub began: Micros,
    /// How long the session is kept without a connection.
    pub expiry: Micros,
    /// The state that the protocol stores with the session.
    pub notes: Vec<u8>,
    /// Recent messages, which the client may send again.
    pub recent: RecentRequests,
}

/// A message to be submitted for a client that has disconnected.
#[derive(Debug)]
pub struct Will {
    /// When it is submitted.
    pub at: Micros,
    /// The message.
    pub submission: Box<Submission>,
    /// The address for its answer.
    pub reply: ReplyAddress,
}

/// The answers and the session of one client, or of one named session of it.
#[derive(Debug)]
pub struct Mailbox {
    /// The client that it belongs to.
    pub client: usize,
    /// The name of the session; empty for the mailbox that all unnamed sessions share.
    pub name: String,
    /// The answers owed.
    pub outbox: Outbox,
    /// The number of open messages whose answer goes here.
    pub open: usize,
    /// The connection of a named session.
    pub conn: Option<ConnId>,
    /// The named session, if there is one.
    pub kept: Option<NamedSession>,
    /// When the session expires, while it has no connection.
    pub expires_at: Micros,
    /// The will of the disconnected client.
    pub will: Option<Will>,
}

/// All mailboxes.
#[derive(Debug, Default)]
pub struct Mailboxes {
    boxes: Slab<Mailbox>,
    /// The numbers of mailboxes by client and session name.
    by_name: BTreeMap<(usize, String), MailboxId>,
    /// Sessions without a connection, the one disconnected longest ago first.
    detached: BTreeSet<(Micros, MailboxId)>,
    /// The number of named sessions, with and without connections.
    sessions: usize,
}

impl Mailboxes {
    /// Returns a mailbox.
    pub fn get(&self, id: MailboxId) -> Option<&Mailbox> {
        self.boxes.get(id)
    }

    /// Returns a mailbox to change. Sessions are started and ended with the methods below.
    pub fn get_mut(&mut self, id: MailboxId) -> Option<&mut Mailbox> {
        self.boxes.get_mut(id)
    }

    /// Returns the mailbox with a name.
    pub fn find(&self, client: usize, name: &str) -> Option<MailboxId> {
        self.by_name.get(&(client, name.to_string())).copied()
    }

    /// Returns the mailbox with a name, created if there is none.
    pub fn open(&mut self, client: usize, name: &str) -> MailboxId {
        let key = (client, name.to_string());
        if let Some(id) = self.by_name.get(&key) {
            return *id;
        }
        let id = self.boxes.insert(Mailbox {
            client,
            name: name.to_string(),
            outbox: Outbox::default(),
            open: 0,
            conn: None,
            kept: None,
            expires_at: Micros::MAX,
            will: None,
        });
        self.by_name.insert(key, id);
        id
    }

    /// Returns all mailboxes.
    pub fn all(&self) -> impl Iterator<Item = (MailboxId, &Mailbox)> {
        self.boxes.iter()
    }

    /// Returns the number of named sessions, with and without connections.
    pub fn sessions(&self) -> usize {
        self.sessions
    }

    /// Returns the session that was disconnected longest ago.
    pub fn oldest_detached(&self) -> Option<MailboxId> {
        self.detached.first().map(|(_, id)| *id)
    }

    /// Attaches a connection to a session: to the existing one, or to `fresh`, which replaces it. Returns
    /// whether an existing session is resumed.
    pub fn attach(&mut self, id: MailboxId, conn: ConnId, fresh: Option<NamedSession>) -> bool {
        let Some(m) = self.boxes.get_mut(id) else { return false };
        self.detached.remove(&(m.expires_at, id));
        (m.conn, m.expires_at) = (Some(conn), Micros::MAX);
        match fresh {
            Some(kept) => {
                self.sessions += usize::from(m.kept.is_none());
                m.kept = Some(kept);
                m.outbox.clear_packet_numbers();
                false
            }
            None => m.kept.is_some(),
        }
    }

    /// Detaches the connection of a session, which is kept until `expires_at`.
    pub fn detach(&mut self, id: MailboxId, expires_at: Micros) {
        let Some(m) = self.boxes.get_mut(id) else { return };
        (m.conn, m.expires_at) = (None, expires_at);
        if m.kept.is_some() {
            self.detached.insert((expires_at, id));
        }
    }

    /// Restores a session after a restart.
    pub fn restore(&mut self, id: MailboxId, kept: NamedSession, expires_at: Micros) {
        let Some(m) = self.boxes.get_mut(id) else { return };
        self.sessions += usize::from(m.kept.is_none());
        m.kept = Some(kept);
        self.detach(id, expires_at);
    }

    /// Ends a session.
    pub fn end_session(&mut self, id: MailboxId) {
        let Some(m) = self.boxes.get_mut(id) else { return };
        self.detached.remove(&(m.expires_at, id));
        m.expires_at = Micros::MAX;
        if m.kept.take().is_some() {
            self.sessions -= 1;
            m.outbox.clear_packet_numbers();
        }
    }

    /// Removes a named mailbox that nothing uses. Returns whether it was removed.
    pub fn remove_if_unused(&mut self, id: MailboxId) -> bool {
        let Some(m) = self.boxes.get(id) else { return false };
        let needed = m.name.is_empty()
            || m.open > 0
            || m.outbox.owed() > 0
            || m.conn.is_some()
            || m.kept.is_some()
            || m.will.is_some();
        if needed {
            return false;
        }
        let m = self.boxes.remove(id);
        self.by_name.remove(&(m.client, m.name));
        true
    }
}

#[cfg(test)]
mod tests;
