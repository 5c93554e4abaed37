//! Connections as streams of octets: what is to be written and read, and how they are closed.

use super::Node;
use super::api::Output;
use super::state::{Conn, Key, Use};
use crate::ids::ConnId;
use crate::read_budget;
use crate::stream::Stream;

/// Octets that may wait for a client that does not read; beyond that nothing more is read from it.
const CLIENT_BACKLOG: usize = 256 * 1024;

impl Node {
    /// What is to be written on a connection.
    pub fn pending(&self, conn: ConnId) -> &[u8] {
        self.conns.get(&conn).map_or(&[], |c| &c.stream.out)
    }

    /// Whether more may be read from a connection now. Bounds what waits for a client that does not read.
    pub fn wants_read(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| match c.what {
            Use::Client { ref front, .. } => c.stream.out.len() < CLIENT_BACKLOG && front.listens(),
            // What comes now would be read and never answered.
            Use::Finishing => false,
            _ => true,
        })
    }

    /// Whether a connection is to be read before it is written: what has come by now answers nothing that is still to
    /// leave on it.
    pub fn reads_first(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| match &c.what {
            Use::Receiver { link, .. } => link.is_request_unsent(&c.stream),
            _ => false,
        })
    }

    /// Octets to be read from a connection in one turn.
    pub fn turn(&self, conn: ConnId) -> usize {
        match self.conns.get(&conn).map(|c| &c.what) {
            Some(Use::Client { place: Some((client, _)), .. }) => self.read_budgets.bytes_per_turn(*client),
            _ => read_budget::MAX_READ,
        }
    }

    /// The system took octets of a connection. True where it was being finished and all is written.
    pub fn wrote(&mut self, conn: ConnId, n: usize) -> bool {
        let Some(c) = self.conns.get_mut(&conn) else { return true };
        c.stream.wrote(n);
        c.told = !c.stream.out.is_empty();
        if !c.told && matches!(c.what, Use::Finishing) {
            self.conns.remove(&conn);
            return true;
        }
        false
    }

    pub(crate) fn add_conn(&mut self, what: Use) -> ConnId {
        self.next_conn += 1;
        self.conns.insert(self.next_conn, Conn { stream: Stream::default(), what, told: false });
        self.next_conn
    }

    /// Tells that a connection has something to write, once.
    pub(crate) fn flush(&mut self, conn: ConnId) {
        if let Some(c) = self.conns.get_mut(&conn)
            && !c.told
            && !c.stream.out.is_empty()
        {
            c.told = true;
            self.outputs.push(Output::Write(conn));
        }
    }

    /// Closes a connection once all is written. Its meaning is gone at once.
    pub(crate) fn finish(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.what = Use::Finishing;
        self.timers.clear(Key::Conn(conn));
        self.timers.clear(Key::Idle(conn));
        self.timers.clear(Key::Connect(conn));
        if c.stream.out.is_empty() {
            self.conns.remove(&conn);
            self.outputs.push(Output::Drop(conn));
        } else {
            self.outputs.push(Output::Finish(conn));
        }
    }

    pub(crate) fn drop_conn(&mut self, conn: ConnId) {
        if self.conns.remove(&conn).is_some() {
            for key in [Key::Conn(conn), Key::Idle(conn), Key::Connect(conn)] {
                self.timers.clear(key);
            }
            self.outputs.push(Output::Drop(conn));
        }
    }
}
