//! The pool of connections to one endpoint: assigns calls to connections and decides when to open another
//! one. Performs no I/O.
//!
//! The decision library limits the number of open calls, and the number of connections follows from it. A
//! call goes to the connection with the fewest calls, no connection carries more than the kind's window, and
//! a new one is opened only for calls that do not fit on the existing connections and those being opened.
//! Where responses name no call, a call that must not run twice is not written behind others, and not to a
//! connection on which its refusal would prove nothing.

use std::collections::VecDeque;

/// The sender's number of a connection.
pub type ConnNumber = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PooledConnection {
    conn: ConnNumber,
    ready: bool,
    /// Whether it takes no more calls. One of its calls got no answer, so that it may be dead or blocked.
    retired: bool,
    /// Whether it takes no calls for a while.
    paused: bool,
    /// Whether a refusal on it proves nothing.
    ambiguous: bool,
    calls: usize,
}

impl PooledConnection {
    /// Returns whether it takes calls at all.
    fn is_open(&self) -> bool {
        self.ready && !self.retired && !self.paused
    }

    /// Returns whether a refusal of a call that is written to it now would prove that the call did not run.
    fn proves_refusals(&self) -> bool {
        self.is_open() && !self.ambiguous && self.calls == 0
    }
}

/// The connections to one endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    connections: Vec<PooledConnection>,
    /// Calls that wait for a connection.
    waiting: VecDeque<u64>,
    /// Calls that wait for a connection on which their refusal would prove that they did not run.
    waiting_for_proof: VecDeque<u64>,
    /// Whether a probe waits for a connection.
    pub probe_waiting: bool,
}

impl Pool {
    /// Adds a call to those that wait for a connection.
    pub fn enqueue(&mut self, call: u64) {
        self.waiting.push_back(call);
    }

    /// Adds a call to those that wait for a connection on which their refusal would prove that they did not
    /// run.
    pub fn enqueue_for_proof(&mut self, call: u64) {
        self.waiting_for_proof.push_back(call);
    }

    /// Returns the calls that wait for a connection.
    pub fn waiting_calls(&self) -> Vec<u64> {
        self.waiting_for_proof.iter().chain(&self.waiting).copied().collect()
    }

    /// Removes a waiting call, and returns whether it was waiting.
    pub fn remove_waiting(&mut self, call: u64) -> bool {
        let count = |pool: &Pool| pool.waiting.len() + pool.waiting_for_proof.len();
        let before = count(self);
        self.waiting.retain(|c| *c != call);
        self.waiting_for_proof.retain(|c| *c != call);
        count(self) < before
    }

    /// Assigns the next waiting call to the ready connection with the fewest calls. Returns both, or nothing
    /// if no connection has room.
    pub fn assign_next(&mut self, window: usize) -> Option<(u64, ConnNumber)> {
        self.assign_next_for_proof().or_else(|| self.assign_next_to_any(window))
    }

    fn assign_next_for_proof(&mut self) -> Option<(u64, ConnNumber)> {
        self.waiting_for_proof.front()?;
        let connection = self.connections.iter_mut().find(|c| c.proves_refusals())?;
        connection.calls += 1;
        let conn = connection.conn;
        self.waiting_for_proof.pop_front().map(|call| (call, conn))
    }

    fn assign_next_to_any(&mut self, window: usize) -> Option<(u64, ConnNumber)> {
        self.waiting.front()?;
        let open = self.connections.iter_mut().filter(|c| c.is_open() && c.calls < window);
        let best = open.min_by_key(|c| c.calls)?;
        best.calls += 1;
        let conn = best.conn;
        self.waiting.pop_front().map(|call| (call, conn))
    }

    /// Returns how many further connections must be opened.
    pub fn missing_connections(&self, window: usize) -> usize {
        let connecting = self.connections.iter().filter(|c| !c.ready && !c.retired).count();
        let calls = self.waiting_for_proof.len() + self.waiting.len().div_ceil(window.max(1));
        let needed = calls.max(usize::from(self.probe_waiting));
        needed.saturating_sub(connecting)
    }

    /// Retires and returns a connection to be closed for a new one, so that idle connections do not add up:
    /// calls wait for one on which a refusal would prove something, and on this idle one it would not.
    pub fn retire_replaceable(&mut self) -> Option<ConnNumber> {
        self.waiting_for_proof.front()?;
        let idle = |c: &&mut PooledConnection| c.is_open() && c.ambiguous && c.calls == 0;
        let connection = self.connections.iter_mut().find(idle)?;
        connection.retired = true;
        Some(connection.conn)
    }

