//! Closes connections, one by one and when the sender ends.

use super::Reactor;
use crate::socket::{Progress, read_some};
use heronroute_engine::{CloseReason, ConnId};
use mio::Events;
use std::io;
use std::time::Duration;

/// The maximum time for writing pending bytes after the last turn, in microseconds.
const FINAL_FLUSH: i64 = 50_000;

impl Reactor {
    /// Closes a connection whose output is written. A client's connection is half-closed first.
    pub(super) fn close(&mut self, conn: ConnId) {
        self.read_before_close(conn);
        if let Some(socket) = self.sockets.remove(&conn).filter(|s| s.accepted) {
            self.closing.half_close(conn, socket.stream, self.clock.now());
            // Leaves descriptors for endpoints and the journal.
            self.closing.close_excess(self.node.max_lingering_conns());
        }
    }

    /// Ends the connection of a client that has closed its side. What it has sent and was not read is discarded: nobody
    /// waits for it.
    pub(super) fn client_left(&mut self, conn: ConnId) {
        let now = self.clock.now();
        if let Some(socket) = self.sockets.remove(&conn) {
            self.node.closed(now, conn, CloseReason::Ended);
            self.closing.half_close(conn, socket.stream, now);
            self.closing.close_excess(self.node.max_lingering_conns());
        }
    }

    /// Reads what has arrived on a connection whose last call this side gives up: its answer may lie there.
    fn read_before_close(&mut self, conn: ConnId) {
        if !self.node.reads_before_drop(conn) {
            return;
        }
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        let (Progress::Blocked(length) | Progress::More(length) | Progress::Ended(length)) =
            read_some(&mut socket.stream, &mut self.buffer, true)
        else {
            return;
        };
        if length > 0 {
            self.node.received_unhandled(self.clock.now(), conn, &self.buffer[..length]);
        }
    }

    /// Writes the rest of a connection's output, and then closes the connection.
    pub(super) fn finish(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        socket.closes_when_written = true;
        self.closing.add_finishing(conn, self.clock.now());
        self.write(conn);
    }

    /// Handles the connections that are being closed.
    pub(super) fn handle_closing(&mut self) {
        let now = self.clock.now();
        self.closing.advance(now, &mut self.buffer);
        while let Some(conn) = self.closing.take_overdue(now) {
            if self.sockets.remove(&conn).is_some() {
                self.node.closed(now, conn, CloseReason::Broken);
            }
        }
    }

    /// Writes pending bytes after the last turn, for a bounded time.
    pub(super) fn final_flush(&mut self) {
        let until = self.clock.now() + FINAL_FLUSH;
        loop {
            let unwritten: Vec<ConnId> =
                self.sockets.keys().copied().filter(|c| !self.node.pending(*c).is_empty()).collect();
            for conn in &unwritten {
                self.write(*conn);
            }
            if unwritten.is_empty() || self.clock.now() >= until {
                return;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Half-closes and drains clients' connections after [`final_flush`](Self::final_flush), for a bounded
    /// time.
    pub(super) fn final_linger(&mut self, events: &mut Events) -> io::Result<()> {
        self.listener = None;
        let clients: Vec<ConnId> =
            self.sockets.iter().filter(|(_, s)| s.accepted).map(|(conn, _)| *conn).collect();
        clients.into_iter().for_each(|conn| self.close(conn));
        while !self.closing.is_empty() {
            let timeout = self.closing.next_timeout().map(|at| self.clock.until(at));
            match self.poll.poll(events, timeout) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            events.iter().for_each(|event| self.closing.on_ready(event.token().0 as ConnId));
            self.closing.advance(self.clock.now(), &mut self.buffer);
        }
        Ok(())
    }
}
