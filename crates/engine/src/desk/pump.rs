//! What is owed to a mailbox goes out, and is over once it was taken.

use crate::front::Delivery;
use crate::ids::{ConnId, read_id};
use crate::mailboxes::BoxId;
use crate::node::{Key, Node, Use};

impl Node {
    /// An answer was taken.
    pub(crate) fn heard_of(&mut self, mailbox: BoxId, id: &str) {
        if let Some(id) = read_id(id) {
            self.taken(id);
        }
        if let Some(m) = self.mailboxes.get(mailbox) {
            self.clients[m.client].owed -= 1;
        }
        self.mailboxes.tidy(mailbox);
    }

    /// Hands out what is owed to a mailbox, as far as the sessions there have room.
    pub(crate) fn pump(&mut self, mailbox: BoxId) {
        let (mut full, now) = (0, self.now);
        let still = self.suspended_below();
        loop {
            let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
            let Some(conn) = m.outbox.turn(now) else { break };
            let Some(c) = self.conns.get_mut(&conn) else { break };
            let Use::Client { front, .. } = &mut c.what else { break };
            if front.room() == 0 {
                full += 1;
                if full >= m.outbox.sessions() {
                    break;
                }
                continue;
            }
            full = 0;
            let Some(owed) = m.outbox.take() else { break };
            if read_id(&owed.receipt.id).is_some_and(|id| still.is_some_and(|below| id.0 < below)) {
                self.defer_answer(mailbox, owed);
                continue;
            }
            match front.deliver(now, &owed, &mut c.stream.out) {
                Delivery::Out(token) => m.outbox.went(conn, token, owed),
                Delivery::Unwanted => m.outbox.set_aside(owed),
                Delivery::Done => {
                    self.stats.receipts += 1;
                    self.heard_of(mailbox, &owed.receipt.id);
                }
            }
            self.front_wake(conn);
        }
        if let Some(at) = self.mailboxes.get(mailbox).and_then(|m| m.outbox.wake()) {
            self.timers.set(Key::Outbox(mailbox), at.max(self.now + 1));
        }
    }

    pub(crate) fn unbind_all(&mut self) {
        let bound: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.what, Use::Client { front, .. } if front.entered()))
            .map(|(id, _)| *id)
            .collect();
        for conn in bound {
            let now = self.now;
            self.with_front(conn, |f, out, asks| f.leave(now, out, asks));
        }
        // Those that never bound are owed nothing.
        let other: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.what, Use::Client { place: None, .. }))
            .map(|(id, _)| *id)
            .collect();
        for conn in other {
            self.client_gone(conn);
            self.drop_conn(conn);
        }
    }
}
