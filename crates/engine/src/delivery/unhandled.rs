//! Answers that had arrived when this side closed their connection, and were not handled before.

use crate::Micros;
use crate::closing_links::ClosingLink;
use crate::ids::ConnId;
use crate::node::{Conn, ConnRole, Node};
use heronroute::{Event, Finality, MsgId};

impl Node {
    /// Returns whether a connection that is dropped has to be read once more, with
    /// [`Self::received_unhandled`].
    pub fn reads_before_drop(&self, conn: ConnId) -> bool {
        self.closing_links.contains(conn)
    }

    /// Handles bytes that had arrived on a connection before it was dropped. A message that they may end is not
    /// sent again; a wait in them applies. Anything else in them changes nothing: its call was given up.
    pub fn received_unhandled(&mut self, now: Micros, conn: ConnId, bytes: &[u8]) {
        self.now = now.max(self.now);
        let Some(ClosingLink { endpoint, mut link, messages, memory: _memory }) =
            self.closing_links.remove(conn)
        else {
            return;
        };
        let Some(answers) = link.read_unhandled(bytes) else { return };
        if answers.retry_after > 0 {
            self.handle_announced_wait(endpoint, answers.retry_after);
        }
        for message in messages {
            let id = self.messages.get(&message).and_then(|m| m.submission.identity.as_deref());
            let Some(finality) = id.map(|id| answers.finality_of(id)) else { continue };
            if finality != Finality::Open {
                self.end_by_unhandled_answer(conn, message, finality);
            }
        }
    }

    fn end_by_unhandled_answer(&mut self, conn: ConnId, message: MsgId, finality: Finality) {
        self.log_end_in_doubt(conn, message, finality);
        self.events.push(Event::Withdrawn { id: message });
        self.answer_undelivered(message, finality);
    }

    /// Keeps the state of a connection that is being closed, if one of these messages may be out on it and a
    /// protocol's answer could end them.
    pub(crate) fn keep_until_closed(&mut self, conn: ConnId, messages: Vec<MsgId>) {
        let is_link = matches!(self.conns.get(&conn), Some(Conn { role: ConnRole::Receiver { .. }, .. }));
        if messages.is_empty() || !is_link {
            return;
        }
        let Some((role, memory)) = self.change_role(conn, ConnRole::Finishing) else { return };
        if let ConnRole::Receiver { endpoint, link } = role {
            self.closing_links.add(conn, ClosingLink { endpoint, link, messages, memory });
        }
    }
}
