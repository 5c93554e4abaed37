//! Connections of clients that are being closed: the sending side first (half-close), then the rest once the peer has ended
//! its own.
//!
//! Guards against a reset: a close over octets that were not read resets the connection, and takes along an answer that its
//! client has not read yet. What is read here is discarded: nobody could be told of it any more, and its client sends it
//! again on another connection.

use crate::socket::{Progress, read_some};
use heronroute_engine::ConnId;
use mio::net::TcpStream;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Shutdown;

/// A peer has so long to end its side.
const LINGER: i64 = 250_000;
/// What is left to be written on a connection that is then closed must be taken within this.
const FINISH: i64 = 5_000_000;
/// So many connections linger at once; beyond these the oldest are closed.
const MOST: usize = 1_024;
/// Octets that are discarded of one connection at most: a peer that sends on regardless is not listened to for long.
const MOST_DISCARDED: usize = 256 * 1024;

struct Lingering {
    stream: TcpStream,
    until: i64,
    discarded: usize,
}

/// Connections whose sending side is shut, until their peers end theirs.
#[derive(Default)]
pub struct Closing {
    conns: BTreeMap<ConnId, Lingering>,
    /// The order in which they began to linger, so that the first is due first; some may be closed already.
    order: VecDeque<ConnId>,
    /// Those that may have more to read.
    ready: BTreeSet<ConnId>,
    /// Connections that are written out first, with when that must be over.
    finishing: VecDeque<(i64, ConnId)>,
}

impl Closing {
    /// Shuts the sending side of a connection on which all is written.
    pub fn begin(&mut self, conn: ConnId, stream: TcpStream, now: i64) {
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        self.keep(MOST - 1);
        self.conns.insert(conn, Lingering { stream, until: now + LINGER, discarded: 0 });
        self.order.push_back(conn);
        // What came before is no longer told of by the system.
        self.ready.insert(conn);
    }

    /// A connection is to be closed once all is written on it.
    pub fn finishing(&mut self, conn: ConnId, now: i64) {
        self.finishing.push_back((now + FINISH, conn));
    }

    /// A connection that was to be closed by now, if its peer has not read what was left. Guards against a peer that never
    /// reads and keeps a descriptor for good.
    pub fn unread(&mut self, now: i64) -> Option<ConnId> {
        self.finishing.pop_front_if(|(at, _)| *at <= now).map(|(_, conn)| conn)
    }

    /// Whether nothing lingers.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// A connection has something to read, or its peer has ended.
    pub fn on_ready(&mut self, conn: ConnId) {
        if self.conns.contains_key(&conn) {
            self.ready.insert(conn);
        }
    }

    /// When it is to be turned to next though nothing comes.
    pub fn wake(&self) -> Option<i64> {
        if !self.ready.is_empty() {
            return Some(0);
        }
        let lingers = self.order.iter().find_map(|conn| self.conns.get(conn)).map(|c| c.until);
        let finishes = self.finishing.front().map(|(at, _)| *at);
        [lingers, finishes].into_iter().flatten().min()
    }

    /// Discards what came, and closes connections whose peer has ended or whose time is up.
    pub fn turn(&mut self, now: i64, buffer: &mut [u8]) {
        for conn in std::mem::take(&mut self.ready) {
            let Some(c) = self.conns.get_mut(&conn) else { continue };
            match read_some(&mut c.stream, buffer, true) {
                Progress::Blocked(_) => {}
                Progress::More(n) if c.discarded + n < MOST_DISCARDED => {
                    c.discarded += n;
                    self.ready.insert(conn);
                }
                Progress::More(_) | Progress::Ended(_) | Progress::Broken => _ = self.conns.remove(&conn),
            }
        }
        while let Some(conn) = self.order.front() {
            match self.conns.get(conn) {
                Some(c) if c.until > now => break,
                Some(_) => _ = self.conns.remove(conn),
                None => {}
            }
            self.order.pop_front();
        }
    }

    /// Closes the one that has lingered longest, for its descriptor. False where none lingers.
    pub fn close_oldest(&mut self) -> bool {
        while let Some(conn) = self.order.pop_front() {
            if self.conns.remove(&conn).is_some() {
                return true;
            }
        }
        false
    }

    /// Keeps no more than so many.
    pub fn keep(&mut self, most: usize) {
        while self.conns.len() > most && self.close_oldest() {}
    }
}
