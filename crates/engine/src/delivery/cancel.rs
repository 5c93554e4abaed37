//! Cancellation of calls and messages of which no byte has been sent.

use super::{CallEnd, reply_of};
use crate::calls::outcome_without_answer;
use crate::node::{ConnRole, Node};
use heronroute::{EndpointId, MsgId};

impl Node {
    /// Cancels all unsent calls to an endpoint that were decided before now. It is called when the endpoint
    /// drains, is removed, or announces a wait. Otherwise a call whose connection is established only after
    /// the drain grace period, or during the wait, would still be sent.
    pub(crate) fn cancel_unsent_calls(&mut self, endpoint: EndpointId) {
        let remote = &mut self.endpoints[endpoint];
        // A call whose intents are not durable yet is cancelled in `start_call`.
        remote.cancelled_up_to = self.calls.last_id();
        let mut calls = remote.pool.waiting_calls();
        calls.extend(remote.pool.connections().into_iter().flat_map(|conn| self.calls.on_connection(conn)));
        calls.into_iter().for_each(|call| self.cancel_unsent_call(call));
    }

    /// Cancels the unsent calls to all endpoints that share the destination's limit, because one of them
    /// announced a wait. Their messages return to the decision library, which takes the wait into account
    /// from its next round on.
    pub(crate) fn cancel_for_announced_wait(&mut self, endpoint: EndpointId) {
        let remote = &self.endpoints[endpoint];
        let apart = self.cfg.settings.kinds.get(remote.kind).is_some_and(|k| k.apart);
        let endpoints = if apart { vec![endpoint] } else { self.endpoints.of(remote.dest) };
        endpoints.into_iter().for_each(|e| self.cancel_unsent_calls(e));
    }

    /// Cancels a whole call if none of it has been sent. None of its messages ran.
    pub(crate) fn cancel_unsent_call(&mut self, call: u64) {
        let parts = self.calls.get(call).map_or(0, |open_call| open_call.parts.len());
        for part in 0..parts {
            if self.calls.get(call).is_some_and(|open_call| open_call.parts[part].open) {
                self.withdraw_unsent(call, part, CallEnd::Cancelled, true);
            }
        }
    }

    /// Cancels the messages of waiting calls that were not sent before their `send_by` time.
    pub(crate) fn cancel_expired(&mut self, endpoint: EndpointId) {
        for call in self.endpoints[endpoint].pool.waiting_calls() {
            for part in self.calls.expired_parts(call, self.now) {
                self.cancel_unsent(call, part);
            }
        }
    }

    /// Returns whether any byte of a message has been handed to the operating system. Returns true for a call
    /// or a message that does not exist.
    pub(crate) fn has_begun(&self, call: u64, part: usize) -> bool {
        let Some(open_call) = self.calls.get(call) else { return true };
        let Some(call_part) = open_call.parts.get(part) else { return true };
        let Some(conn) = open_call.conn.and_then(|conn| self.conns.get(&conn)) else { return false };
        conn.stream.sent > call_part.range.0
    }

    /// Cancels a message of which nothing has been sent, and returns whether it was cancelled. Its outcome is
    /// then that it never ran. A message that shares its bytes with other messages is not cancelled and may
    /// run.
    pub(crate) fn cancel_unsent(&mut self, call: u64, part: usize) -> bool {
        self.withdraw_unsent(call, part, CallEnd::Cancelled, false)
    }

    /// Removes an unsent message from its connection's stream, ends it with `end`, and returns whether it was
    /// removed. If `whole` is set, messages that share its bytes are removed with it.
    pub(crate) fn withdraw_unsent(&mut self, call: u64, part: usize, end: CallEnd, whole: bool) -> bool {
        let Some(open_call) = self.calls.get(call) else { return false };
        let (conn, range) = (open_call.conn, open_call.parts[part].range);
        let mut withdrawn = vec![part];
        if let Some(conn) = conn {
            let same_range = open_call.parts.iter().enumerate().filter(|(_, p)| p.range == range);
            let shared = same_range.clone().count() > 1;
            withdrawn = same_range.filter(|(_, p)| p.open).map(|(part, _)| part).collect();
            let Some(entry) = self.conns.get_mut(&conn) else { return false };
            if (shared && !whole) || !entry.stream.withdraw(range.0, range.1) {
                return false;
            }
            if let ConnRole::Receiver { link, .. } = &mut entry.role {
                link.forget(call, part, true);
            }
            self.calls.shift_ranges(conn, range.0, range.1 - range.0);
        }
        for part in withdrawn {
            self.record_unsent(call, part);
            self.record_outcome(call, part, reply_of(outcome_without_answer(end, false)));
        }
        true
    }

    /// Cancels an attempt whose result the decision library no longer needs.
    pub(crate) fn cancel_attempt(&mut self, id: MsgId, attempt: u32) {
        let Some(message) = self.messages.get(&id) else { return };
        let Some((call, part)) = message.out.filter(|_| message.attempts == attempt + 1) else { return };
        self.cancel_or_abandon(call, part);
    }

    /// Cancels an attempt if nothing of it has been sent, and abandons it otherwise.
    pub(crate) fn cancel_or_abandon(&mut self, call: u64, part: usize) {
        if !self.cancel_unsent(call, part) {
            self.abandon(call, part, CallEnd::Cancelled);
        }
    }
}
