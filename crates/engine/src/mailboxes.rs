//! Whose answers go where, and sessions that outlive connections. Free of I/O.
//!
//! A client has one mailbox that all its sessions share, and one for each session with a name of its own. A mailbox
//! is there while something is owed to it, open for it, connected to it or kept in it; it costs nothing else.
//!
//! Guards against sessions that are never taken up again filling the memory: they are kept for as long as was agreed,
//! and where there are too many, those that were left longest ago go first. Answers stay owed either way.

use crate::Micros;
use crate::ids::ConnId;
use crate::outbox::{Outbox, Reply};
use heronroute_seen::Recent;
use heronroute_smpp::submission::Submission;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};

/// A mailbox, by number.
pub type BoxId = usize;

/// What a session keeps beyond its connection.
#[derive(Debug)]
pub struct Kept {
    /// When it began: another time is another session.
    pub began: Micros,
    /// How long it is kept without a connection.
    pub expiry: Micros,
    /// What its protocol keeps with it.
    pub notes: Vec<u8>,
    /// What its client may send again.
    pub recent: Recent,
}

/// A message to be submitted for a client that is gone.
#[derive(Debug)]
pub struct Will {
    /// When.
    pub at: Micros,
    /// The message.
    pub submission: Box<Submission>,
    /// Where its answer goes.
    pub reply: Reply,
}

/// One mailbox.
#[derive(Debug)]
pub struct Mailbox {
    /// Whose.
    pub client: usize,
    /// The session's name; empty for the one that all sessions share.
    pub name: String,
    /// Answers owed.
    pub outbox: Outbox,
    /// Messages without an answer that will be owed here.
    pub open: usize,
    /// The connection there, for one with a name.
    pub conn: Option<ConnId>,
    /// The session.
    pub kept: Option<Kept>,
    /// When the session ends, where no connection is there.
    pub ends: Micros,
    /// The will of a client that is gone.
    pub will: Option<Will>,
}

/// All mailboxes.
#[derive(Debug, Default)]
pub struct Mailboxes {
    boxes: Slab<Mailbox>,
    by_name: BTreeMap<(usize, String), BoxId>,
    /// Sessions without a connection, the one left longest ago first.
    left: BTreeSet<(Micros, BoxId)>,
    /// Sessions, with and without connections.
    sessions: usize,
}

impl Mailboxes {
    /// A mailbox.
    pub fn get(&self, id: BoxId) -> Option<&Mailbox> {
        self.boxes.get(id)
    }

    /// A mailbox, to change. Sessions are begun and ended with the calls below.
    pub fn get_mut(&mut self, id: BoxId) -> Option<&mut Mailbox> {
        self.boxes.get_mut(id)
    }

    /// The mailbox of a name.
    pub fn find(&self, client: usize, name: &str) -> Option<BoxId> {
        self.by_name.get(&(client, name.to_string())).copied()
    }

    /// The mailbox of a name, made where there is none.
    pub fn open(&mut self, client: usize, name: &str) -> BoxId {
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
            ends: Micros::MAX,
            will: None,
        });
        self.by_name.insert(key, id);
        id
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = (BoxId, &Mailbox)> {
        self.boxes.iter()
    }

    /// Sessions, with and without connections.
    pub fn sessions(&self) -> usize {
        self.sessions
    }

    /// The session that was left longest ago.
    pub fn stalest(&self) -> Option<BoxId> {
        self.left.first().map(|(_, id)| *id)
    }

    /// A connection takes a session up, or begins one. Gives whether an earlier one goes on.
    pub fn attach(&mut self, id: BoxId, conn: ConnId, fresh: Option<Kept>) -> bool {
        let Some(m) = self.boxes.get_mut(id) else { return false };
        self.left.remove(&(m.ends, id));
        (m.conn, m.ends) = (Some(conn), Micros::MAX);
        match fresh {
            Some(kept) => {
                self.sessions += usize::from(m.kept.is_none());
                m.kept = Some(kept);
                m.outbox.forget_numbers();
                false
            }
            None => m.kept.is_some(),
        }
    }

    /// A connection is gone: its session is kept until a time.
    pub fn detach(&mut self, id: BoxId, ends: Micros) {
        let Some(m) = self.boxes.get_mut(id) else { return };
        (m.conn, m.ends) = (None, ends);
        if m.kept.is_some() {
            self.left.insert((ends, id));
        }
    }

    /// Puts a session back that was kept over a restart.
    pub fn restore(&mut self, id: BoxId, kept: Kept, ends: Micros) {
        let Some(m) = self.boxes.get_mut(id) else { return };
        self.sessions += usize::from(m.kept.is_none());
        m.kept = Some(kept);
        self.detach(id, ends);
    }

    /// A session is over.
    pub fn end(&mut self, id: BoxId) {
        let Some(m) = self.boxes.get_mut(id) else { return };
        self.left.remove(&(m.ends, id));
        m.ends = Micros::MAX;
        if m.kept.take().is_some() {
            self.sessions -= 1;
            m.outbox.forget_numbers();
        }
    }

    /// Forgets a mailbox with a name that nothing needs.
    pub fn tidy(&mut self, id: BoxId) -> bool {
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
