//! Events of connections, dispatched by each connection's role.

use super::Node;
use super::api::CloseReason;
use super::state::ConnRole;
use crate::Micros;
use crate::ids::ConnId;

impl Node {
    /// Handles a connection that was established.
    pub fn connected(&mut self, now: Micros, conn: ConnId) {
        self.now = now.max(self.now);
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Receiver { .. }) => self.link_opened(conn),
            Some(ConnRole::Notices) => self.notices_connected(conn),
            Some(ConnRole::Directory) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    self.directory.connected(self.now, &mut c.stream);
                }
                self.flush(conn);
                self.schedule_directory();
            }
            _ => {}
        }
    }

    /// Handles received bytes.
    pub fn received(&mut self, now: Micros, conn: ConnId, bytes: &[u8]) {
        self.now = now.max(self.now);
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Client { .. }) => self.client_received(conn, bytes),
            Some(ConnRole::Receiver { .. }) => self.link_received(conn, bytes),
            Some(ConnRole::Notices) => self.notices_received(conn, bytes),
            Some(ConnRole::Directory) => {
                let mut events = Vec::new();
                let Some(c) = self.conns.get_mut(&conn) else { return };
                let keep_open = self.directory.receive(self.now, bytes, &mut c.stream, &mut events);
                self.flush(conn);
                if !keep_open {
                    self.directory_conn = None;
                    self.drop_conn(conn);
                }
                self.handle_directory_events(events);
            }
            _ => {}
        }
    }

    /// Handles the end of a connection, which the owner of the sockets has closed.
    pub fn closed(&mut self, now: Micros, conn: ConnId, gone: CloseReason) {
        self.now = now.max(self.now);
        match self.conns.get(&conn).map(|c| &c.role) {
            Some(ConnRole::Client { .. }) => self.client_disconnected(conn),
            Some(ConnRole::Receiver { .. }) => self.link_closed(conn, gone),
            Some(ConnRole::Notices) => self.notices_closed(conn),
            Some(ConnRole::Directory) => {
                self.directory_conn = None;
                let mut events = Vec::new();
                self.directory.ended(self.now, &mut events);
                self.handle_directory_events(events);
            }
            _ => {}
        }
        self.drop_conn(conn);
    }
}
