//! Answers to requests: acceptances, forward mode, what became of a message, withdrawals.

use crate::answers::End;
use crate::failover::Suspension;
use crate::front::{No, Speaks};
use crate::ids::{ConnId, read_id, show_id};
use crate::node::Node;
use heronroute::{Event, MsgId};
use heronroute_smpp::receipt::Answer;
use rusmpp_core::values::MessageState;

impl Node {
    /// The acceptance is told. A session that is gone by now will hear of its message by the receipt alone.
    pub(crate) fn tell_accepted(&mut self, conn: ConnId, token: u32, id: MsgId) {
        if let Some((front, out)) = self.front(conn) {
            front.accepted(token, &show_id(id), out);
        } else if self.messages.get(&id).is_some_and(|m| m.speaks == Speaks::Resp) {
            self.abandon_message(id);
        }
        self.front_wake(conn);
    }

    /// The response that is the final answer, in forward mode. False where its session is gone.
    pub(crate) fn respond(&mut self, conn: ConnId, token: u32, id: MsgId, answer: Answer) -> bool {
        let Some((front, out)) = self.front(conn) else { return false };
        let told = front.answered(token, &show_id(id), answer, out);
        self.front_wake(conn);
        told
    }

    pub(crate) fn query(&mut self, conn: ConnId, token: u32, text: &str, source: &str) {
        let Some((client, _)) = self.place_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
        let id = read_id(text);
        let open = id.and_then(|id| self.messages.get(&id));
        let open =
            open.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let known = if open.is_some() {
            Some((MessageState::Enroute, None))
        } else {
            let ended = id.and_then(|id| self.ended.get(&id));
            let mine = ended.filter(|e| e.client == client && (source.is_empty() || e.source == source));
            mine.map(|e| (e.answer.state(), Some(e.done)))
        };
        let Some((front, out)) = self.front(conn) else { return };
        match known {
            Some((state, done)) => front.queried(token, text, state, done, out),
            // The same for what does not exist and what belongs to another client.
            None => front.refused(token, No::Message, out),
        }
    }

    /// Withdraws a message that has surely not run and is not on its way.
    pub(crate) fn withdraw(&mut self, conn: ConnId, token: u32, text: &str, source: &str) {
        let Some((client, _)) = self.place_of(conn) else { return self.refuse(conn, token, No::NotEntered) };
        let id = read_id(text);
        let found = id.and_then(|id| self.messages.get(&id));
        let mine =
            found.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let (Some(id), Some(m)) = (id, mine) else {
            return self.refuse(conn, token, No::Message);
        };
        if m.still != Suspension::No {
            return self.refuse(conn, token, No::TooLate);
        }
        if let Some((call, part)) = m.out {
            self.cancel_unsent(call, part);
        }
        let gone = self.messages.get(&id).is_some_and(|m| m.out.is_some() || m.ran_at.is_some());
        if gone {
            return self.refuse(conn, token, No::TooLate);
        }
        self.events.push(Event::Left { id });
        if let Some((front, out)) = self.front(conn) {
            front.withdrawn(token, out);
        }
        self.answer(id, End::Withdrawn);
    }
}
