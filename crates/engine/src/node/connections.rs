//! Connections as byte streams: what is written and read, and how they are closed.

use super::Node;
use super::api::Output;
use super::state::{Conn, ConnRole, TimerKey};
use crate::ids::ConnId;
use crate::read_budget;
use crate::stream::Stream;

/// The most bytes that may wait for a client that does not read; beyond that nothing more is read from it.
const CLIENT_BACKLOG: usize = 256 * 1024;

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
            self.conns.remove(&conn);
            return true;
        }
        false
    }

    /// Adds a connection with a role, and returns its number.
    pub(crate) fn add_conn(&mut self, role: ConnRole) -> ConnId {
        self.next_conn += 1;
        self.conns.insert(self.next_conn, Conn { stream: Stream::default(), role, write_requested: false });
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
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.role = ConnRole::Finishing;
        self.timers.clear(TimerKey::Conn(conn));
        self.timers.clear(TimerKey::Idle(conn));
        self.timers.clear(TimerKey::Connect(conn));
        if c.stream.out.is_empty() {
            self.conns.remove(&conn);
            self.outputs.push(Output::Drop(conn));
        } else {
            self.outputs.push(Output::Finish(conn));
        }
    }

    /// Closes a connection at once.
    pub(crate) fn drop_conn(&mut self, conn: ConnId) {
        if self.conns.remove(&conn).is_some() {
            for key in [TimerKey::Conn(conn), TimerKey::Idle(conn), TimerKey::Connect(conn)] {
                self.timers.clear(key);
            }
            self.outputs.push(Output::Drop(conn));
        }
    }
}
