//! The interface of a stand-in: a state machine without sockets, whose connections have numbers.

use crate::Micros;
use std::net::SocketAddr;

/// The number of a connection.
pub type Conn = usize;

/// An action that an actor requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect. The tag is reported with [`Actor::connected`] or [`Actor::refused`].
    Connect { tag: usize, address: SocketAddr },
    /// Write bytes.
    Write(Conn, Vec<u8>),
    /// Close once all bytes are written.
    Close(Conn),
    /// Close at once. Unread bytes cause a reset.
    Drop(Conn),
    /// Stop reading, or read again.
    PauseReading(Conn, bool),
    /// Listen, or stop listening, at the listener of this number.
    Listen(usize, bool),
}

/// A stand-in without sockets.
pub trait Actor {
    /// Handles a peer that connected at a listener.
    fn accepted(&mut self, now: Micros, listener: usize, conn: Conn);
    /// Handles a requested connection that is established.
    fn connected(&mut self, _now: Micros, _tag: usize, _conn: Conn) {}
    /// Handles a requested connection that could not be established.
    fn refused(&mut self, _now: Micros, _tag: usize) {}
    /// Handles received bytes.
    fn received(&mut self, now: Micros, conn: Conn, bytes: &[u8]);
    /// Handles a connection that the peer closed, or that broke.
    fn closed(&mut self, now: Micros, conn: Conn);
    /// Handles the passing of time.
    fn tick(&mut self, now: Micros);
    /// Returns the time at which [`Actor::tick`] is needed next.
    fn wake(&self) -> Micros;
    /// Takes the actions requested since the last call, in order.
    fn actions(&mut self) -> Vec<Action>;
    /// Returns whether there is nothing more to do.
    fn finished(&self) -> bool {
        false
    }
}
