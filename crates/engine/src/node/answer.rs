//! The final answer to a message: found once, written, told, and over once it was taken.

use super::Node;
use super::state::{Effect, Ended, Message};
use crate::Micros;
use crate::answers::{self, End};
use crate::failover::Suspension;
use crate::front::Speaks;
use crate::ids::show_id;
use crate::limits::Held;
use crate::mailboxes::BoxId;
use crate::outbox::Reply;
use crate::stats::{self};
use heronroute::MsgId;
use heronroute_journal::entry::{self, What};
use heronroute_smpp::receipt::{Answer, Receipt};

impl Node {
    /// What is held of one client and in all.
    pub(crate) fn held(&self, client: usize, class: usize) -> Held {
        let c = &self.clients[client];
        let classes = &self.cfg.settings.classes;
        let mean = classes.iter().map(|c| c.worth).sum::<f64>() / classes.len().max(1) as f64;
        let worth = classes.get(class).map_or(1.0, |c| c.worth / mean.max(1e-9));
        let (open, of_client) = (self.messages.len(), c.open + c.owed);
        Held { open, of_client, worth, ..Held::default() }
    }

    /// The final answer to a message: it is told once, here, and the message is over.
    pub(crate) fn answer(&mut self, id: MsgId, end: End) {
        // An attempt that has not begun to leave is taken back first: it can't be sent after the answer, and the
        // answer may then say that nothing ran.
        if let Some((call, part)) = self.messages.get(&id).and_then(|m| m.out) {
            self.cancel_unsent(call, part);
        }
        let Some(m) = self.messages.get(&id) else { return };
        let may_run = m.ran_at.is_some() || m.out.is_some();
        let quantum = self.cfg.settings.quantum.max(1_000);
        // Of a platform's message the library's own word is told, also where its time is up.
        let time_up = m.speaks != Speaks::Resp && self.now + 2 * quantum >= m.deadline;
        let answer = answers::answer(end, may_run, time_up);
        self.answer_with(id, answer);
    }

    /// The same, with the answer's word.
    pub(crate) fn answer_with(&mut self, id: MsgId, answer: Answer) {
        if let Some(m) = self.messages.get_mut(&id).filter(|m| m.still != Suspension::No) {
            m.still = Suspension::WithAnswer(answer);
            return;
        }
        let Some(m) = self.messages.remove(&id) else { return };
        self.stats.answers[stats::answer_index(answer)] += 1;
        let done = self.wall();
        if m.speaks == Speaks::Resp && (m.reply.is_some() || answer == Answer::Delivered) {
            // It was never accepted, or nothing more is owed: no answer to be kept.
            return self.tell_end(id, m, answer);
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
        self.file(id, &mut m, answer);
        self.once_durable(Effect::Tell { id, message: Box::new(m), answer, done });
    }

    pub(crate) fn tell(&mut self, id: MsgId, m: Message, answer: Answer, done: Micros) {
        if m.speaks == Speaks::Resp {
            return self.tell_end(id, m, answer);
        }
        self.let_go(&m);
        let ended = Ended { client: m.client, source: m.submission.source.clone(), answer, done };
        self.ended.insert(id, ended);
        self.ended_order.push_back(id);
        while self.ended_order.len() > self.cfg.settings.max_open as usize {
            if let Some(old) = self.ended_order.pop_front() {
                self.ended.remove(&old);
            }
        }
        if let Some((conn, sequence)) = m.reply
            && self.respond(conn, sequence, id, answer)
        {
            self.taken(id);
            self.mailboxes.tidy(m.mailbox);
            return;
        }
        // In forward mode the response is the answer; where its session is gone, a receipt stands in for it.
        if !m.submission.owes_receipt(answer == Answer::Delivered) {
            self.taken(id);
            self.mailboxes.tidy(m.mailbox);
            return;
        }
        let receipt = Receipt {
            id: show_id(id),
            answer,
            taken: m.taken,
            done,
            source: m.submission.source,
            destination: m.submission.destination,
        };
        self.owe(m.mailbox, receipt, m.to);
        self.pump(m.mailbox);
    }

    /// An answer is owed from now on.
    pub(crate) fn owe(&mut self, mailbox: BoxId, receipt: Receipt, to: Reply) {
        let Some(m) = self.mailboxes.get_mut(mailbox) else { return };
        m.outbox.owe(receipt, to);
        self.clients[m.client].owed += 1;
    }

    /// The answer was taken, or none is owed: nothing of the message is needed any more.
    pub(crate) fn taken(&mut self, id: MsgId) {
        self.unheard.remove(&id.0);
        self.answer_acknowledged(id);
        self.ledger.write(|| What::Taken(entry::Taken { id: id.0 }));
    }
}
