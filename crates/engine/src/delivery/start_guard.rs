//! The guard before each attempt: none starts for a message that has ended, or while an earlier attempt of its
//! message may be out on an open connection, and a message that must not run twice is not tried again unless it
//! surely did not run.

use crate::answers::MessageEnd;
use crate::attempts::{Proof, StartPermission};
use crate::calls::CallEnd;
use crate::ids::ConnId;
use crate::link::Reply;
use crate::node::{ConnRole, Node};
use heronroute::{Effect, EndpointId, Event, MsgId};

impl Node {
    /// Returns whether a call may be queued now. A message that may not be tried is taken out of it. If an
    /// earlier attempt may be out, its connection is closed first, or, if it carries other calls, the call
    /// waits until it is.
    pub(crate) fn may_start(&mut self, call: u64, endpoint: EndpointId) -> bool {
        let parts = self.calls.get(call).map_or(0, |open_call| open_call.parts.len());
        for part in 0..parts {
            let Some(message) = self.open_part(call, part) else { continue };
            if !self.messages.contains_key(&message) {
                self.deny(call, part, message, "the message has ended");
                continue;
            }
            match self.attempts.permission(message, self.runs_once(message)) {
                StartPermission::Granted => {}
                StartPermission::Waiting => self.deny(call, part, message, "an earlier attempt waits"),
                StartPermission::MayHaveRun => {
                    self.deny(call, part, message, "an earlier attempt may have run");
                    self.events.push(Event::Withdrawn { id: message });
                    self.answer(message, MessageEnd::Failed);
                }
                StartPermission::OutOn(conn) => {
                    self.stats.attempts_delayed += 1;
                    tracing::info!(
                        now = self.now,
                        call,
                        conn,
                        "an earlier attempt is out: it is given up first"
                    );
                    if self.carries_other_calls(conn) {
                        self.delayed_calls.entry(conn).or_default().push((call, endpoint));
                        return false;
                    }
                    self.close_link(conn);
                }
            }
        }
        for message in self.open_messages_of(call) {
            self.attempts.started(message, call);
        }
        self.calls.get(call).is_some()
    }

    /// Starts the calls that waited until a connection was closed.
    pub(crate) fn start_delayed_calls(&mut self, conn: ConnId) {
        for (call, endpoint) in self.delayed_calls.remove(&conn).unwrap_or_default() {
            self.start_call(call, endpoint);
        }
    }

    /// Returns the messages of a call that have no outcome yet.
    pub(crate) fn open_messages_of(&self, call: u64) -> Vec<MsgId> {
        let parts = self.calls.get(call).into_iter().flat_map(|open_call| &open_call.parts);
        parts.filter(|part| part.open).map(|part| part.message).collect()
    }

    /// Records that a call got its own answer for one of its messages, and the outcome.
    pub(crate) fn record_own_answer(&mut self, call: u64, part: usize, reply: Reply) {
        let proof = if reply.outcome.never_ran() { Proof::NeverRan } else { Proof::MayHaveRun };
        if let Some(message) = self.open_part(call, part) {
            self.attempts.answered(message, call, proof);
        }
        self.record_outcome(call, part, reply);
    }

    /// Records that nothing of a message of a call was sent, and nothing will be.
    pub(crate) fn record_unsent(&mut self, call: u64, part: usize) {
        if let Some(message) = self.open_part(call, part) {
            self.attempts.withdrawn(message, call);
        }
    }

    fn open_part(&self, call: u64, part: usize) -> Option<MsgId> {
        let part = self.calls.get(call)?.parts.get(part)?;
        part.open.then_some(part.message)
    }

    /// Returns whether a message must not run twice.
    pub(crate) fn runs_once(&self, message: MsgId) -> bool {
        let class = self.messages.get(&message).and_then(|m| self.cfg.settings.classes.get(m.class));
        class.is_none_or(|class| class.effect == Effect::SingleShot)
    }

    fn carries_other_calls(&self, conn: ConnId) -> bool {
        let Some(ConnRole::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.role) else {
            return false;
        };
        let remote = &self.endpoints[*endpoint];
        self.cfg.kinds[remote.kind].window > 1 && remote.pool.call_count(conn) > 0
    }

    fn deny(&mut self, call: u64, part: usize, message: MsgId, why: &str) {
        self.stats.attempts_denied += 1;
        tracing::info!(now = self.now, call, message = message.0, why, "an attempt was not started");
        self.withdraw_unsent(call, part, CallEnd::Cancelled, false);
    }
}
