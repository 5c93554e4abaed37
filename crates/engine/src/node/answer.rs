//! The final answer to a message: determined once, written to the journal, reported to the client, and closed
//! once the client has acknowledged it.

use super::Node;
use super::state::{Effect, FinishedMessage, Message};
use crate::Micros;
use crate::answers::{self, MessageEnd};
use crate::calls::CallEnd;
use crate::failover::Suspension;
use crate::front::Speaks;
use crate::ids::format_id;
use crate::limits::Usage;
use crate::mailboxes::MailboxId;
use crate::outbox::ReplyAddress;
use crate::stats::{self};
use heronroute::MsgId;
use heronroute_journal::entry::{self, What};
use heronroute_smpp::receipt::{Answer, Receipt};

impl Node {
    /// Returns the occupancy that admission checks: of one client and in all.
    pub(crate) fn occupancy(&self, client: usize, class: usize) -> Usage {
        let c = &self.clients[client];
        let classes = &self.cfg.settings.classes;
        let mean = classes.iter().map(|c| c.worth).sum::<f64>() / classes.len().max(1) as f64;
        let worth = classes.get(class).map_or(1.0, |c| c.worth / mean.max(1e-9));
        let (open, of_client) = (self.messages.len(), c.open + c.owed);
        Usage { open, of_client, worth, ..Usage::default() }
    }

    /// Gives a message its final answer, once; the message is no longer open after that.
    pub(crate) fn answer(&mut self, id: MsgId, end: MessageEnd) {
        // An attempt that has not started to be written is cancelled first: it can't be sent after the
        // answer, and the answer may then say that nothing ran. Messages that share its bytes are sent again.
        if let Some((call, part)) = self.messages.get(&id).and_then(|m| m.out) {
            self.withdraw_unsent(call, part, CallEnd::Cancelled, true);
        }
        let Some(m) = self.messages.get(&id) else { return };
        let may_run = m.may_have_run_since.is_some() || m.out.is_some();
        let quantum = self.cfg.settings.quantum.max(1_000);
        // For a platform's message the library's own answer is reported, even if the message has expired.
        let time_up = m.speaks != Speaks::Resp && self.now + 2 * quantum >= m.deadline;
        let answer = answers::answer(end, may_run, time_up);
        self.answer_with(id, answer);
    }

    /// Gives a message this final answer.
    pub(crate) fn answer_with(&mut self, id: MsgId, answer: Answer) {
        if let Some(m) = self.messages.get_mut(&id).filter(|m| m.still != Suspension::No) {
            m.still = Suspension::WithAnswer(answer);
            return;
        }
        let Some(m) = self.messages.remove(&id) else { return };
        self.attempts.message_ended(id);
        self.stats.answers[stats::answer_index(answer)] += 1;
        let done = self.wall();
        if m.speaks == Speaks::Resp && (m.reply.is_some() || answer == Answer::Delivered) {
            // The message was never accepted, or nothing more is owed: no answer has to be kept.
            return self.report_end(id, m, answer);
        }
        self.ledger.write(|| {
            What::Answer(entry::Answer {
                id: id.0,
                word: answer.word().to_string(),
                retry_after: answer.retry_after().unwrap_or(-1),
                at: done,
            })
        });
        let mut m = m;
        self.keep_answer(id, &m, answer);
        self.store_ended(id, &mut m, answer);
        self.once_durable(Effect::ReportAnswer { id, message: Box::new(m), answer, done });
    }

    /// Reports a final answer that is durable: as the response in forward mode, or as a receipt.
    pub(crate) fn report_answer(&mut self, id: MsgId, m: Message, answer: Answer, done: Micros) {
        if m.speaks == Speaks::Resp {
            return self.report_end(id, m, answer);
        }
        self.remove_open_message(&m);
        if let Some((conn, token)) = m.withdrawn_by {
            self.report_withdrawal(conn, token);
        }
        let finished =
            FinishedMessage { client: m.client, source: m.submission.source.clone(), answer, done };
        self.finished.insert(id, finished);
        self.finished_order.push_back(id);
        while self.finished_order.len() > self.cfg.settings.max_open as usize {
            if let Some(old) = self.finished_order.pop_front() {
                self.finished.remove(&old);
            }
        }
        if let Some((conn, sequence)) = m.reply
            && self.respond(conn, sequence, id, answer)
        {
            self.taken(id);
            self.mailboxes.remove_if_unused(m.mailbox);
            return;
        }
        // In forward mode the response is the answer. If the connection has closed, a receipt replaces it.
        if !m.submission.owes_receipt(answer == Answer::Delivered) {
            self.taken(id);
            self.mailboxes.remove_if_unused(m.mailbox);
            return;
        }
        let receipt = Receipt {
            id: format_id(id),
            answer,
            taken: m.taken,
            done,
            source: m.submission.source,
            destination: m.submission.destination,
        };
        self.owe(m.mailbox, receipt, m.reply_to);
        self.deliver_owed(m.mailbox);
    }

    /// Adds an answer to those owed to a mailbox.
    pub(crate) fn owe(&mut self, mailbox: MailboxId, receipt: Receipt, reply_to: ReplyAddress) {
        let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
        m.outbox.push(receipt, reply_to);
        self.clients[m.client].owed += 1;
    }

    /// Closes a message whose answer was acknowledged, or to which none is owed: nothing of it is needed any
    /// more.
    pub(crate) fn taken(&mut self, id: MsgId) {
        self.unacknowledged.remove(&id.0);
        self.answer_acknowledged(id);
        self.ledger.write(|| What::Taken(entry::Taken { id: id.0 }));
    }
}
