//! Going out of service.

use super::Node;
use super::state::{Conn, Key, Use};
use crate::Micros;
use crate::answers::End;
use crate::failover::Suspension;
use crate::front::{FRONTS, Speaks};
use crate::ids::ConnId;
use heronroute::{Event, MsgId};

/// A sender that goes out of service waits so long for its calls, once it takes on nothing more.
const LAST_CALLS: Micros = 700_000;

impl Node {
    /// Goes out of service: nothing more is accepted, what is held is answered, sessions are unbound once nothing
    /// is owed to them, at the latest after the time set for it.
    pub fn leave(&mut self, now: Micros) {
        self.now = now.max(self.now);
        if !self.leaving {
            self.leaving = true;
            if self.cfg.platform.is_none() {
                self.limits.leave();
            }
            self.timers.set(Key::Leave, self.now + self.cfg.service.drain_for);
        }
        self.settle(now);
    }

    /// Whether no further client is taken.
    pub fn closes_door(&self) -> bool {
        self.frozen
    }

    /// Whether leaving is over: no client is left.
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// The platform's senders end with messages open: they go on after the restart. What is out gets its time to
    /// be answered, and nothing more is begun, so that as little as possible may have run unheard. Clients'
    /// connections are ended as they rest, and new ones not taken: their clients go to another sender at once, where a
    /// refusal would have them wait.
    pub(crate) fn freeze(&mut self) {
        self.left = self.frozen;
        self.frozen = true;
        self.refuse_fresh();
        let is_client = |c: &Conn| matches!(c.what, Use::Client { .. });
        let clients: Vec<ConnId> =
            self.conns.iter().filter(|(_, c)| is_client(c)).map(|(id, _)| *id).collect();
        let now = self.now;
        for conn in clients {
            self.with_front(conn, |f, out, asks| f.leave(now, out, asks));
        }
        self.timers.set(Key::Leave, self.now + LAST_CALLS);
    }

    /// Refuses what was submitted since the last round. Guards against requests that were read, see no further round,
    /// and whose clients would hear nothing before the process ends.
    pub(crate) fn refuse_fresh(&mut self) {
        self.fresh_octets = 0;
        let retry_after = self.cfg.settings.max_retry_after;
        for (id, _) in std::mem::take(&mut self.fresh) {
            self.stats.refused_room += 1;
            self.answer(id, End::Refused(retry_after));
        }
    }

    pub(crate) fn go_on_leaving(&mut self) {
        if self.cfg.platform.is_some() {
            let heard = self.sessions[Speaks::Resp as usize] == 0;
            self.left |= self.frozen && heard && self.calls.is_empty() && self.ledger.settled();
            return;
        }
        if !self.messages.is_empty() || !self.ledger.settled() {
            return;
        }
        if self.mailboxes.all().all(|(_, m)| m.outbox.rests()) {
            self.unbind_all();
            self.left |= self.sessions == [0; FRONTS];
        }
    }

    /// The time to leave is up: whatever is still held is answered with what is known of it.
    pub(crate) fn abandon_all(&mut self) {
        // What stands still is in the journal, and its partner may have it.
        let goes_on = self.messages.iter().filter(|(_, m)| m.still == Suspension::No);
        let open: Vec<MsgId> = goes_on.map(|(id, _)| *id).collect();
        for id in open {
            self.events.push(Event::Left { id });
            self.answer(id, End::Leaving);
        }
        self.unbind_all();
        self.left = true;
    }
}
