//! The attempts of each message whose end is not proved. Decides whether a further attempt may start.
//! Performs no I/O.
//!
//! This is independent of the outcomes that are reported to the decision library: it is kept by what has
//! happened to a call on its connection. An attempt is over once its call got its own answer, once all its
//! bytes were taken back before any was sent, or once its connection was closed. Time proves nothing.

use crate::ids::ConnId;
use heronroute::MsgId;
use std::collections::HashMap;

/// Whether a further attempt of a message may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPermission {
    /// No earlier attempt is out.
    Granted,
    /// An earlier attempt may be out on this connection.
    OutOn(ConnId),
    /// An earlier attempt waits for a connection.
    Waiting,
    /// An earlier attempt may have run, or may be out, and the message must not run twice.
    MayHaveRun,
}

/// How a call got its own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The message did not run.
    NeverRan,
    /// The message may have run.
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    call: u64,
    /// The connection to which its call was written, if any.
    conn: Option<ConnId>,
}

#[derive(Debug, Default)]
struct MessageAttempts {
    open: Vec<Attempt>,
    may_have_run: bool,
}

/// The attempts of all open messages whose end is not proved.
#[derive(Debug, Default)]
pub struct OpenAttempts {
    by_message: HashMap<MsgId, MessageAttempts>,
    by_connection: HashMap<ConnId, Vec<MsgId>>,
}

impl OpenAttempts {
    /// Returns whether a further attempt of a message may start. `runs_once` says that the message must not
    /// run twice.
    pub fn permission(&self, message: MsgId, runs_once: bool) -> StartPermission {
        let Some(attempts) = self.by_message.get(&message) else { return StartPermission::Granted };
        let written = attempts.open.iter().any(|attempt| attempt.conn.is_some());
        if runs_once && (attempts.may_have_run || written) {
            return StartPermission::MayHaveRun;
        }
        match attempts.open.first() {
            None => StartPermission::Granted,
            Some(Attempt { conn: Some(conn), .. }) => StartPermission::OutOn(*conn),
            Some(Attempt { conn: None, .. }) => StartPermission::Waiting,
        }
    }

    /// Records that an attempt waits for a connection.
    pub fn started(&mut self, message: MsgId, call: u64) {
        self.by_message.entry(message).or_default().open.push(Attempt { call, conn: None });
    }

    /// Records that an attempt's call was written to a connection.
    pub fn written(&mut self, message: MsgId, call: u64, conn: ConnId) {
        let open = &mut self.by_message.entry(message).or_default().open;
        match open.iter_mut().find(|attempt| attempt.call == call) {
            Some(attempt) => attempt.conn = Some(conn),
            None => open.push(Attempt { call, conn: Some(conn) }),
        }
        self.by_connection.entry(conn).or_default().push(message);
    }

    /// Records that nothing of an attempt was sent, and nothing will be.
    pub fn withdrawn(&mut self, message: MsgId, call: u64) {
        self.remove(message, call);
    }

    /// Records that a call got its own answer.
    pub fn answered(&mut self, message: MsgId, call: u64, proof: Proof) {
        if self.remove(message, call)
            && proof == Proof::MayHaveRun
            && let Some(attempts) = self.by_message.get_mut(&message)
        {
            attempts.may_have_run = true;
        }
    }

    /// Returns the messages with an attempt that may be out on a connection.
    pub fn on_connection(&self, conn: ConnId) -> Vec<MsgId> {
        self.by_connection.get(&conn).cloned().unwrap_or_default()
    }

    /// Records that a connection was closed: what was written to it may have run.
    pub fn connection_closed(&mut self, conn: ConnId) {
        for message in self.by_connection.remove(&conn).unwrap_or_default() {
            let Some(attempts) = self.by_message.get_mut(&message) else { continue };
            let open = attempts.open.len();
            attempts.open.retain(|attempt| attempt.conn != Some(conn));
            attempts.may_have_run |= attempts.open.len() < open;
        }
    }

    /// Forgets a message that has ended. No attempt of it starts any more.
    pub fn message_ended(&mut self, message: MsgId) {
        let attempts = self.by_message.remove(&message).unwrap_or_default();
        for conn in attempts.open.iter().filter_map(|attempt| attempt.conn) {
            self.remove_from_connection(message, conn);
        }
    }

    /// Returns the number of messages with a record.
    pub fn len(&self) -> usize {
        self.by_message.len()
    }

    /// Returns whether no message has a record.
    pub fn is_empty(&self) -> bool {
        self.by_message.is_empty()
    }

    /// Removes an attempt, and returns whether there was one.
    fn remove(&mut self, message: MsgId, call: u64) -> bool {
        let Some(attempts) = self.by_message.get_mut(&message) else { return false };
        let Some(index) = attempts.open.iter().position(|attempt| attempt.call == call) else { return false };
        if let Some(conn) = attempts.open.swap_remove(index).conn {
            self.remove_from_connection(message, conn);
        }
        true
    }

    fn remove_from_connection(&mut self, message: MsgId, conn: ConnId) {
        let Some(messages) = self.by_connection.get_mut(&conn) else { return };
        messages.retain(|other| *other != message);
        if messages.is_empty() {
            self.by_connection.remove(&conn);
        }
    }
}

#[cfg(test)]
mod tests;
