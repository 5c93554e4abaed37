//! Outstanding calls, and the outcome of each of their messages where no answer came. Free of I/O.

use crate::Micros;
use heronroute::{EndpointId, MsgId, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// How an attempt came to an end without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its time ran out.
    TimedOut,
    /// The connection ended, or never stood.
    Closed,
    /// It was cancelled, by the decision library or because its message was over.
    Cancelled,
}

/// The outcome of a message after such an end. Only where not one octet of it had been handed to the system is it
/// certain that nothing ran. Guards against calling a message unsent that lies in a buffer on its way.
pub fn outcome_of(end: End, begun: bool) -> Outcome {
    match (end, begun) {
        (End::TimedOut, true) => Outcome::TimedOut,
        (End::Closed, true) => Outcome::Reset,
        (End::Cancelled, true) => Outcome::Cancelled,
        (End::TimedOut | End::Closed, false) => Outcome::ConnectFailed,
        (End::Cancelled, false) => Outcome::Skipped,
    }
}

/// One message of a call.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The message.
    pub msg: MsgId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Its answer is waited for until then.
    pub until: Micros,
    /// It may begin to leave only before then: the time in which the receiver drops its repeats is over.
    pub leave_by: Micros,
    /// Where its octets lie in the stream of the call's connection.
    pub range: (u64, u64),
    /// It has no outcome yet.
    pub open: bool,
    /// How it was abandoned, where its answer is no longer waited for; its outcome comes with the call's end.
    pub abandoned: Option<End>,
}

/// One call: one or more messages to one endpoint, together.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to.
    pub endpoint: EndpointId,
    /// The connection it went on, once there is one.
    pub conn: Option<u64>,
    /// When it was asked for.
    pub began: Micros,
    /// Its messages.
    pub parts: Vec<Part>,
}

/// All calls out.
#[derive(Debug, Default)]
pub struct Calls {
    calls: BTreeMap<u64, Call>,
    /// Calls by connection, in the order in which they were written.
    on_conn: BTreeMap<u64, Vec<u64>>,
    next: u64,
}

impl Calls {
    /// A new call without messages.
    pub fn begin(&mut self, now: Micros, endpoint: EndpointId) -> u64 {
        self.next += 1;
        self.calls.insert(self.next, Call { endpoint, conn: None, began: now, parts: Vec::new() });
        self.next
    }

    /// Abandons a message of a call. Returns whether no message of the call is waited for any more.
    pub fn stop_waiting(&mut self, id: u64, part: usize, end: End) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        if let Some(p) = call.parts.get_mut(part) {
            p.abandoned = p.abandoned.or(Some(end));
        }
        call.parts.iter().all(|p| !p.open || p.abandoned.is_some())
    }

    /// A call.
    pub fn get(&self, id: u64) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// Endpoints with a call out.
    pub fn endpoints(&self) -> BTreeSet<EndpointId> {
        self.calls.values().map(|c| c.endpoint).collect()
    }

    /// Adds a message to a call that was not sent yet; gives its place in it.
    pub fn add(&mut self, id: u64, msg: MsgId, attempt: u32, until: Micros, leave_by: Micros) -> usize {
        let Some(call) = self.calls.get_mut(&id) else { return 0 };
        call.parts.push(Part { msg, attempt, until, leave_by, range: (0, 0), open: true, abandoned: None });
        call.parts.len() - 1
    }

    /// Messages of a call whose time to begin to leave is over.
    pub fn late(&self, id: u64, now: Micros) -> Vec<usize> {
        let parts = self.calls.get(&id).into_iter().flat_map(|c| c.parts.iter().enumerate());
        parts.filter(|(_, p)| p.open && p.leave_by <= now).map(|(part, _)| part).collect()
    }

    /// The number of the call that was begun last.
    pub fn last(&self) -> u64 {
        self.next
    }

    /// A call was written on a connection. `ranges`: for each of its open messages.
    pub fn written(&mut self, id: u64, conn: u64, ranges: &[(u64, u64)]) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.conn = Some(conn);
        let open = call.parts.iter_mut().filter(|p| p.open);
        open.zip(ranges).for_each(|(part, range)| part.range = *range);
        self.on_conn.entry(conn).or_default().push(id);
    }

    /// Calls on a connection.
    pub fn of(&self, conn: u64) -> Vec<u64> {
        self.on_conn.get(&conn).cloned().unwrap_or_default()
    }

    /// Octets were withdrawn from a connection's stream: what lies behind them moves up.
    pub fn shift(&mut self, conn: u64, from: u64, by: u64) {
        for id in self.on_conn.get(&conn).into_iter().flatten() {
            for part in self.calls.get_mut(id).into_iter().flat_map(|c| &mut c.parts) {
                if part.range.0 >= from + by {
                    part.range = (part.range.0 - by, part.range.1 - by);
                }
            }
        }
    }

    /// A message of a call has its outcome. Gives the part as it was, and whether the call is over with it; nothing
    /// where it had one before.
    pub fn close(&mut self, id: u64, part: usize) -> Option<(Part, bool)> {
        let call = self.calls.get_mut(&id)?;
        let p = call.parts.get_mut(part).filter(|p| p.open)?;
        p.open = false;
        let closed = *p;
        let over = call.parts.iter().all(|p| !p.open);
        if over {
            let conn = call.conn;
            self.calls.remove(&id);
            if let Some(list) = conn.and_then(|c| self.on_conn.get_mut(&c)) {
                list.retain(|c| *c != id);
                if list.is_empty() {
                    self.on_conn.remove(&conn.unwrap_or_default());
                }
            }
        }
        Some((closed, over))
    }

    /// Calls out.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

#[cfg(test)]
mod tests;
