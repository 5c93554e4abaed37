//! Submission of a message: whether it was submitted before, and the reply where it is not accepted.

use super::From;
use crate::front::{Handing, No};
use crate::ids::ConnId;
use crate::mailboxes::BoxId;
use crate::node::{Effect, Node};
use crate::rule_tables::rules::RuleTerms;
use heronroute::MsgId;
use heronroute_journal::entry::{Accepted, Named};
use heronroute_seen::{Name, Verdict};
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;

impl Node {
    pub(crate) fn submit(&mut self, conn: ConnId, token: u32, submission: Submission, handing: Handing) {
        let Some((client, mailbox)) = self.place_of(conn) else {
            return self.refuse(conn, token, No::NotEntered);
        };
        let (now, cfg) = (self.now, &self.cfg);
        self.read_budgets.count(now, client, |c| cfg.clients.get(c).map_or(1.0, |c| c.weight));
        let from = From { conn: Some(conn), token, client, mailbox };
        let (verdict, by_name) = self.known(client, mailbox, &handing);
        let judged = match verdict {
            Verdict::Same(id) => {
                // Once what was said the first time is durable, it may be said again.
                let id = MsgId(id);
                self.stats.repeated += 1;
                self.once_durable(Effect::Accept { conn, token, id });
                if by_name && self.has_answer_to_repeat(&from, id) {
                    self.once_durable(Effect::Again { mailbox, id, to: Box::new(handing.reply) });
                }
                return;
            }
            Verdict::Unsure => Err(No::Unsure),
            Verdict::New => self.judge(&from, &submission, handing.light),
        };
        let no = match judged {
            Ok(terms) => return self.take_on(from, submission, &handing, terms),
            Err(no) => no,
        };
        if matches!(no, No::Room | No::Share) {
            self.crowded();
        }
        match no {
            No::Rate | No::Share => self.stats.refused_rate += 1,
            No::Room | No::Unsure => self.stats.refused_room += 1,
            _ => self.stats.refused_other += 1,
        }
        let told = self.front(conn).is_none_or(|(front, _)| front.refuses());
        if told || handing.handle.is_none() {
            return self.refuse(conn, token, no);
        }
        if !self.answer_refusal(from, &submission, &handing, no) {
            tracing::info!(conn, "no room for the answers of a client that can't be refused");
            self.end_session(conn);
        }
    }

    /// Whether a message was submitted before: in this session, or, by the second, under the client's own name for it.
    fn known(&self, client: usize, mailbox: BoxId, handing: &Handing) -> (Verdict, bool) {
        let kept = self.mailboxes.get(mailbox).and_then(|m| m.kept.as_ref());
        if let (Some(kept), Some(handle)) = (kept, handing.handle) {
            match kept.recent.find(handle) {
                Verdict::New => {}
                other => return (other, false),
            }
        }
        match (&handing.name, &self.seen) {
            (Some(name), Some(seen)) => (seen.find(self.wall(), self.name(client, name)), true),
            _ => (Verdict::New, false),
        }
    }

    fn name(&self, client: usize, name: &str) -> Name {
        let own = self.cfg.clients.get(client).map_or("", |c| c.system_id.as_str());
        Name::new(own, name)
    }

    /// What a message leaves behind so that it is known again.
    pub(crate) fn remember(
        &mut self,
        from: &From,
        handing: &Handing,
        id: MsgId,
        keep: RuleTerms,
    ) -> Option<Named> {
        if let Some(handle) = handing.handle
            && let Some(kept) = self.mailboxes.get_mut(from.mailbox).and_then(|m| m.kept.as_mut())
        {
            kept.recent.add(handle, id.0);
        }
        let span = keep.remember.unwrap_or(self.cfg.mqtt.as_ref().map_or(0, |m| m.remember));
        let (wall, until) = (self.wall(), self.wall().saturating_add(span));
        let name = handing.name.as_ref().map(|n| self.name(from.client, n))?;
        let seen = self.seen.as_mut()?;
        seen.add(wall, name, id.0, until);
        self.count_name(from.client, keep, name, id.0, until);
        Some(Named { high: name.high, low: name.low, id: id.0, until })
    }

    /// A refusal in a protocol that has no word for it: the message is acknowledged, and answered at once. It takes
    /// room as any answer does; false where there is none.
    fn answer_refusal(&mut self, from: From, submission: &Submission, handing: &Handing, no: No) -> bool {
        let c = &self.clients[from.client];
        let full = c.open + c.owed >= self.cfg.service.owed_room;
        if full || self.leaving || self.ledger.refuses(self.now, self.messages.len(), submission.body.len()) {
            return false;
        }
        let retry_after = self.cfg.settings.max_retry_after;
        let answer = match no {
            No::Rate | No::Share | No::Room => Answer::Rejected { retry_after },
            No::Unsure => Answer::Unknown { retry_after: None },
            No::Time => Answer::Expired,
            _ => Answer::Undeliverable,
        };
        let id = self.new_id();
        // Its place in the session is kept, so that it isn't refused twice; its name is free to be tried again.
        let unnamed = Handing { name: None, ..handing.clone() };
        self.remember(&from, &unnamed, id, RuleTerms::default());
        let submission = Submission { body: Vec::new(), key: None, ..submission.clone() };
        let (taken, class) = (self.wall(), submission.service.clone());
        self.write_accepted(
            &from,
            &submission,
            handing,
            Accepted { id: id.0, class, deadline: taken, refused: true, ..Accepted::default() },
        );
        let mut message = self.message(&from, 0, submission, handing, self.now);
        // It was never held, and leaves no trail.
        message.trail = None;
        self.hold(id, message);
        if let Some(conn) = from.conn {
            self.once_durable(Effect::Accept { conn, token: from.token, id });
        }
        self.answer_with(id, answer);
        true
    }
}
