//! Open calls, and the outcome of each of their messages that got no answer. Performs no I/O.

use crate::Micros;
use heronroute::{EndpointId, MsgId, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Its time ran out.
    TimedOut,
    /// The connection ended, or was never established.
    Closed,
    /// It was cancelled, by the decision library or because its message ended.
    Cancelled,
}

/// Returns the outcome of a message whose attempt ended without an answer. `begun` says that a byte of it has
/// been handed to the operating system. Only if none has been is it certain that nothing ran, because bytes
/// in a buffer may still be sent.
pub fn outcome_without_answer(end: CallEnd, begun: bool) -> Outcome {
    match (end, begun) {
        (CallEnd::TimedOut, true) => Outcome::TimedOut,
        (CallEnd::Closed, true) => Outcome::Reset,
        (CallEnd::Cancelled, true) => Outcome::Cancelled,
        (CallEnd::TimedOut | CallEnd::Closed, false) => Outcome::ConnectFailed,
        (CallEnd::Cancelled, false) => Outcome::Skipped,
    }
}

/// One message of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallPart {
    /// The message.
    pub message: MsgId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The time until which its answer is waited for.
    pub deadline: Micros,
    /// The time before which sending must begin. After that, the receiver no longer drops repeats of the
    /// message.
    pub send_by: Micros,
    /// The start and end position of its bytes in the stream of the call's connection.
    pub range: (u64, u64),
    /// Whether it has no outcome yet.
    pub open: bool,
    /// How it was abandoned, if its answer is no longer waited for. Its outcome follows at the end of the
    /// call.
    pub abandoned: Option<CallEnd>,
}

/// A call: one or more messages that are sent together to one endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// The endpoint that the call goes to.
    pub endpoint: EndpointId,
    /// The connection that the call was written to, if any.
    pub conn: Option<u64>,
    /// The time at which the call was decided.
    pub began: Micros,
    /// The messages of the call.
    pub parts: Vec<CallPart>,
}

/// All open calls.
#[derive(Debug, Default)]
pub struct Calls {
    calls: BTreeMap<u64, Call>,
    /// The calls on each connection, in the order in which they were written.
    by_connection: BTreeMap<u64, Vec<u64>>,
    next: u64,
}

impl Calls {
    /// Creates a call without messages and returns its number.
    pub fn create(&mut self, now: Micros, endpoint: EndpointId) -> u64 {
        self.next += 1;
        self.calls.insert(self.next, Call { endpoint, conn: None, began: now, parts: Vec::new() });
        self.next
    }

    /// Abandons a message of a call. Returns whether no message of the call is waited for any more.
    pub fn stop_waiting(&mut self, id: u64, part: usize, end: CallEnd) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        if let Some(p) = call.parts.get_mut(part) {
            p.abandoned = p.abandoned.or(Some(end));
        }
        call.parts.iter().all(|p| !p.open || p.abandoned.is_some())
    }

    /// Returns a call.
    pub fn get(&self, id: u64) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// Returns the endpoints that have an open call.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        self.calls.values().map(|c| c.endpoint).collect()
    }

    /// Adds a message to a call that has not been sent. Returns the message's index in the call.
    pub fn add_part(
        &mut self,
        id: u64,
        message: MsgId,
        attempt: u32,
        deadline: Micros,
        send_by: Micros,
    ) -> usize {
        let Some(call) = self.calls.get_mut(&id) else { return 0 };
        call.parts.push(CallPart {
            message,
            attempt,
            deadline,
            send_by,
            range: (0, 0),
            open: true,
            abandoned: None,
        });
        call.parts.len() - 1
    }

    /// Returns the indices of a call's open messages whose time to begin sending is over.
    pub fn expired_parts(&self, id: u64, now: Micros) -> Vec<usize> {
        let parts = self.calls.get(&id).into_iter().flat_map(|c| c.parts.iter().enumerate());
        parts.filter(|(_, p)| p.open && p.send_by <= now).map(|(part, _)| part).collect()
    }

    /// Returns the number of the latest call.
    pub fn last_id(&self) -> u64 {
        self.next
    }

    /// Records that a call was written to a connection. `ranges` are the positions of its open messages.
    pub fn record_written(&mut self, id: u64, conn: u64, ranges: &[(u64, u64)]) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.conn = Some(conn);
        let open = call.parts.iter_mut().filter(|p| p.open);
        open.zip(ranges).for_each(|(part, range)| part.range = *range);
        self.by_connection.entry(conn).or_default().push(id);
    }

    /// Returns the calls on a connection.
    pub fn on_connection(&self, conn: u64) -> Vec<u64> {
        self.by_connection.get(&conn).cloned().unwrap_or_default()
    }

    /// Moves the positions of messages after `by` bytes at `from` were withdrawn from a connection's stream.
    pub fn shift_ranges(&mut self, conn: u64, from: u64, by: u64) {
        for id in self.by_connection.get(&conn).into_iter().flatten() {
            for part in self.calls.get_mut(id).into_iter().flat_map(|c| &mut c.parts) {
                if part.range.0 >= from + by {
                    part.range = (part.range.0 - by, part.range.1 - by);
                }
            }
        }
    }

    /// Records that a message of a call has an outcome. Returns the part as it was and whether the call has
    /// ended with it, or nothing if the message already had an outcome.
    pub fn close_part(&mut self, id: u64, part: usize) -> Option<(CallPart, bool)> {
        let call = self.calls.get_mut(&id)?;
        let p = call.parts.get_mut(part).filter(|p| p.open)?;
        p.open = false;
        let closed = *p;
        let over = call.parts.iter().all(|p| !p.open);
        if over {
            let conn = call.conn;
            self.calls.remove(&id);
            if let Some(list) = conn.and_then(|c| self.by_connection.get_mut(&c)) {
                list.retain(|c| *c != id);
                if list.is_empty() {
                    self.by_connection.remove(&conn.unwrap_or_default());
                }
            }
        }
        Some((closed, over))
    }

    /// Returns the number of open calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether there are no open calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

#[cfg(test)]
mod tests;
