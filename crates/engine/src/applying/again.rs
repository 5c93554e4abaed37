//! Final answers that are kept, and told again when the same named message is submitted once more.

use crate::Micros;
use crate::admission::Origin;
use crate::ids::format_id;
use crate::keeping::answers::Kept;
use crate::mailboxes::MailboxId;
use crate::node::{Message, Node};
use crate::outbox::ReplyAddress;
use heronroute::MsgId;
use heronroute_journal::Book;
use heronroute_journal::entry::{self, Final, What};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::submission::Submission;

impl Node {
    /// A final answer is kept for as long as its client's rules say, and in the journal.
    pub(crate) fn keep_answer(&mut self, id: MsgId, m: &Message, answer: Answer) {
        let now = self.wall();
        let until = now.saturating_add(m.answer_for);
        let Some(k) = self.keeping.as_mut().filter(|_| m.answer_for > 0) else { return };
        let kept = Kept {
            client: m.client,
            answer,
            source: m.submission.source.clone(),
            destination: m.submission.destination.clone(),
            taken: m.taken,
            done: now,
            until,
            owed: Some(m.mailbox),
        };
        k.answers.keep(now, id.0, kept);
        let client = self.cfg.clients.get(m.client).map_or("", |c| c.system_id.as_str());
        self.ledger.write(|| {
            What::Final(Final {
                client: client.to_string(),
                answer: Some(entry::Answer {
                    id: id.0,
                    word: answer.word().to_string(),
                    retry_after: answer.retry_after().unwrap_or(-1),
                    at: now,
                }),
                source: m.submission.source.clone(),
                destination: m.submission.destination.clone(),
                taken: m.taken,
                until,
            })
        });
    }

    /// How long the next answer to a message is kept whose last one still is.
    pub(crate) fn answer_for(&mut self, client: usize, class: usize, id: u64, s: &Submission) -> Micros {
        let now = self.wall();
        let kept = self.keeping.as_mut().and_then(|k| k.answers.get(now, id)).is_some();
        if kept { self.keep_for(client, class, s).answer_for } else { 0 }
    }

    /// An answer was heard: it may be owed once more from now on.
    pub(crate) fn answer_heard(&mut self, id: MsgId) {
        if let Some(k) = &mut self.keeping {
            k.answers.heard(id.0);
        }
    }

    /// Whether a kept answer is owed to a message that came before.
    pub(crate) fn owes_again(&mut self, from: &Origin, id: MsgId) -> bool {
        let now = self.wall();
        // It goes on: its answer comes.
        if self.messages.contains_key(&id) {
            return false;
        }
        let c = &self.clients[from.client];
        let full = c.open + c.owed >= self.cfg.service.owed_room;
        let Some(kept) = self.keeping.as_mut().and_then(|k| k.answers.get(now, id.0)) else { return false };
        // No room: the client hands it in once more.
        kept.client == from.client && !full
    }

    /// A kept answer is told again, where this hand-in says.
    pub(crate) fn tell_again(&mut self, mailbox: MailboxId, id: MsgId, to: ReplyAddress) {
        let now = self.wall();
        let held = self.held.as_ref().and_then(|s| s.get(id.0)).is_some_and(|f| f.message.is_some());
        if self.messages.contains_key(&id) || self.mailboxes.get(mailbox).is_none() {
            return;
        }
        let Some(kept) = self.keeping.as_mut().and_then(|k| k.answers.get(now, id.0)) else { return };
        // It is on its way there already.
        if kept.owed == Some(mailbox) {
            return;
        }
        kept.owed = Some(mailbox);
        let receipt = Receipt {
            id: format_id(id),
            answer: kept.answer,
            taken: kept.taken,
            done: kept.done,
            source: kept.source.clone(),
            destination: kept.destination.clone(),
        };
        if held {
            // Guards against a hand-in of the held message that this answer's being taken would close.
            self.unacknowledged.insert(id.0);
        }
        self.stats.told_again += 1;
        self.owe(mailbox, receipt, to);
        self.deliver_owed(mailbox);
    }

    /// After a restart: answers that were kept still are. Those that were not taken yet are owed by the book's messages.
    pub(crate) fn take_up_answers(&mut self, book: &Book) {
        if self.keeping.is_none() {
            return;
        }
        let now = self.wall();
        for f in book.finals.values() {
            let Some(a) = &f.answer else { continue };
            let client = self.client_named(&f.client);
            let owed = book.open.get(&a.id).filter(|o| o.answer.is_some());
            let owed = owed.map(|o| o.accepted.mailbox.clone()).map(|m| self.mailboxes.open(client, &m));
            let wait = Some(a.retry_after).filter(|w| *w >= 0);
            let kept = Kept {
                client,
                answer: Answer::read(&a.word, wait).unwrap_or(Answer::Unknown { retry_after: None }),
                source: f.source.clone(),
                destination: f.destination.clone(),
                taken: f.taken,
                done: a.at,
                until: f.until,
                owed,
            };
            if let Some(k) = &mut self.keeping {
                k.answers.keep(now, a.id, kept);
            }
        }
    }
}
