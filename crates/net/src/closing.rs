//! Closes client connections gracefully: first the sending side (half-close), then the rest once the peer has
//! closed its side.
//!
//! Guards against a reset: closing a connection with unread bytes resets it, and an answer that the client
//! has not read yet is lost. Bytes that are read here are discarded. They can't be answered any more, and the
//! client sends them again on another connection.

use crate::socket::{Progress, read_some};
use heronroute_engine::ConnId;
use mio::net::TcpStream;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Shutdown;

/// The time in which a peer must close its side, in microseconds.
const LINGER_TIMEOUT: i64 = 250_000;
/// The time in which a peer must read the rest of the output before its connection is closed, in
/// microseconds.
const FINISH_TIMEOUT: i64 = 5_000_000;
/// The maximum number of lingering connections. Beyond it the oldest are closed.
const MAX_LINGERING: usize = 1_024;
/// The maximum number of bytes discarded from one connection, so that a peer that keeps sending is cut off.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// A connection whose sending side is closed.
struct Lingering {
    stream: TcpStream,
    deadline: i64,
    /// The number of bytes discarded so far.
    discarded: usize,
}

/// The client connections that are being closed.
#[derive(Default)]
pub struct ClosingConns {
    conns: BTreeMap<ConnId, Lingering>,
    /// Lingering connections, oldest first. Some may be closed already.
    by_age: VecDeque<ConnId>,
    /// Lingering connections that may have more to read.
    ready: BTreeSet<ConnId>,
    /// Connections whose output must still be written, each with its deadline.
    finishing: VecDeque<(i64, ConnId)>,
}

impl ClosingConns {
    /// Closes the sending side of a connection whose output is written, and waits for the peer to close its
    /// side.
    pub fn half_close(&mut self, conn: ConnId, stream: TcpStream, now: i64) {
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.close_excess(MAX_LINGERING - 1);
        self.conns.insert(conn, Lingering { stream, deadline: now + LINGER_TIMEOUT, discarded: 0 });
        self.by_age.push_back(conn);
        // The system does not report again the bytes that arrived before.
        self.ready.insert(conn);
    }

    /// Starts the time limit for a connection that is to be closed once its output is written.
    pub fn add_finishing(&mut self, conn: ConnId, now: i64) {
        self.finishing.push_back((now + FINISH_TIMEOUT, conn));
    }

    /// Returns a connection whose time limit for the rest of its output has passed, if there is one. Guards
    /// against a peer that never reads and so holds a descriptor for good.
    pub fn take_overdue(&mut self, now: i64) -> Option<ConnId> {
        self.finishing.pop_front_if(|(at, _)| *at <= now).map(|(_, conn)| conn)
    }

    /// Returns whether no connection lingers.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// Handles a connection that has bytes to read, or whose peer has closed its side.
    pub fn on_ready(&mut self, conn: ConnId) {
        if self.conns.contains_key(&conn) {
            self.ready.insert(conn);
        }
    }

    /// Returns the time of the next timeout.
    pub fn next_timeout(&self) -> Option<i64> {
        if !self.ready.is_empty() {
            return Some(0);
        }
        let linger_deadline =
            self.by_age.iter().find_map(|conn| self.conns.get(conn)).map(|lingering| lingering.deadline);
        let finish_deadline = self.finishing.front().map(|(at, _)| *at);
        [linger_deadline, finish_deadline].into_iter().flatten().min()
    }

    /// Discards received bytes, and closes connections whose peer has closed its side or whose time is up.
    pub fn advance(&mut self, now: i64, buffer: &mut [u8]) {
        for conn in std::mem::take(&mut self.ready) {
            let Some(lingering) = self.conns.get_mut(&conn) else { continue };
            match read_some(&mut lingering.stream, buffer, true) {
                Progress::Blocked(_) => {}
                Progress::More(n) if lingering.discarded + n < MAX_DISCARDED_BYTES => {
                    lingering.discarded += n;
                    self.ready.insert(conn);
                }
                Progress::More(_) | Progress::Ended(_) | Progress::Broken => _ = self.conns.remove(&conn),
            }
        }
        while let Some(conn) = self.by_age.front() {
            match self.conns.get(conn) {
                Some(lingering) if lingering.deadline > now => break,
                Some(_) => _ = self.conns.remove(conn),
                None => {}
            }
            self.by_age.pop_front();
        }
    }

    /// Closes the connection that has lingered longest, to free its descriptor. Returns false if none
    /// lingers.
    pub fn close_oldest(&mut self) -> bool {
        while let Some(conn) = self.by_age.pop_front() {
            if self.conns.remove(&conn).is_some() {
                return true;
            }
        }
        false
    }

    /// Closes the oldest connections until at most `max_conns` linger.
    pub fn close_excess(&mut self, max_conns: usize) {
        while self.conns.len() > max_conns && self.close_oldest() {}
    }
}
