//! Submission of a message: detection of duplicates, and the reply to a message that is not accepted.

use super::Origin;
use crate::front::{RejectReason, SubmissionContext};
use crate::ids::ConnId;
use crate::mailboxes::MailboxId;
use crate::node::{Effect, Node};
use crate::rule_tables::rules::RuleTerms;
use heronroute::MsgId;
use heronroute_journal::entry::{Accepted, Named};
use heronroute_seen::{Name, Verdict};
use heronroute_smpp::receipt::Answer;
use heronroute_smpp::submission::Submission;

impl Node {
    /// Handles the submission of a message.
    pub(crate) fn submit(
        &mut self,
        conn: ConnId,
        token: u32,
        submission: Submission,
        context: SubmissionContext,
    ) {
        let Some((client, mailbox)) = self.owner_of(conn) else {
            return self.refuse(conn, token, RejectReason::NotEntered);
        };
        let (now, cfg) = (self.now, &self.cfg);
        self.read_budgets.count(now, client, |c| cfg.clients.get(c).map_or(1.0, |c| c.weight));
        let from = Origin { conn: Some(conn), token, client, mailbox };
        let (verdict, by_name) = self.find_duplicate(client, mailbox, &context);
        let checked = match verdict {
            Verdict::Same(id) => {
                // The acceptance is repeated once the first one is durable.
                let id = MsgId(id);
                self.stats.repeated += 1;
                self.once_durable(Effect::ReportAcceptance { conn, token, id });
                if by_name && self.has_answer_to_repeat(&from, id) {
                    self.once_durable(Effect::RepeatAnswer {
                        mailbox,
                        id,
                        reply_to: Box::new(context.reply),
                    });
                }
                return;
            }
            Verdict::Unsure => Err(RejectReason::Unsure),
            Verdict::New => self.check_submission(&from, &submission, context.may_be_lost),
        };
        let reason = match checked {
            Ok(terms) => return self.accept_message(from, submission, &context, terms),
            Err(reason) => reason,
        };
        if matches!(reason, RejectReason::Room | RejectReason::Share) {
            self.slow_releases();
        }
        match reason {
            RejectReason::Rate | RejectReason::Share => self.stats.refused_rate += 1,
            RejectReason::Room | RejectReason::Unsure => self.stats.refused_room += 1,
            _ => self.stats.refused_other += 1,
        }
        let can_refuse = self.front(conn).is_none_or(|(front, _)| front.refuses());
        if can_refuse || context.handle.is_none() {
            return self.refuse(conn, token, reason);
        }
        if !self.answer_refusal(from, &submission, &context, reason) {
            tracing::info!(conn, "no room for the answers of a client that can't be refused");
            self.end_session(conn);
        }
    }

    /// Looks for an earlier submission of the same message: in this session, or under the name that the
    /// client gave it. The flag is true if it was looked up by name.
    fn find_duplicate(
        &self,
        client: usize,
        mailbox: MailboxId,
        context: &SubmissionContext,
    ) -> (Verdict, bool) {
        let session = self.mailboxes.get(mailbox).and_then(|m| m.kept.as_ref());
        if let (Some(session), Some(handle)) = (session, context.handle) {
            match session.recent.find(handle) {
                Verdict::New => {}
                other => return (other, false),
            }
        }
        match (&context.name, &self.seen) {
            (Some(name), Some(seen)) => (seen.find(self.wall(), self.message_name(client, name)), true),
            _ => (Verdict::New, false),
        }
    }

    /// Returns the key under which a client-given message name is remembered.
    fn message_name(&self, client: usize, name: &str) -> Name {
        let own = self.cfg.clients.get(client).map_or("", |c| c.system_id.as_str());
        Name::new(own, name)
    }

    /// Records a message so that a repeated submission is recognised. Returns the entry for its client-given
    /// name, if any.
    pub(crate) fn remember_submission(
        &mut self,
        from: &Origin,
        context: &SubmissionContext,
        id: MsgId,
        keep: RuleTerms,
    ) -> Option<Named> {
        if let Some(handle) = context.handle
            && let Some(session) = self.mailboxes.get_mut(from.mailbox).and_then(|m| m.kept.as_mut())
        {
            session.recent.add(handle, id.0);
        }
        let remember_for = keep.remember.unwrap_or(self.cfg.mqtt.as_ref().map_or(0, |m| m.remember));
        let (wall, until) = (self.wall(), self.wall().saturating_add(remember_for));
        let name = context.name.as_ref().map(|n| self.message_name(from.client, n))?;
        let seen = self.seen.as_mut()?;
        seen.add(wall, name, id.0, until);
        self.count_name(from.client, keep, name, id.0, until);
        Some(Named { high: name.high, low: name.low, id: id.0, until })
    }

    /// Refuses a message in a protocol that can't refuse a single message: acknowledges it and sends the
    /// refusal as its answer. The answer takes room like any other; returns false if there is none.
    fn answer_refusal(
        &mut self,
        from: Origin,
        submission: &Submission,
        context: &SubmissionContext,
        reason: RejectReason,
    ) -> bool {
        let c = &self.clients[from.client];
        let full = c.open + c.owed >= self.cfg.service.owed_room;
        if full || self.leaving || self.ledger.refuses(self.now, self.messages.len(), submission.body.len()) {
            return false;
        }
        let retry_after = self.cfg.settings.max_retry_after;
        let answer = match reason {
            RejectReason::Rate | RejectReason::Share | RejectReason::Room => Answer::Rejected { retry_after },
            RejectReason::Unsure => Answer::Unknown { retry_after: None },
            RejectReason::Time => Answer::Expired,
            _ => Answer::Undeliverable,
        };
        let id = self.new_id();
        // The session remembers the message, so that it isn't refused twice. Its name is not recorded, so
        // that the client may submit it again.
        let unnamed = SubmissionContext { name: None, ..context.clone() };
        self.remember_submission(&from, &unnamed, id, RuleTerms::default());
        let submission = Submission { body: Vec::new(), key: None, ..submission.clone() };
        let (taken, class) = (self.wall(), submission.service.clone());
        self.write_accepted(
            &from,
            &submission,
            context,
            Accepted { id: id.0, class, deadline: taken, refused: true, ..Accepted::default() },
        );
        let mut message = self.new_message(&from, 0, submission, context, self.now);
        // The message was never held for its client, and has no trail.
        message.trail = None;
        self.add_open_message(id, message);
        if let Some(conn) = from.conn {
            self.once_durable(Effect::ReportAcceptance { conn, token: from.token, id });
        }
        self.answer_with(id, answer);
        true
    }
}
