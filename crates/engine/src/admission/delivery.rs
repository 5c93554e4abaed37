//! Delivery of owed answers to the sessions of a mailbox.

use crate::front::Delivery;
use crate::ids::{ConnId, parse_id};
use crate::mailboxes::MailboxId;
use crate::node::{ConnRole, Node, TimerKey};

impl Node {
    /// Handles the client's acknowledgement of an answer.
    pub(crate) fn receipt_acknowledged(&mut self, mailbox: MailboxId, id: &str) {
        if let Some(id) = parse_id(id) {
            self.taken(id);
        }
        if let Some(m) = self.mailboxes.get(mailbox) {
            self.clients[m.client].owed -= 1;
        }
        self.mailboxes.remove_if_unused(mailbox);
    }

    /// Sends the answers owed to a mailbox, as far as its sessions have room.
    pub(crate) fn deliver_owed(&mut self, mailbox: MailboxId) {
        let (mut full_sessions, now) = (0, self.now);
        let suspended_below = self.suspended_below();
        loop {
            let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
            let Some(conn) = m.outbox.next_session(now) else { break };
            let Some(c) = self.conns.get_mut(&conn) else { break };
            let ConnRole::Client { front, .. } = &mut c.role else { break };
            if front.room() == 0 {
                full_sessions += 1;
                if full_sessions >= m.outbox.sessions() {
                    break;
                }
                continue;
            }
            full_sessions = 0;
            let Some(owed) = m.outbox.pop() else { break };
            if parse_id(&owed.receipt.id).is_some_and(|id| suspended_below.is_some_and(|below| id.0 < below))
            {
                self.defer_answer(mailbox, owed);
                continue;
            }
            match front.deliver(now, &owed, &mut c.stream.out) {
                Delivery::Sent(token) => m.outbox.sent(conn, token, owed),
                Delivery::NotSubscribed => m.outbox.set_aside(owed),
                Delivery::Done => {
                    self.stats.receipts += 1;
                    self.receipt_acknowledged(mailbox, &owed.receipt.id);
                }
            }
            self.schedule_front(conn);
        }
        if let Some(at) = self.mailboxes.get(mailbox).and_then(|m| m.outbox.wake()) {
            self.timers.set(TimerKey::Outbox(mailbox), at.max(self.now + 1));
        }
    }

    /// Ends the sessions of all clients.
    pub(crate) fn end_all_sessions(&mut self) {
        let admitted: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.role, ConnRole::Client { front, .. } if front.entered()))
            .map(|(id, _)| *id)
            .collect();
        for conn in admitted {
            let now = self.now;
            self.with_front(conn, |f, out, requests| f.leave(now, out, requests));
        }
        // Connections that were never admitted are owed nothing.
        let not_admitted: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(&c.role, ConnRole::Client { owner: None, .. }))
            .map(|(id, _)| *id)
            .collect();
        for conn in not_admitted {
            self.client_disconnected(conn);
            self.drop_conn(conn);
        }
    }
}
