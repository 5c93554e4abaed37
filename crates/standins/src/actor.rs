//! What a stand-in is to whoever holds its sockets: a state machine with connections by number.

use crate::Micros;
use std::net::SocketAddr;

/// A connection, by the runner's number.
pub type Conn = usize;

/// What an actor asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect; the tag comes back with [`Actor::connected`] or [`Actor::closed`].
    Connect { tag: usize, address: SocketAddr },
    /// Write.
    Write(Conn, Vec<u8>),
    /// Close once all is written.
    Close(Conn),
    /// Close at once, with a reset where something is unread.
    Drop(Conn),
    /// Read nothing more from this connection, or read again.
    Deaf(Conn, bool),
    /// Listen, or stop listening, at the listener of this number.
    Listen(usize, bool),
}

/// A stand-in without sockets.
pub trait Actor {
    /// A peer connected at a listener.
    fn accepted(&mut self, now: Micros, listener: usize, conn: Conn);
    /// A connection asked for stands.
    fn connected(&mut self, _now: Micros, _tag: usize, _conn: Conn) {}
    /// A connection asked for could not be made.
    fn refused(&mut self, _now: Micros, _tag: usize) {}
    /// Octets came.
    fn received(&mut self, now: Micros, conn: Conn, octets: &[u8]);
    /// The peer closed, or the connection broke.
    fn closed(&mut self, now: Micros, conn: Conn);
    /// Time has passed.
    fn tick(&mut self, now: Micros);
    /// When [`Actor::tick`] is next needed.
    fn wake(&self) -> Micros;
    /// What is asked for since the last call, in order.
    fn actions(&mut self) -> Vec<Action>;
    /// Whether there is nothing more to do.
    fn finished(&self) -> bool {
        false
    }
}
