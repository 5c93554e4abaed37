//! A member's end of its links, whoever wrote it.

use heronroute_fleet::link::{Conn, Output, Stats, Switch};
use heronroute_fleet::{Kind, Micros};

/// All links of one member without their sockets. Each call is as on [`Switch`].
pub trait Speaker {
    /// Somebody connected.
    fn accepted(&mut self, now: Micros) -> Conn;
    /// The connection asked for stands.
    fn connected(&mut self, now: Micros, conn: Conn);
    /// A connection ended.
    fn closed(&mut self, now: Micros, conn: Conn);
    /// Octets came.
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]);
    /// To be written next.
    fn pending(&self, conn: Conn) -> &[u8];
    /// So many octets of it were written.
    fn wrote(&mut self, now: Micros, conn: Conn, n: usize);
    /// Sends to a peer.
    fn send(&mut self, now: Micros, peer: usize, kind: Kind, payload: Vec<u8>);
    /// Time went on.
    fn tick(&mut self, now: Micros);
    /// When [`Speaker::tick`] is due.
    fn wake(&self) -> Option<Micros>;
    /// What is to be done.
    fn outputs(&mut self) -> Vec<Output>;
    /// Counts so far.
    fn stats(&self) -> Stats;
    /// Octets held for a peer.
    fn held(&self, peer: usize) -> usize;
}

impl Speaker for Switch {
    fn accepted(&mut self, now: Micros) -> Conn {
        Switch::accepted(self, now)
    }
    fn connected(&mut self, now: Micros, conn: Conn) {
        Switch::connected(self, now, conn);
    }
    fn closed(&mut self, now: Micros, conn: Conn) {
        Switch::closed(self, now, conn);
    }
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]) {
        Switch::received(self, now, conn, octets);
    }
    fn pending(&self, conn: Conn) -> &[u8] {
        Switch::pending(self, conn)
    }
    fn wrote(&mut self, now: Micros, conn: Conn, n: usize) {
        Switch::wrote(self, now, conn, n);
    }
    fn send(&mut self, now: Micros, peer: usize, kind: Kind, payload: Vec<u8>) {
        Switch::send(self, now, peer, kind, payload);
    }
    fn tick(&mut self, now: Micros) {
        Switch::tick(self, now);
    }
    fn wake(&self) -> Option<Micros> {
        Switch::wake(self)
    }
    fn outputs(&mut self) -> Vec<Output> {
        Switch::outputs(self)
    }
    fn stats(&self) -> Stats {
        Switch::stats(self).clone()
    }
    fn held(&self, peer: usize) -> usize {
        Switch::held(self, peer)
    }
}
