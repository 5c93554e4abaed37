//! Cancellation of calls and messages that have not begun to leave.

use super::plain;
use crate::calls::{End as CallEnd, outcome_of};
use crate::node::{ConnRole, Node};
use heronroute::{EndpointId, MsgId};

impl Node {
    /// Cancels all calls to an endpoint that were decided before now and have not begun to leave. Called when the
    /// endpoint drains, is gone or announced a wait. Guards against a call whose connection comes up only after the
    /// grace, or within the wait.
    pub(crate) fn cancel_unsent_calls(&mut self, endpoint: EndpointId) {
        let remote = &mut self.endpoints[endpoint];
        // A call whose intents are not durable yet is cancelled once it may leave.
        remote.cancelled_up_to = self.calls.last();
        let mut calls = remote.pool.waiting();
        calls.extend(remote.pool.all().into_iter().flat_map(|conn| self.calls.of(conn)));
        calls.into_iter().for_each(|call| self.cancel_unsent_call(call));
    }

    /// Cancels the unsent calls to all endpoints that share the destination's limit, as one of them announced a wait.
    /// Their messages go back to the library, which knows of the wait from its next round on.
    pub(crate) fn cancel_for_wait(&mut self, endpoint: EndpointId) {
        let remote = &self.endpoints[endpoint];
        let apart = self.cfg.settings.kinds.get(remote.kind).is_some_and(|k| k.apart);
        let shares = if apart { vec![endpoint] } else { self.endpoints.of(remote.dest) };
        shares.into_iter().for_each(|e| self.cancel_unsent_calls(e));
    }

    /// Cancels a whole call where none of it has begun to leave. None of its messages ran.
    pub(crate) fn cancel_unsent_call(&mut self, call: u64) {
        let parts = self.calls.get(call).map_or(0, |c| c.parts.len());
        for part in 0..parts {
            if self.calls.get(call).is_some_and(|c| c.parts[part].open) {
                self.withdraw_unsent(call, part, CallEnd::Cancelled, true);
            }
        }
    }

    /// Cancels the messages of waiting calls whose time to leave is over.
    pub(crate) fn cancel_expired(&mut self, endpoint: EndpointId) {
        for call in self.endpoints[endpoint].pool.waiting() {
            for part in self.calls.late(call, self.now) {
                self.cancel_unsent(call, part);
            }
        }
    }

    /// Whether some of a message's octets have been handed to the system.
    pub(crate) fn begun(&self, call: u64, part: usize) -> bool {
        let Some(c) = self.calls.get(call) else { return true };
        let Some(p) = c.parts.get(part) else { return true };
        let Some(conn) = c.conn.and_then(|conn| self.conns.get(&conn)) else { return false };
        conn.stream.sent > p.range.0
    }

    /// Cancels a message that has not begun to leave, and returns whether it did; its outcome is then that it never
    /// ran. A message whose octets are shared by others stays, and may run.
    pub(crate) fn cancel_unsent(&mut self, call: u64, part: usize) -> bool {
        self.withdraw_unsent(call, part, CallEnd::Cancelled, false)
    }

    /// Withdraws a message from its connection's stream and ends it with `end`, where it has not begun to leave.
    /// `whole`: messages that share its octets are withdrawn with it.
    pub(crate) fn withdraw_unsent(&mut self, call: u64, part: usize, end: CallEnd, whole: bool) -> bool {
        let Some(c) = self.calls.get(call) else { return false };
        let (conn, range) = (c.conn, c.parts[part].range);
        let mut with = vec![part];
        if let Some(conn) = conn {
            let same = c.parts.iter().enumerate().filter(|(_, p)| p.range == range);
            let shared = same.clone().count() > 1;
            with = same.filter(|(_, p)| p.open).map(|(part, _)| part).collect();
            let Some(entry) = self.conns.get_mut(&conn) else { return false };
            if (shared && !whole) || !entry.stream.withdraw(range.0, range.1) {
                return false;
            }
            if let ConnRole::Receiver { link, .. } = &mut entry.role {
                link.forget(call, part, true);
            }
            self.calls.shift(conn, range.0, range.1 - range.0);
        }
        with.into_iter().for_each(|part| self.outcome(call, part, plain(outcome_of(end, false))));
        true
    }

    /// Cancels an attempt for which the decision library no longer waits.
    pub(crate) fn cancel_attempt(&mut self, id: MsgId, attempt: u32) {
        let Some(m) = self.messages.get(&id) else { return };
        let Some((call, part)) = m.out.filter(|_| m.attempts == attempt + 1) else { return };
        self.cancel_or_abandon(call, part);
    }

    /// Cancels an attempt that has not begun to leave, and abandons it otherwise.
    pub(crate) fn cancel_or_abandon(&mut self, call: u64, part: usize) {
        if !self.cancel_unsent(call, part) {
            self.abandon(call, part, CallEnd::Cancelled);
        }
    }
}