    /// Adds a connection that is being opened.
    pub fn add_connecting(&mut self, conn: ConnNumber) {
        self.connections.push(PooledConnection {
            conn,
            ready: false,
            retired: false,
            paused: false,
            ambiguous: false,
            calls: 0,
        });
    }

    /// Marks a connection as ready for calls.
    pub fn mark_ready(&mut self, conn: ConnNumber) {
        self.connections.iter_mut().filter(|c| c.conn == conn).for_each(|c| c.ready = true);
    }

    /// Records that a refusal on a connection proves nothing any more.
    pub fn mark_ambiguous(&mut self, conn: ConnNumber) {
        self.connections.iter_mut().filter(|c| c.conn == conn).for_each(|c| c.ambiguous = true);
    }

    /// Assigns no more calls to a connection.
    pub fn retire(&mut self, conn: ConnNumber) {
        self.connections.iter_mut().filter(|c| c.conn == conn).for_each(|c| c.retired = true);
    }

    /// Assigns no calls to a connection until [`Pool::resume`] is called.
    pub fn pause(&mut self, conn: ConnNumber) {
        self.connections.iter_mut().filter(|c| c.conn == conn).for_each(|c| c.paused = true);
    }

    /// Lets a paused connection take calls again.
    pub fn resume(&mut self, conn: ConnNumber) {
        self.connections.iter_mut().filter(|c| c.conn == conn).for_each(|c| c.paused = false);
    }

    /// Records that a call on a connection has ended. Returns whether the connection must be closed, because
    /// it takes no more calls and carries none.
    pub fn finish_call(&mut self, conn: ConnNumber) -> bool {
        let Some(connection) = self.connections.iter_mut().find(|c| c.conn == conn) else { return false };
        connection.calls = connection.calls.saturating_sub(1);
        connection.retired && connection.calls == 0
    }

    /// Returns whether a connection takes no more calls and carries none.
    pub fn is_closable(&self, conn: ConnNumber) -> bool {
        self.connections.iter().any(|c| c.conn == conn && c.retired && c.calls == 0)
    }

    /// Returns the number of calls on a connection.
    pub fn call_count(&self, conn: ConnNumber) -> usize {
        self.connections.iter().find(|c| c.conn == conn).map_or(0, |c| c.calls)
    }

    /// Removes a connection. If it never became ready, returns the waiting calls that it was opened for,
    /// which certainly did not run.
    pub fn remove(&mut self, conn: ConnNumber, window: usize) -> Vec<u64> {
        let Some(index) = self.connections.iter().position(|c| c.conn == conn) else { return Vec::new() };
        let was_ready = self.connections.swap_remove(index).ready;
        if was_ready {
            return Vec::new();
        }
        if let Some(call) = self.waiting_for_proof.pop_front() {
            return vec![call];
        }
        let n = self.waiting.len().min(window);
        self.waiting.drain(..n).collect()
    }

    /// Returns the ready connections without a call.
    pub fn idle_connections(&self) -> Vec<ConnNumber> {
        self.connections.iter().filter(|c| c.ready && c.calls == 0).map(|c| c.conn).collect()
    }

    /// Returns the connections that are being opened.
    pub fn connecting(&self) -> Vec<ConnNumber> {
        self.connections.iter().filter(|c| !c.ready).map(|c| c.conn).collect()
    }

    /// Returns a connection that can carry a probe.
    pub fn probe_connection(&self, window: usize) -> Option<ConnNumber> {
        let usable = |c: &&PooledConnection| c.is_open() && (window > 1 || c.calls == 0);
        self.connections.iter().filter(usable).min_by_key(|c| c.calls).map(|c| c.conn)
    }

    /// Counts a probe on a connection as a call.
    pub fn count_probe(&mut self, conn: ConnNumber) {
        self.connections.iter_mut().filter(|c| c.conn == conn).for_each(|c| c.calls += 1);
    }

    /// Returns whether there are no connections and nothing waits for one.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty() && self.waiting_calls().is_empty() && !self.probe_waiting
    }

    /// Returns all connections.
    pub fn connections(&self) -> Vec<ConnNumber> {
        self.connections.iter().map(|c| c.conn).collect()
    }
}

#[cfg(test)]
mod tests;
