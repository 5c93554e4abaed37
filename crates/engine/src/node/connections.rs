//! Connections as byte streams: what is written and read, and how they are closed.

use super::Node;
use super::api::Output;
use super::state::{Conn, ConnRole, TimerKey};
use crate::Micros;
use crate::front::Speaks;
use crate::ids::ConnId;
use crate::memory::{MemoryCount, MemoryUse};
use crate::read_budget;
use crate::stream::Stream;

/// The most bytes that may wait for a client that does not read; beyond that nothing more is read from it.
const CLIENT_BACKLOG: usize = 256 * 1024;
/// What a connection takes beside its buffers, in bytes: its records here and at the owner of the sockets.
const CONNECTION_BYTES: usize = 1_024;
/// The size up to which an endpoint's answer is read whatever memory is left, in bytes.
const SMALL_ANSWER_BYTES: usize = 4 * 1024;

impl Node {
    /// Returns the bytes to be written on a connection.
    pub fn pending(&self, conn: ConnId) -> &[u8] {
        self.conns.get(&conn).map_or(&[], |c| &c.stream.out)
    }

    /// Returns whether more may be read from a connection now. Bounds what waits for a client that does not
    /// read.
    pub fn wants_read(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| match c.role {
            ConnRole::Client { ref front, .. } => c.stream.out.len() < CLIENT_BACKLOG && front.listens(),
            // Whatever arrives now would be read and never answered.
            ConnRole::Finishing => false,
            _ => true,
        })
    }

    /// Returns whether a connection has to be read before it is written: what has arrived by now can't answer
    /// anything that is still to be sent on it.
    pub fn reads_first(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| match &c.role {
            ConnRole::Receiver { link, .. } => link.is_request_unsent(&c.stream),
            _ => false,
        })
    }

    /// Returns how many bytes may be read from a connection in one turn.
    pub fn read_quota(&self, conn: ConnId) -> usize {
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Client { owner: Some((client, _)), .. }) => {
                self.read_budgets.bytes_per_turn(*client)
            }
            Some(ConnRole::Client { front, .. }) => front.read_quota().min(read_budget::MAX_READ),
            _ => read_budget::MAX_READ,
        }
    }

    /// Records that `n` bytes of a connection were written. Returns true if the connection was closing and
    /// everything is written.
    pub fn wrote(&mut self, conn: ConnId, n: usize) -> bool {
        let Some(c) = self.conns.get_mut(&conn) else { return true };
        c.stream.wrote(n);
        c.write_requested = !c.stream.out.is_empty();
        if !c.write_requested && matches!(c.role, ConnRole::Finishing) {
            self.remove_conn(conn);
            return true;
        }
        if let ConnRole::Client { front, .. } = &mut c.role
            && front.output_written(self.now, c.stream.out.len())
        {
            let wake = front.wake();
            self.timers.set(TimerKey::Conn(conn), wake);
        }
        self.count_memory(conn);
        false
    }

    /// Returns whether unread bytes of a connection are discarded once its peer has closed its side: those of a
    /// platform client, which waits for no answer then.
    pub fn discards_unread(&self, conn: ConnId) -> bool {
        self.speaks(conn) == Some(Speaks::Resp)
    }

    /// Returns whether messages were submitted that were not decided yet.
    pub fn has_submissions(&self) -> bool {
        !self.submitted.is_empty()
    }

    /// Tells the front of a client's connection since when bytes of the client have been unread all the time.
    pub fn unread_since(&mut self, conn: ConnId, since: Option<Micros>) {
        if let Some((front, _)) = self.front(conn) {
            front.set_unread_since(since);
        }
    }

    /// Returns how many bytes of memory are counted in all for what peers make this sender hold.
    pub fn memory_used(&self) -> usize {
        self.memory.used()
    }

    /// Counts the memory that a connection holds.
    pub(crate) fn count_memory(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let held = c.held_bytes();
        if held != c.memory.bytes() {
            c.memory.set(held);
        }
    }

    /// Returns whether a connection to an endpoint holds more than there is memory for. It is closed then: an answer
    /// that can't be held is none.
    pub(crate) fn exceeds_memory(&self, conn: ConnId) -> bool {
        let held = self.conns.get(&conn).map_or(0, |c| c.memory.bytes());
        held > CONNECTION_BYTES + SMALL_ANSWER_BYTES && self.memory.room(MemoryUse::Endpoints) == 0
    }

    /// Removes a connection's state, and returns whether there was any.
    fn remove_conn(&mut self, conn: ConnId) -> bool {
        self.conns.remove(&conn).is_some()
    }

    /// Changes the role of a connection. Returns the role before, with the memory that is counted for it.
    pub(crate) fn change_role(&mut self, conn: ConnId, role: ConnRole) -> Option<(ConnRole, MemoryCount)> {
        let c = self.conns.get_mut(&conn)?;
        let memory = std::mem::replace(&mut c.memory, self.memory.count(role.memory_use(), 0));
        let before = std::mem::replace(&mut c.role, role);
        self.count_memory(conn);
        Some((before, memory))
    }

    /// Adds a connection with a role, and returns its number.
    pub(crate) fn add_conn(&mut self, role: ConnRole) -> ConnId {
        self.next_conn += 1;
        let memory = self.memory.count(role.memory_use(), 0);
        let conn = Conn { stream: Stream::default(), role, write_requested: false, memory };
        self.conns.insert(self.next_conn, conn);
        self.count_memory(self.next_conn);
        self.next_conn
    }

    /// Requests once that a connection's pending bytes be written.
    pub(crate) fn flush(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn)
            && !c.write_requested
            && !c.stream.out.is_empty()
        {
            c.write_requested = true;
            self.outputs.push(Output::Write(conn));
        }
    }

    /// Closes a connection once all is written. Its role is dropped at once.
    pub(crate) fn finish(&mut self, conn: ConnId) {
        if self.change_role(conn, ConnRole::Finishing).is_none() {
            return;
        }
        let Some(c) = self.conns.get_mut(&conn) else { return };
        self.timers.clear(TimerKey::Conn(conn));
        self.timers.clear(TimerKey::Idle(conn));
        self.timers.clear(TimerKey::Connect(conn));
        if c.stream.out.is_empty() {
            self.remove_conn(conn);
            self.outputs.push(Output::Drop(conn));
        } else {
            self.outputs.push(Output::Finish(conn));
        }
    }

    /// Closes a connection at once.
    pub(crate) fn drop_conn(&mut self, conn: ConnId) {
        if self.remove_conn(conn) {
            for key in [TimerKey::Conn(conn), TimerKey::Idle(conn), TimerKey::Connect(conn)] {
                self.timers.clear(key);
            }
            self.outputs.push(Output::Drop(conn));
        }
    }
}

impl ConnRole {
    /// Returns the use that the memory of a connection with this role is counted as.
    fn memory_use(&self) -> MemoryUse {
        match self {
            ConnRole::Receiver { .. } | ConnRole::Directory | ConnRole::Notices => MemoryUse::Endpoints,
            ConnRole::Client { .. } | ConnRole::Finishing => MemoryUse::Clients,
        }
    }
}

impl Conn {
    /// Returns how many bytes the connection holds. What is written to endpoints counts with its messages.
    fn held_bytes(&self) -> usize {
        CONNECTION_BYTES
            + match &self.role {
                ConnRole::Client { front, .. } => front.held_bytes() + self.stream.out.capacity(),
                ConnRole::Receiver { link, .. } => link.held_bytes(),
                ConnRole::Finishing => self.stream.out.capacity(),
                ConnRole::Directory | ConnRole::Notices => 0,
            }
    }
}
