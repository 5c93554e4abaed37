//! How clients' connections are closed, one by one and when the sender ends.

use super::Reactor;
use heronroute_engine::{CloseReason, ConnId};
use mio::Events;
use std::io;
use std::time::Duration;

/// After the last turn, pending octets are written for at most this time.
const FINAL_FLUSH: i64 = 50_000;

impl Reactor {
    /// Closes a connection on which all is written: a client's by way of a half-close.
    pub(super) fn close(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.remove(&conn).filter(|s| s.accepted) {
            self.closing.begin(conn, socket.stream, self.clock.now());
            // Guards the descriptors of endpoints and the journal.
            self.closing.keep(self.node.max_lingering_conns());
        }
    }

    /// Writes out what is left on a connection and closes it then.
    pub(super) fn finish(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        socket.finishing = true;
        self.closing.finishing(conn, self.clock.now());
        self.write(conn);
    }

    /// Goes on with what is being closed.
    pub(super) fn go_on_closing(&mut self) {
        let now = self.clock.now();
        self.closing.turn(now, &mut self.buffer);
        while let Some(conn) = self.closing.unread(now) {
            if self.sockets.remove(&conn).is_some() {
                self.node.closed(now, conn, CloseReason::Broken);
            }
        }
    }

    /// After the last turn: pending octets are written, for a bounded time.
    pub(super) fn final_flush(&mut self) {
        let until = self.clock.now() + FINAL_FLUSH;
        loop {
            let waiting: Vec<ConnId> =
                self.sockets.keys().copied().filter(|c| !self.node.pending(*c).is_empty()).collect();
            for conn in &waiting {
                self.write(*conn);
            }
            if waiting.is_empty() || self.clock.now() >= until {
                return;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// After [`final_flush`](Self::final_flush): clients' connections are half-closed and drained before the process ends, for
    /// a bounded time.
    pub(super) fn final_linger(&mut self, events: &mut Events) -> io::Result<()> {
        self.listener = None;
        let clients: Vec<ConnId> =
            self.sockets.iter().filter(|(_, s)| s.accepted).map(|(conn, _)| *conn).collect();
        clients.into_iter().for_each(|conn| self.close(conn));
        while !self.closing.is_empty() {
            let wait = self.closing.wake().map(|at| self.clock.until(at));
            match self.poll.poll(events, wait) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            events.iter().for_each(|event| self.closing.on_ready(event.token().0 as ConnId));
            self.closing.turn(self.clock.now(), &mut self.buffer);
        }
        Ok(())
    }
}
