//! Retains final answers, and repeats them when the same named message is submitted again.

use crate::Micros;
use crate::admission::Origin;
use crate::ids::format_id;
use crate::mailboxes::MailboxId;
use crate::node::{Message, Node};
use crate::outbox::ReplyAddress;
use crate::rule_tables::answers::RetainedAnswer;
use heronroute::MsgId;
use heronroute_journal::JournalState;
use heronroute_journal::entry::{self, Final, What};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::submission::Submission;

impl Node {
    /// Retains a final answer, also in the journal, for as long as the client's rules say.
    pub(crate) fn keep_answer(&mut self, id: MsgId, message: &Message, answer: Answer) {
        let now = self.wall();
        let until = now.saturating_add(message.answer_for);
        let Some(rule_tables) = self.rule_tables.as_mut().filter(|_| message.answer_for > 0) else { return };
        let kept = RetainedAnswer {
            client: message.client,
            answer,
            source: message.submission.source.clone(),
            destination: message.submission.destination.clone(),
            accepted_at: message.taken,
            ended_at: now,
            retain_until: until,
            owed_to: Some(message.mailbox),
        };
        rule_tables.answers.insert(now, id.0, kept);
        let client = self.cfg.clients.get(message.client).map_or("", |client| client.system_id.as_str());
        self.ledger.write(|| {
            What::Final(Final {
                client: client.to_string(),
                answer: Some(entry::Answer {
                    id: id.0,
                    word: answer.word().to_string(),
                    retry_after: answer.retry_after().unwrap_or(-1),
                    at: now,
                }),
                source: message.submission.source.clone(),
                destination: message.submission.destination.clone(),
                taken: message.taken,
                until,
            })
        });
    }

    /// Returns how long the next answer to a message is retained whose last answer is still retained.
    pub(crate) fn answer_for(
        &mut self,
        client: usize,
        class: usize,
        id: u64,
        submission: &Submission,
    ) -> Micros {
        let now = self.wall();
        let kept = self.rule_tables.as_mut().and_then(|k| k.answers.get(now, id)).is_some();
        if kept { self.rule_terms_for(client, class, submission).answer_for } else { 0 }
    }

    /// Records that the client acknowledged an answer, so that it may be repeated from now on.
    pub(crate) fn answer_acknowledged(&mut self, id: MsgId) {
        if let Some(rule_tables) = &mut self.rule_tables {
            rule_tables.answers.acknowledge(id.0);
        }
    }

    /// Returns whether a retained answer is to be repeated for a message that was submitted before.
    pub(crate) fn has_answer_to_repeat(&mut self, from: &Origin, id: MsgId) -> bool {
        let now = self.wall();
        // The message is still in progress: its answer follows.
        if self.messages.contains_key(&id) {
            return false;
        }
        let client = &self.clients[from.client];
        let full = client.open + client.owed >= self.cfg.service.owed_room;
        let Some(kept) = self.rule_tables.as_mut().and_then(|k| k.answers.get(now, id.0)) else {
            return false;
        };
        // If there is no room, the client has to submit it again.
        kept.client == from.client && !full
    }

    /// Sends a retained answer again, to the reply address of this submission.
    pub(crate) fn repeat_answer(&mut self, mailbox: MailboxId, id: MsgId, to: ReplyAddress) {
        let now = self.wall();
        let held =
            self.held.as_ref().and_then(|store| store.get(id.0)).is_some_and(|filed| filed.message.is_some());
        if self.messages.contains_key(&id) || self.mailboxes.get(mailbox).is_none() {
            return;
        }
        let Some(kept) = self.rule_tables.as_mut().and_then(|k| k.answers.get(now, id.0)) else { return };
        // It is already queued for this mailbox.
        if kept.owed_to == Some(mailbox) {
            return;
        }
        kept.owed_to = Some(mailbox);
        let receipt = Receipt {
            id: format_id(id),
            answer: kept.answer,
            taken: kept.accepted_at,
            done: kept.ended_at,
            source: kept.source.clone(),
            destination: kept.destination.clone(),
        };
        if held {
            // Guards against a submission of the held message being closed when the client acknowledges this
            // answer.
            self.unacknowledged.insert(id.0);
        }
        self.stats.told_again += 1;
        self.owe(mailbox, receipt, to);
        self.deliver_owed(mailbox);
    }

    /// Restores retained answers after a restart. Those not yet acknowledged are owed by the journal
    /// state's open messages.
    pub(crate) fn restore_answers(&mut self, state: &JournalState) {
        if self.rule_tables.is_none() {
            return;
        }
        let now = self.wall();
        for stored in state.finals.values() {
            let Some(stored_answer) = &stored.answer else { continue };
            let client = self.client_index(&stored.client);
            let owed = state.open.get(&stored_answer.id).filter(|o| o.answer.is_some());
            let owed =
                owed.map(|o| o.accepted.mailbox.clone()).map(|name| self.mailboxes.open(client, &name));
            let wait = Some(stored_answer.retry_after).filter(|w| *w >= 0);
            let kept = RetainedAnswer {
                client,
                answer: Answer::read(&stored_answer.word, wait)
                    .unwrap_or(Answer::Unknown { retry_after: None }),
                source: stored.source.clone(),
                destination: stored.destination.clone(),
                accepted_at: stored.taken,
                ended_at: stored_answer.at,
                retain_until: stored.until,
                owed_to: owed,
            };
            if let Some(rule_tables) = &mut self.rule_tables {
                rule_tables.answers.insert(now, stored_answer.id, kept);
            }
        }
    }
}
