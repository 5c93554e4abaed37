//! The pool of connections to one endpoint: assigns calls to connections and decides when to open another
//! one. Performs no I/O.
//!
//! The decision library limits the number of open calls, and the number of connections follows from it. A
//! call goes to the connection with the fewest calls, no connection carries more than the kind's window, and
//! a new one is opened only for calls that do not fit on the existing connections and those being opened.

use std::collections::VecDeque;

/// The sender's number of a connection.
pub type ConnNumber = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    conn: ConnNumber,
    ready: bool,
    /// Whether it takes no more calls. One of its calls got no answer, so that it may be dead or blocked.
    suspect: bool,
    /// Whether it takes no calls for a while.
    rests: bool,
    calls: usize,
}

/// The connections to one endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    /// Calls that wait for a connection.
    waiting: VecDeque<u64>,
    /// Whether a probe waits for a connection.
    pub probe_waits: bool,
}

impl Pool {
    /// Adds a call to those that wait for a connection.
    pub fn queue(&mut self, call: u64) {
        self.waiting.push_back(call);
    }

    /// Returns the calls that wait for a connection.
    pub fn waiting(&self) -> Vec<u64> {
        self.waiting.iter().copied().collect()
    }

    /// Removes a waiting call, and returns whether it was waiting.
    pub fn remove_waiting(&mut self, call: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|c| *c != call);
        self.waiting.len() < before
    }

    /// Assigns the next waiting call to the ready connection with the fewest calls. Returns both, or nothing
    /// if no connection has room.
    pub fn place(&mut self, window: usize) -> Option<(u64, ConnNumber)> {
        self.waiting.front()?;
        let open = self.members.iter_mut().filter(|m| m.ready && !m.suspect && !m.rests && m.calls < window);
        let best = open.min_by_key(|m| m.calls)?;
        best.calls += 1;
        let conn = best.conn;
        self.waiting.pop_front().map(|call| (call, conn))
    }

    /// Returns how many further connections must be opened.
    pub fn wanted(&self, window: usize) -> usize {
        let coming = self.members.iter().filter(|m| !m.ready && !m.suspect).count();
        let need = self.waiting.len().div_ceil(window.max(1)).max(usize::from(self.probe_waits));
        need.saturating_sub(coming)
    }

    /// Adds a connection that is being opened.
    pub fn opening(&mut self, conn: ConnNumber) {
        self.members.push(Member { conn, ready: false, suspect: false, rests: false, calls: 0 });
    }

    /// Marks a connection as ready for calls.
    pub fn ready(&mut self, conn: ConnNumber) {
        self.members.iter_mut().filter(|m| m.conn == conn).for_each(|m| m.ready = true);
    }

    /// Assigns no more calls to a connection.
    pub fn suspect(&mut self, conn: ConnNumber) {
        self.members.iter_mut().filter(|m| m.conn == conn).for_each(|m| m.suspect = true);
    }

    /// Assigns no calls to a connection until [`Pool::rested`] is called.
    pub fn rest(&mut self, conn: ConnNumber) {
        self.members.iter_mut().filter(|m| m.conn == conn).for_each(|m| m.rests = true);
    }

    /// Lets a paused connection take calls again.
    pub fn rested(&mut self, conn: ConnNumber) {
        self.members.iter_mut().filter(|m| m.conn == conn).for_each(|m| m.rests = false);
    }

    /// Records that a call on a connection has ended. Returns whether the connection must be closed, because
    /// it takes no more calls and carries none.
    pub fn finished(&mut self, conn: ConnNumber) -> bool {
        let Some(m) = self.members.iter_mut().find(|m| m.conn == conn) else { return false };
        m.calls = m.calls.saturating_sub(1);
        m.suspect && m.calls == 0
    }

    /// Returns whether a connection takes no more calls and carries none.
    pub fn is_spent(&self, conn: ConnNumber) -> bool {
        self.members.iter().any(|m| m.conn == conn && m.suspect && m.calls == 0)
    }

    /// Returns the number of calls on a connection.
    pub fn calls(&self, conn: ConnNumber) -> usize {
        self.members.iter().find(|m| m.conn == conn).map_or(0, |m| m.calls)
    }

    /// Removes a connection. If it never became ready, returns the waiting calls that it was opened for,
    /// which certainly did not run.
    pub fn gone(&mut self, conn: ConnNumber, window: usize) -> Vec<u64> {
        let Some(at) = self.members.iter().position(|m| m.conn == conn) else { return Vec::new() };
        let was_ready = self.members.swap_remove(at).ready;
        if was_ready {
            return Vec::new();
        }
        let n = self.waiting.len().min(window);
        self.waiting.drain(..n).collect()
    }

    /// Returns the ready connections without a call.
    pub fn idle(&self) -> Vec<ConnNumber> {
        self.members.iter().filter(|m| m.ready && m.calls == 0).map(|m| m.conn).collect()
    }

    /// Returns a connection that can carry a probe.
    pub fn for_probe(&self, window: usize) -> Option<ConnNumber> {
        let free = |m: &&Member| m.ready && !m.suspect && !m.rests && (window > 1 || m.calls == 0);
        self.members.iter().filter(free).min_by_key(|m| m.calls).map(|m| m.conn)
    }

    /// Counts a probe on a connection as a call.
    pub fn occupy(&mut self, conn: ConnNumber) {
        self.members.iter_mut().filter(|m| m.conn == conn).for_each(|m| m.calls += 1);
    }

    /// Returns whether there are no connections and nothing waits for one.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.waiting.is_empty() && !self.probe_waits
    }

    /// Returns all connections.
    pub fn all(&self) -> Vec<ConnNumber> {
        self.members.iter().map(|m| m.conn).collect()
    }
}

#[cfg(test)]
mod tests;
