//! Shutdown of a sender.

use super::Node;
use super::state::{Conn, ConnRole, TimerKey};
use crate::Micros;
use crate::answers::MessageEnd;
use crate::failover::Suspension;
use crate::front::{FRONT_COUNT, Speaks};
use crate::ids::ConnId;
use heronroute::{Event, MsgId};

/// How long a sender that shuts down waits for its calls, once it accepts nothing more.
const LAST_CALLS_TIMEOUT: Micros = 700_000;

impl Node {
    /// Starts the shutdown: nothing more is accepted, open messages are answered, and sessions are closed
    /// once nothing is owed to them, at the latest after `drain_for`.
    pub fn leave(&mut self, now: Micros) {
        self.now = now.max(self.now);
        if !self.leaving {
            self.leaving = true;
            if self.cfg.platform.is_none() {
                self.limits.leave();
            }
            self.timers.set(TimerKey::Leave, self.now + self.cfg.service.drain_for);
        }
        self.settle(now);
    }

    /// Returns whether new client connections are refused.
    pub fn refuses_connections(&self) -> bool {
        self.frozen
    }

    /// Returns whether the shutdown is complete: no client is left.
    pub fn is_shut_down(&self) -> bool {
        self.left
    }

    /// Ends a platform sender with messages open, which continue after the restart. Calls in flight get time
    /// to be answered and no new ones are started, so that as few messages as possible may have run without
    /// an answer. Client connections are closed as they become idle and new ones are refused: their clients
    /// try another sender at once, while a refused message would make them wait.
    pub(crate) fn freeze(&mut self) {
        self.left = self.frozen;
        self.frozen = true;
        self.refuse_submitted();
        let is_client = |c: &Conn| matches!(c.role, ConnRole::Client { .. });
        let clients: Vec<ConnId> =
            self.conns.iter().filter(|(_, c)| is_client(c)).map(|(id, _)| *id).collect();
        let now = self.now;
        for conn in clients {
            self.with_front(conn, |f, out, requests| f.leave(now, out, requests));
        }
        self.timers.set(TimerKey::Leave, self.now + LAST_CALLS_TIMEOUT);
    }

    /// Refuses what was submitted since the last round. Guards against requests that were read but see no
    /// further round, whose clients would receive no reply before the process ends.
    pub(crate) fn refuse_submitted(&mut self) {
        let retry_after = self.cfg.settings.max_retry_after;
        for message in self.submitted.take_all() {
            self.stats.refused_room += 1;
            self.answer(message.id, MessageEnd::Refused(retry_after));
        }
    }

    /// Completes the shutdown once nothing is left to wait for.
    pub(crate) fn continue_leaving(&mut self) {
        if self.cfg.platform.is_some() {
            let clients_done = self.sessions[Speaks::Resp as usize] == 0;
            self.left |= self.frozen && clients_done && self.calls.is_empty() && self.ledger.settled();
            return;
        }
        if !self.messages.is_empty() || !self.ledger.settled() {
            return;
        }
        if self.mailboxes.all().all(|(_, m)| m.outbox.is_idle()) {
            self.end_all_sessions();
            self.left |= self.sessions == [0; FRONT_COUNT];
        }
    }

    /// Answers all messages that are still open with what is known of them, when the time for the shutdown is
    /// up.
    pub(crate) fn abandon_all(&mut self) {
        // A suspended message is in the journal, and its partner may have it.
        let not_suspended = self.messages.iter().filter(|(_, m)| m.still == Suspension::No);
        let open: Vec<MsgId> = not_suspended.map(|(id, _)| *id).collect();
        for id in open {
            self.events.push(Event::Withdrawn { id });
            self.answer(id, MessageEnd::Leaving);
        }
        self.end_all_sessions();
        self.left = true;
    }
}
