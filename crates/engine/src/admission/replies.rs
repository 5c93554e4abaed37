//! Replies to requests: acceptances, answers in forward mode, queries, withdrawals.

use super::RejectReason;
use crate::answers::MessageEnd;
use crate::failover::Suspension;
use crate::front::Speaks;
use crate::ids::{ConnId, format_id, parse_id};
use crate::node::Node;
use heronroute::{Event, MsgId};
use heronroute_smpp::receipt::Answer;
use rusmpp_core::values::MessageState;

impl Node {
    /// Reports an acceptance to the client. If its connection has closed, the client learns the message's end
    /// by the receipt alone.
    pub(crate) fn report_acceptance(&mut self, conn: ConnId, token: u32, id: MsgId) {
        if let Some((front, out)) = self.front(conn) {
            front.accepted(token, &format_id(id), out);
        } else if self.messages.get(&id).is_some_and(|m| m.speaks == Speaks::Resp) {
            self.abandon_message(id);
        }
        self.schedule_front(conn);
    }

    /// Sends the final answer as the response to a submission, in forward mode. Returns false if the
    /// connection has closed.
    pub(crate) fn respond(&mut self, conn: ConnId, token: u32, id: MsgId, answer: Answer) -> bool {
        let Some((front, out)) = self.front(conn) else { return false };
        let sent = front.answered(token, &format_id(id), answer, out);
        self.schedule_front(conn);
        sent
    }

    /// Reports the state of a message to its client.
    pub(crate) fn query(&mut self, conn: ConnId, token: u32, id_text: &str, source: &str) {
        let Some((client, _)) = self.owner_of(conn) else {
            return self.refuse(conn, token, RejectReason::NotEntered);
        };
        let id = parse_id(id_text);
        let open = id.and_then(|id| self.messages.get(&id));
        let open =
            open.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let known = if open.is_some() {
            Some((MessageState::Enroute, None))
        } else {
            let finished = id.and_then(|id| self.finished.get(&id));
            let own = finished.filter(|e| e.client == client && (source.is_empty() || e.source == source));
            own.map(|e| (e.answer.state(), Some(e.done)))
        };
        let Some((front, out)) = self.front(conn) else { return };
        match known {
            Some((state, done)) => front.queried(token, id_text, state, done, out),
            // The same reply for messages that don't exist and for those of another client, so that a client
            // can't tell which ids exist.
            None => front.refused(token, RejectReason::Message, out),
        }
    }

    /// Withdraws a message that certainly has not run and is not on its way. The client is told once that is durable.
    pub(crate) fn withdraw(&mut self, conn: ConnId, token: u32, id_text: &str, source: &str) {
        let Some((client, _)) = self.owner_of(conn) else {
            return self.refuse(conn, token, RejectReason::NotEntered);
        };
        let id = parse_id(id_text);
        let found = id.and_then(|id| self.messages.get(&id));
        let own =
            found.filter(|m| m.client == client && (source.is_empty() || m.submission.source == source));
        let (Some(id), Some(m)) = (id, own) else {
            return self.refuse(conn, token, RejectReason::Message);
        };
        if m.still != Suspension::No {
            return self.refuse(conn, token, RejectReason::TooLate);
        }
        if let Some((call, part)) = m.out {
            self.cancel_unsent(call, part);
        }
        let too_late =
            self.messages.get(&id).is_some_and(|m| m.out.is_some() || m.may_have_run_since.is_some());
        if too_late {
            return self.refuse(conn, token, RejectReason::TooLate);
        }
        self.events.push(Event::Withdrawn { id });
        // Confirmed once the answer is durable: behind a kill the message would be sent.
        self.messages.get_mut(&id).into_iter().for_each(|m| m.withdrawn_by = Some((conn, token)));
        self.answer(id, MessageEnd::Withdrawn);
    }

    /// Confirms to the client that a message is withdrawn. One whose connection has closed learns of it by the receipt.
    pub(crate) fn report_withdrawal(&mut self, conn: ConnId, token: u32) {
        if let Some((front, out)) = self.front(conn) {
            front.withdrawn(token, out);
        }
        self.schedule_front(conn);
    }
}
